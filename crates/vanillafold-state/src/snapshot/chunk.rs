//! Chunks of a snapshot and the snapshot's id.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::Offset;

use super::SnapshotError;
use crate::Digest;

/// The largest chunk, in bytes. With the rest of its record it must fit into
/// [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
pub const MAX_CHUNK_BYTES: usize = 60 << 10;

/// The most chunks of one snapshot; [`SnapshotBuilder`](crate::SnapshotBuilder) refuses more.
pub const MAX_CHUNKS: u32 = 512;

/// Identifies the state in a snapshot. Daemons at the same offsets make the same snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct SnapshotId {
    /// The next offset of the `control` stream in that state.
    pub control_next: Offset,
    /// The next offset of the `catalogue` stream in that state.
    pub catalogue_next: Offset,
    /// The digest of the whole state.
    pub digest: Digest,
}

impl fmt::Display for SnapshotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "catalogue {} control {} digest {}",
            self.catalogue_next, self.control_next, self.digest
        )
    }
}

/// A chunk of a snapshot, small enough for one record.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotChunk {
    /// The snapshot that the chunk belongs to.
    pub id: SnapshotId,
    /// The position of the chunk in the snapshot, from 0.
    pub index: u32,
    /// The number of chunks in the snapshot, 1 to [`MAX_CHUNKS`].
    pub count: u32,
    /// This chunk's part of the encoded state, 1 to [`MAX_CHUNK_BYTES`] bytes.
    pub bytes: Vec<u8>,
}

impl SnapshotChunk {
    /// Checks that the chunk's index, count and size are in range.
    pub(super) fn check(&self) -> Result<(), SnapshotError> {
        let is_valid = (1..=MAX_CHUNKS).contains(&self.count)
            && self.index < self.count
            && (1..=MAX_CHUNK_BYTES).contains(&self.bytes.len());
        match is_valid {
            true => Ok(()),
            false => Err(SnapshotError::InvalidChunk {
                index: self.index,
                count: self.count,
                found_bytes: self.bytes.len(),
            }),
        }
    }
}
