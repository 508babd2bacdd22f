//! What a daemon asks a peer and waits for.

use bincode::{Decode, Encode};
use vanillafold_types::Offset;

use super::message::{LogStream, RecordBatch};

/// Most bytes of a snapshot in one [`SnapshotChunk`].
pub const MAX_SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;

/// Asks for records from an offset on.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordsRequest {
    /// The stream.
    pub stream: LogStream,
    /// The first offset wanted.
    pub from: Offset,
    /// Most records wanted; the answer may hold fewer, and must fit in a message.
    pub max_records: u32,
}

/// Asks for one piece of a peer's newest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotRequest {
    /// The control offset of the snapshot that the earlier pieces came from; `None` for
    /// the first piece.
    pub control_offset: Option<Offset>,
    /// Where in the snapshot the piece starts, in bytes.
    pub start_bytes: u64,
}

/// A piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotChunk {
    /// Last offset of the catalogue stream in the snapshot.
    pub catalogue_offset: Offset,
    /// Last offset of the control stream in the snapshot.
    pub control_offset: Offset,
    /// Digest of the whole snapshot.
    pub digest: [u8; 32],
    /// Where the piece starts, in bytes.
    pub start_bytes: u64,
    /// Length of the whole snapshot, in bytes.
    pub total_bytes: u64,
    /// The piece, at most [`MAX_SNAPSHOT_CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

/// Why a peer can't give what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum UnavailableReason {
    /// The peer has no state of its own yet.
    NotReady,
    /// The offset was dropped, or the snapshot is no longer the newest.
    Gone,
    /// The peer does not know this request.
    Unsupported,
    /// The peer's answer did not fit in a message.
    TooLarge,
}

/// What one daemon asks another.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum PeerRequest {
    /// Records from an offset on.
    Records(RecordsRequest),
    /// A piece of the newest snapshot.
    Snapshot(SnapshotRequest),
    /// Bytes whose meaning the two daemons know.
    Custom(Vec<u8>),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum PeerResponse {
    /// Records.
    Records(RecordBatch),
    /// A piece of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Bytes whose meaning the two daemons know.
    Custom(Vec<u8>),
    /// The peer can't give what was asked.
    Unavailable(UnavailableReason),
}
