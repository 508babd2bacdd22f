//! The peer protocol between daemons: bincode messages in length-prefixed frames on HTTP/2 streams.
//!
//! Each daemon dials every other member. On a connection that it dialled, a daemon sends its
//! own messages and requests; the peer's messages and requests arrive over the connection that
//! the peer dialled. The supervisor starts one task per peer, the listener one task per accepted
//! connection. See `docs/design/0004-peers.md`.

mod backoff;
mod clock;
mod counted;
mod dialer;
mod entry;
mod error;
mod exchange;
mod frame;
mod handler;
mod hello;
mod link;
mod listener;
mod message;
mod outbox;
mod request;
mod rpc;
mod session;
mod set;
mod settings;
mod shared;
mod statistics;
mod status;
mod supervisor;
mod sync;
mod tasks;

pub use clock::{BootClock, BootMillis};
pub use error::{LinkEnd, PeerError};
pub use frame::MAX_MESSAGE_BYTES;
pub use handler::PeerHandler;
pub use hello::{PROTOCOL_VERSION, RefusalReason};
pub use message::{
    LoadEntry, LoadReport, LogStream, MAX_CUSTOM_BYTES, PeerMessage, RecordBatch, StateSummary,
    Withdrawal,
};
pub use request::{
    MAX_SNAPSHOT_CHUNK_BYTES, PeerRequest, PeerResponse, RecordsRequest, SnapshotChunk,
    SnapshotRequest, UnavailableReason,
};
pub use rpc::{RpcClient, RpcError, RpcHandler, serve_rpcs};
pub use set::{PeerHandle, PeerSet};
pub use settings::{ClusterName, LinkTiming, MAX_MEMBERS, PeerAddress, PeerSettings, SharedToken};
pub use statistics::{NamedCounter, PeerCounters, PeerStatistics, PeerTraffic};
pub use status::{PeerState, PeerStatus};
pub use sync::{Latch, LatchWait, Notify};
