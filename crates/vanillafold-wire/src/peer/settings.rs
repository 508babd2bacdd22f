//! How a daemon talks to its peers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use subtle::ConstantTimeEq;
use vanillafold_types::{DaemonId, IdError, Incarnation, Millis, ZoneId};

use super::error::PeerError;

/// Most members of a cluster.
pub const MAX_MEMBERS: usize = 256;

/// Longest silence that an accepted connection is granted, whatever its dialler says.
pub(crate) const MAX_INBOUND_SILENCE: Duration = Duration::from_secs(120);

/// Heartbeats that an accepted connection may miss.
pub(crate) const INBOUND_MISSED_HEARTBEATS: u32 = 4;

/// Fewest heartbeats that fit in the silence timeout.
const MIN_HEARTBEATS_IN_TIMEOUT: u64 = 2;

const MAX_TOKEN_BYTES: usize = 128;

/// The name that the daemons of one fleet share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterName(DaemonId);

impl ClusterName {
    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl fmt::Display for ClusterName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ClusterName {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A secret that the daemons of one fleet share. It is never printed.
#[derive(Clone)]
pub struct SharedToken(String);

impl SharedToken {
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }

    /// Compares without telling by its run time where the difference is.
    pub(crate) fn matches(&self, other: &str) -> bool {
        bool::from(self.0.as_bytes().ct_eq(other.as_bytes()))
    }
}

impl fmt::Debug for SharedToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedToken(..)")
    }
}

impl FromStr for SharedToken {
    type Err = PeerError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.len() {
            1..=MAX_TOKEN_BYTES => Ok(Self(text.to_owned())),
            bytes => Err(PeerError::Settings {
                problem: format!(
                    "expected a shared token of 1 to {MAX_TOKEN_BYTES} bytes, found {bytes}"
                ),
            }),
        }
    }
}

/// Another daemon and where it listens for peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// How often a link speaks and how soon its silence counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkTiming {
    /// Time between heartbeats.
    pub heartbeat_interval: Millis,
    /// Least time between two sends of state summaries and load reports.
    pub report_interval: Millis,
    /// A peer not heard for this long is suspect.
    pub suspect_after: Millis,
    /// A peer not heard for this long is silent, and a connection without an
    /// acknowledgement for this long is replaced.
    pub silence_timeout: Millis,
}

/// How a daemon talks to its peers.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneId,
    /// Which start of it this is; each start must have a larger one.
    pub incarnation: Incarnation,
    /// The fleet.
    pub cluster: ClusterName,
    /// The fleet's secret.
    pub token: SharedToken,
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Pace of links within the zone.
    pub near: LinkTiming,
    /// Pace of links to other zones.
    pub far: LinkTiming,
    /// Longest time to open a connection.
    pub connect_timeout: Millis,
    /// Longest time from an open connection to the end of the handshake.
    pub handshake_timeout: Millis,
    /// First wait before dialling again.
    pub backoff_min: Millis,
    /// Longest wait before dialling again.
    pub backoff_max: Millis,
    /// Wait before dialling a peer again that refused.
    pub refused_backoff: Millis,
    /// Longest time to wait for the answer to a request.
    pub request_timeout: Millis,
    /// Longest time that closing may take.
    pub close_timeout: Millis,
    /// Most messages that wait for one peer.
    pub queue_messages: usize,
    /// Most bytes that wait for one peer.
    pub queue_bytes: usize,
    /// Most withdrawals that are not yet in the folded log.
    pub max_withdrawals: usize,
    /// Most connections from peers at one time.
    pub max_inbound: usize,
}

impl PeerSettings {
    /// Settings with the default pace and bounds.
    #[must_use]
    pub fn new(
        daemon: DaemonId,
        zone: ZoneId,
        incarnation: Incarnation,
        cluster: ClusterName,
        token: SharedToken,
        listen: SocketAddr,
    ) -> Self {
        Self {
            daemon,
            zone,
            incarnation,
            cluster,
            token,
            listen,
            near: LinkTiming {
                heartbeat_interval: Millis::new(500),
                report_interval: Millis::new(200),
                suspect_after: Millis::new(1_500),
                silence_timeout: Millis::new(3_000),
            },
            far: LinkTiming {
                heartbeat_interval: Millis::new(3_000),
                report_interval: Millis::new(3_000),
                suspect_after: Millis::new(7_000),
                silence_timeout: Millis::new(9_000),
            },
            connect_timeout: Millis::new(2_000),
            handshake_timeout: Millis::new(2_000),
            backoff_min: Millis::new(100),
            backoff_max: Millis::new(10_000),
            refused_backoff: Millis::new(30_000),
            request_timeout: Millis::new(5_000),
            close_timeout: Millis::new(2_000),
            queue_messages: 256,
            queue_bytes: 256 * 1024,
            max_withdrawals: 4_096,
            max_inbound: 160,
        }
    }

    /// The pace of the link to a daemon in `zone`.
    #[must_use]
    pub fn link_timing(&self, zone: &ZoneId) -> LinkTiming {
        match zone {
            zone if *zone == self.zone => self.near,
            _ => self.far,
        }
    }

    pub(crate) fn validate(&self) -> Result<(), PeerError> {
        validate_timing("near", &self.near)?;
        validate_timing("far", &self.far)?;
        validate_positive("connect_timeout", self.connect_timeout)?;
        validate_positive("handshake_timeout", self.handshake_timeout)?;
        validate_positive("backoff_min", self.backoff_min)?;
        validate_positive("refused_backoff", self.refused_backoff)?;
        validate_positive("request_timeout", self.request_timeout)?;
        if self.backoff_max < self.backoff_min {
            return Err(invalid(format!(
                "expected backoff_max of at least backoff_min ({}), found {}",
                self.backoff_min, self.backoff_max
            )));
        }
        Ok(())
    }
}

fn invalid(problem: String) -> PeerError {
    PeerError::Settings { problem }
}

fn validate_positive(name: &str, value: Millis) -> Result<(), PeerError> {
    match value {
        Millis::ZERO => Err(invalid(format!(
            "expected {name} of at least 1ms, found 0ms"
        ))),
        _ => Ok(()),
    }
}

fn validate_timing(name: &str, timing: &LinkTiming) -> Result<(), PeerError> {
    validate_positive("heartbeat_interval", timing.heartbeat_interval)?;
    let least_ms = timing.heartbeat_interval.get() * MIN_HEARTBEATS_IN_TIMEOUT;
    match timing {
        _ if timing.silence_timeout.get() < least_ms => Err(invalid(format!(
            "expected {name} silence_timeout of at least {least_ms}ms \
             ({MIN_HEARTBEATS_IN_TIMEOUT} heartbeats), found {}",
            timing.silence_timeout
        ))),
        _ if timing.suspect_after > timing.silence_timeout => Err(invalid(format!(
            "expected {name} suspect_after of at most silence_timeout ({}), found {}",
            timing.silence_timeout, timing.suspect_after
        ))),
        _ => Ok(()),
    }
}
