//! Connections of vanillafold: HTTP to callers and targets, the platform client, peers.
//!
//! | to talk to other daemons | [`PeerSet`], [`PeerHandler`], [`PeerMessage`], [`PeerRequest`] |
//! |---|---|
//! | to see who is reachable | [`PeerStatus`], [`PeerState`], [`PeerStatistics`] |
//! | to tell time through suspensions | [`BootClock`], [`BootMillis`] |

mod peer;

pub use peer::{
    BootClock, BootMillis, ClusterName, LinkEnd, LinkPace, LoadEntry, LoadReport, LogStream,
    MAX_CUSTOM_BYTES, MAX_MEMBERS, MAX_MESSAGE_BYTES, MAX_SNAPSHOT_CHUNK_BYTES, NamedCounter,
    PROTOCOL_VERSION, PeerAddress, PeerCounters, PeerError, PeerHandle, PeerHandler, PeerMessage,
    PeerRequest, PeerResponse, PeerSet, PeerSettings, PeerState, PeerStatistics, PeerStatus,
    PeerTraffic, RecordBatch, RecordsRequest, RefusalReason, SharedToken, SnapshotChunk,
    SnapshotRequest, StateSummary, UnavailableReason, Withdrawal,
};
