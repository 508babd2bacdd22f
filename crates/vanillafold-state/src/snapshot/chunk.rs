//! A piece of a snapshot.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::Offset;

use super::SnapshotError;
use crate::Digest;

/// The largest piece, in bytes, so that a record of it fits into the log.
pub const MAX_CHUNK_BYTES: usize = 60 << 10;

/// The most pieces of one snapshot; [`SnapshotBuilder`](crate::SnapshotBuilder) refuses more.
pub const MAX_CHUNKS: u32 = 512;

/// Which state a snapshot holds. Two daemons at the same offsets make the same snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct SnapshotId {
    /// The next offset of the `control` stream.
    pub control_next: Offset,
    /// The next offset of the `catalogue` stream.
    pub catalogue_next: Offset,
    /// The digest of the state.
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

/// A piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotChunk {
    /// The snapshot that it belongs to.
    pub id: SnapshotId,
    /// Which piece it is, from 0.
    pub index: u32,
    /// How many pieces there are.
    pub count: u32,
    /// The piece itself.
    pub bytes: Vec<u8>,
}

impl SnapshotChunk {
    /// Checks the numbers of a piece.
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
