//! The status of a peer as the failure detector and the link see it.

use std::time::Duration;

use vanillafold_types::{DaemonId, Incarnation, ZoneId};

use super::clock::BootMillis;
use super::error::LinkEnd;

/// The liveness of a peer, by the time since it was last heard from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Heard from within `suspect_after`.
    Alive {
        /// When the peer became alive.
        since: BootMillis,
    },
    /// Not heard from within `suspect_after`, but within the silence timeout.
    Suspect {
        /// When the peer became suspect.
        since: BootMillis,
    },
    /// Not heard from within the silence timeout, or never.
    Silent {
        /// When the peer became silent, or was added as a member if it was never heard from.
        since: BootMillis,
    },
}

impl PeerState {
    /// Returns whether the peer was heard from within `suspect_after`.
    #[must_use]
    pub const fn is_alive(self) -> bool {
        matches!(self, Self::Alive { .. })
    }

    /// Returns whether the peer was not heard from within the silence timeout, or never.
    #[must_use]
    pub const fn is_silent(self) -> bool {
        matches!(self, Self::Silent { .. })
    }
}

/// The status of a peer at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The daemon that this is the status of.
    pub daemon: DaemonId,
    /// The zone of the peer.
    pub zone: ZoneId,
    /// The latest incarnation of the peer; `None` until a handshake with it has completed.
    pub incarnation: Option<Incarnation>,
    /// Liveness of the peer, by what was received on either connection.
    pub state: PeerState,
    /// When the peer was last heard from on either connection; `None` if never.
    pub last_heard: Option<BootMillis>,
    /// Whether the link that this daemon dialled is up, so that messages can be sent.
    pub connected: bool,
    /// Last measured time from a heartbeat to its acknowledgement; `None` until one is measured.
    pub round_trip: Option<Duration>,
    /// Why the last link or dial to the peer ended; `None` if none has ended.
    pub last_end: Option<LinkEnd>,
}
