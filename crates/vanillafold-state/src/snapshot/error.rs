//! Why a snapshot can't be used.

use vanillafold_types::Offset;

use super::{MAX_CHUNK_BYTES, SnapshotId};
use crate::{Digest, Stream};

/// Why a snapshot, or a piece of one, can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SnapshotError {
    /// A piece's numbers are wrong.
    #[error(
        "expected a piece of 1 to {MAX_CHUNK_BYTES} bytes, found piece {index} of {count} with {found_bytes} bytes; take another snapshot"
    )]
    InvalidChunk {
        /// Which piece it says it is.
        index: u32,
        /// How many pieces it says there are.
        count: u32,
        /// Its size.
        found_bytes: usize,
    },
    /// A piece differs from an earlier one with the same number.
    #[error(
        "piece {index} of snapshot {id} was read before with other bytes; take another snapshot"
    )]
    Conflict {
        /// The snapshot.
        id: SnapshotId,
        /// Which piece it is.
        index: u32,
    },
    /// The pieces together are not a state.
    #[error("snapshot {id} is not a state: {reason}; take another snapshot")]
    Malformed {
        /// The snapshot.
        id: SnapshotId,
        /// What the codec said.
        reason: String,
    },
    /// The state is not the one that the snapshot names.
    #[error("snapshot {id} holds a state with digest {found}; take another snapshot")]
    StateMismatch {
        /// The snapshot.
        id: SnapshotId,
        /// The digest of what it holds.
        found: Digest,
    },
    /// The state brings nothing that is later than what is there.
    #[error("expected a state after the present one, found an older one; take a newer snapshot")]
    Older,
    /// Two states at the same offset differ: a fault of the fold or of a daemon.
    #[error(
        "two states at offset {next} of {stream} differ: {own} here, {other} there; report this fault"
    )]
    Diverged {
        /// The stream.
        stream: Stream,
        /// The next offset of both.
        next: Offset,
        /// The digest here.
        own: Digest,
        /// The digest of the other.
        other: Digest,
    },
}
