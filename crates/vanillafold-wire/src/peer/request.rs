//! Requests between daemons and the answers to them.

use bincode::{Decode, Encode};
use vanillafold_types::Offset;

use super::message::{LogStream, RecordBatch};

/// Maximum number of snapshot bytes in one [`SnapshotChunk`].
pub const MAX_SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;

/// Requests records of a stream, starting at an offset.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordsRequest {
    /// The stream to read.
    pub stream: LogStream,
    /// Offset of the first requested record.
    pub from: Offset,
    /// Maximum number of records to return. The answer may have fewer, as it must fit in a message.
    pub max_records: u32,
}

/// Requests one chunk of a peer's latest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotRequest {
    /// Control offset of the snapshot that the earlier chunks came from; `None` for the first
    /// chunk.
    pub control_offset: Option<Offset>,
    /// Position in the snapshot at which the chunk starts, in bytes.
    pub start_bytes: u64,
}

/// A chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotChunk {
    /// Offset of the last record of the catalogue stream in the snapshot.
    pub catalogue_offset: Offset,
    /// Offset of the last record of the control stream in the snapshot.
    pub control_offset: Offset,
    /// Digest of the whole snapshot.
    pub digest: [u8; 32],
    /// Position in the snapshot at which the chunk starts, in bytes.
    pub start_bytes: u64,
    /// Length of the whole snapshot, in bytes.
    pub total_bytes: u64,
    /// The bytes of the chunk, at most [`MAX_SNAPSHOT_CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

/// Why a peer cannot answer a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum UnavailableReason {
    /// The peer has not built its state yet.
    NotReady,
    /// The peer no longer has the offset, or the snapshot is no longer its latest.
    Gone,
    /// The peer does not support this request.
    Unsupported,
    /// The answer exceeds [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
    TooLarge,
}

/// A request from one daemon to another.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum PeerRequest {
    /// Requests records of a stream, starting at an offset.
    Records(RecordsRequest),
    /// Requests a chunk of the latest snapshot.
    Snapshot(SnapshotRequest),
    /// An application-defined payload of at most [`MAX_CUSTOM_BYTES`](crate::MAX_CUSTOM_BYTES).
    Custom(Vec<u8>),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum PeerResponse {
    /// The requested records.
    Records(RecordBatch),
    /// The requested chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// An application-defined payload.
    Custom(Vec<u8>),
    /// The peer cannot answer the request.
    Unavailable(UnavailableReason),
}
