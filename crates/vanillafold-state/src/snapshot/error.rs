//! Errors of assembling and merging snapshots.

use vanillafold_types::Offset;

use super::{MAX_CHUNK_BYTES, SnapshotId};
use crate::{Digest, Stream};

/// Why a snapshot or one of its chunks can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SnapshotError {
    /// A chunk's index, count or size is out of range.
    #[error(
        "invalid snapshot chunk {index} of {count} with {found_bytes} bytes, expected 1 to {MAX_CHUNK_BYTES} bytes; use another snapshot"
    )]
    InvalidChunk {
        /// The index that the chunk states.
        index: u32,
        /// The number of chunks that the chunk states.
        count: u32,
        /// The chunk's size.
        found_bytes: usize,
    },
    /// A chunk differs from an earlier one with the same index, or states another count.
    #[error(
        "chunk {index} of snapshot {id} was read before with other contents; use another snapshot"
    )]
    Conflict {
        /// The id of the snapshot.
        id: SnapshotId,
        /// The index of the chunk.
        index: u32,
    },
    /// The assembled bytes could not be decoded as a state.
    #[error("snapshot {id} is not a valid state: {reason}; use another snapshot")]
    Malformed {
        /// The id of the snapshot.
        id: SnapshotId,
        /// The codec's error message.
        reason: String,
    },
    /// The state is valid but not the one that the snapshot's id states.
    #[error("snapshot {id} contains a state with digest {found}; use another snapshot")]
    StateMismatch {
        /// The id of the snapshot.
        id: SnapshotId,
        /// The digest of the state in the snapshot.
        found: Digest,
    },
    /// The other state is at an earlier offset of one stream and at a later one of none.
    #[error("the snapshot is older than the present state; use a newer snapshot")]
    Older,
    /// Two states at the same offset of a stream differ, which is a fault of the fold or of a
    /// daemon.
    #[error(
        "two states at offset {next} of stream {stream} differ: digest {own} here, {other} there; report this fault"
    )]
    Diverged {
        /// The stream whose parts of the state differ.
        stream: Stream,
        /// The next offset of the stream in both states.
        next: Offset,
        /// The digest of the stream's part in this daemon's state.
        own: Digest,
        /// The digest of the stream's part in the other state.
        other: Digest,
    },
}
