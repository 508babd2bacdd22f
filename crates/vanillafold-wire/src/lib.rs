//! Connections of vanillafold: HTTP/1.1 to callers and targets, the platform, peers.
//!
//! | edge | module |
//! |---|---|
//! | callers, targets, operators: HTTP/1.1 with bounded memory | [`http`] |
//! | the platform: log, VM list, VM operations, as traits | [`platform`] |
//! | other daemons | [`PeerSet`], [`PeerHandler`], [`PeerMessage`], [`PeerRequest`] |
//! | calls of another daemon, dialled when needed | [`RpcClient`], [`RpcHandler`], [`serve_rpcs`] |
//! | who is reachable | [`PeerStatus`], [`PeerState`], [`PeerStatistics`] |
//! | time that counts suspensions | [`BootClock`], [`BootMillis`] |

pub mod http;
mod peer;
pub mod platform;

pub use peer::{
    BootClock, BootMillis, ClusterName, Latch, LatchWait, LinkEnd, LinkTiming, LoadEntry,
    LoadReport, LogStream, MAX_CUSTOM_BYTES, MAX_MEMBERS, MAX_MESSAGE_BYTES,
    MAX_SNAPSHOT_CHUNK_BYTES, NamedCounter, Notify, PROTOCOL_VERSION, PeerAddress, PeerCounters,
    PeerError, PeerHandle, PeerHandler, PeerMessage, PeerRequest, PeerResponse, PeerSet,
    PeerSettings, PeerState, PeerStatistics, PeerStatus, PeerTraffic, RecordBatch, RecordsRequest,
    RefusalReason, RpcClient, RpcError, RpcHandler, SharedToken, SnapshotChunk, SnapshotRequest,
    StateSummary, UnavailableReason, Withdrawal, serve_rpcs,
};
