//! Settings of the peer protocol: names, timeouts and limits.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use subtle::ConstantTimeEq;
use vanillafold_types::{DaemonId, IdError, Incarnation, Millis, ZoneId};

use super::error::PeerError;

/// Maximum number of members of a peer set, without the daemon itself.
pub const MAX_MEMBERS: usize = 256;

/// Maximum silence allowed on an accepted connection, whatever heartbeat interval its dialler
/// announces.
pub(crate) const MAX_INBOUND_SILENCE: Duration = Duration::from_secs(120);

/// Number of heartbeat intervals that may pass in silence on an accepted connection.
pub(crate) const INBOUND_MISSED_HEARTBEATS: u32 = 4;

/// Minimum number of heartbeat intervals that must fit in the silence timeout.
const MIN_HEARTBEATS_IN_TIMEOUT: u64 = 2;

const MAX_TOKEN_BYTES: usize = 128;

/// The name that all daemons of one cluster share; daemons of other clusters are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterName(DaemonId);

impl ClusterName {
    /// Returns the name as text.
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

/// A secret that all daemons of one cluster share. `Debug` does not print it.
#[derive(Clone)]
pub struct SharedToken(String);

impl SharedToken {
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in constant time, so that the run time does not reveal where the tokens differ.
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

/// A daemon, its zone and the address it listens on for peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The daemon that listens at the address.
    pub daemon: DaemonId,
    /// The zone of the daemon; decides which [`LinkTiming`] applies.
    pub zone: ZoneId,
    /// The address that the daemon listens on for peers.
    pub address: SocketAddr,
}

/// The send intervals and failure-detection timeouts of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkTiming {
    /// Maximum time between two heartbeats.
    pub heartbeat_interval: Millis,
    /// Minimum time between two sends of state summaries and load reports.
    pub report_interval: Millis,
    /// Silence after which a peer is suspect.
    pub suspect_after: Millis,
    /// Silence after which a peer counts as silent, and time without a reply after which a
    /// connection is replaced.
    pub silence_timeout: Millis,
}

/// Settings of a [`PeerSet`](crate::PeerSet).
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// The id of this daemon.
    pub daemon: DaemonId,
    /// The zone of this daemon.
    pub zone: ZoneId,
    /// Incarnation of this daemon; must grow with each start.
    pub incarnation: Incarnation,
    /// The name of the cluster, equal on all its daemons.
    pub cluster: ClusterName,
    /// The secret of the cluster, equal on all its daemons.
    pub token: SharedToken,
    /// The address to listen on for peers; port 0 lets the operating system choose a port.
    pub listen: SocketAddr,
    /// Timing of links to daemons in the same zone.
    pub near: LinkTiming,
    /// Timing of links to daemons in other zones.
    pub far: LinkTiming,
    /// Maximum time to establish a TCP connection.
    pub connect_timeout: Millis,
    /// Maximum time from the TCP connection to the end of the HTTP/2 and hello handshake.
    pub handshake_timeout: Millis,
    /// First backoff step before dialling a peer again.
    pub backoff_min: Millis,
    /// Maximum backoff step before dialling a peer again.
    pub backoff_max: Millis,
    /// Maximum wait before dialling a peer again that refused the hello or answered with a stale
    /// incarnation; with jitter it is at least half of this.
    pub refused_backoff: Millis,
    /// Maximum time to wait for the answer to a request, and to serve a request of a peer.
    pub request_timeout: Millis,
    /// Maximum time to send queued messages and close connections when the set closes.
    pub close_timeout: Millis,
    /// Maximum number of messages queued for one peer.
    pub queue_messages: usize,
    /// Maximum number of bytes of messages queued for one peer.
    pub queue_bytes: usize,
    /// Maximum number of withdrawals that are not yet in the folded log.
    pub max_withdrawals: usize,
    /// Maximum number of accepted connections that are open at one time.
    pub max_inbound: usize,
}

impl PeerSettings {
    /// Returns settings with the default timing and limits.
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

    /// Returns the timing of links to daemons in `zone`.
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
            "expected {name}.silence_timeout of at least {least_ms}ms \
             ({MIN_HEARTBEATS_IN_TIMEOUT} heartbeats), found {}",
            timing.silence_timeout
        ))),
        _ if timing.suspect_after > timing.silence_timeout => Err(invalid(format!(
            "expected {name}.suspect_after of at most silence_timeout ({}), found {}",
            timing.silence_timeout, timing.suspect_after
        ))),
        _ => Ok(()),
    }
}
