//! What is known of a peer.

use std::time::Duration;

use vanillafold_types::{DaemonId, Incarnation, ZoneId};

use super::clock::BootMillis;
use super::error::LinkEnd;

/// Whether a peer has been heard from lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Heard within the suspicion time.
    Alive {
        /// When it came to be so.
        since: BootMillis,
    },
    /// Not heard within the suspicion time, but within the silence timeout.
    Suspect {
        /// When it came to be so.
        since: BootMillis,
    },
    /// Not heard within the silence timeout, or never.
    Silent {
        /// When it came to be so.
        since: BootMillis,
    },
}

impl PeerState {
    /// Whether the peer was heard within the suspicion time.
    #[must_use]
    pub const fn is_alive(self) -> bool {
        matches!(self, Self::Alive { .. })
    }

    /// Whether the peer was not heard within the silence timeout.
    #[must_use]
    pub const fn is_silent(self) -> bool {
        matches!(self, Self::Silent { .. })
    }
}

/// What is known of a peer at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its incarnation, once it has said it.
    pub incarnation: Option<Incarnation>,
    /// Whether it has been heard from lately, on either connection.
    pub state: PeerState,
    /// When it was last heard from, on either connection.
    pub last_heard: Option<BootMillis>,
    /// Whether the connection to it is up, so that messages can leave.
    pub connected: bool,
    /// The last measured time from a heartbeat to its acknowledgement.
    pub round_trip: Option<Duration>,
    /// Why the last connection to it ended.
    pub last_end: Option<LinkEnd>,
}
