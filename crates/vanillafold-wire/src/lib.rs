//! Network connections of vanillafold: HTTP/1.1, the platform's API and the peer protocol.
//!
//! | Purpose | Items |
//! |---|---|
//! | HTTP/1.1 with bounded memory, for callers, targets and operators | [`http`] |
//! | The platform's log, VM list and VM operations | [`platform`] |
//! | Links between daemons | [`PeerSet`], [`PeerHandler`], [`PeerMessage`], [`PeerRequest`] |
//! | RPC to a daemon, dialled on demand | [`RpcClient`], [`RpcHandler`], [`serve_rpcs`] |
//! | Reachability and traffic of daemons | [`PeerStatus`], [`PeerState`], [`PeerStatistics`] |
//! | Time that includes suspension of the VM | [`BootClock`], [`BootMillis`] |
//! | Timeouts that allow for stalls of the process | [`timeout_awake`] |

pub mod http;
mod peer;
pub mod platform;
mod timer;

pub use peer::{
    BootClock, BootMillis, ClusterName, Latch, LatchWait, LinkEnd, LinkTiming, LoadEntry,
    LoadReport, LogStream, MAX_CUSTOM_BYTES, MAX_MEMBERS, MAX_MESSAGE_BYTES,
    MAX_SNAPSHOT_CHUNK_BYTES, NamedCounter, Notify, PROTOCOL_VERSION, PeerAddress, PeerCounters,
    PeerError, PeerHandle, PeerHandler, PeerMessage, PeerRequest, PeerResponse, PeerSet,
    PeerSettings, PeerState, PeerStatistics, PeerStatus, PeerTraffic, RecordBatch, RecordsRequest,
    RefusalReason, RpcClient, RpcError, RpcHandler, SharedToken, SnapshotChunk, SnapshotRequest,
    StateSummary, UnavailableReason, Withdrawal, serve_rpcs,
};
pub use timer::{TimedOut, timeout_awake};
