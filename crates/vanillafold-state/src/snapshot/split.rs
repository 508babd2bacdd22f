//! A snapshot as slices.

use super::{MAX_CHUNK_BYTES, SnapshotChunk, SnapshotId};

/// The whole state in slices that fit into records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    id: SnapshotId,
    chunks: Vec<SnapshotChunk>,
}

impl Snapshot {
    /// Splits the encoded state.
    pub(crate) fn split(id: SnapshotId, body: &[u8]) -> Self {
        let slices = body.chunks(MAX_CHUNK_BYTES);
        let count = u32::try_from(slices.len()).unwrap_or(u32::MAX);
        let chunks = (0..count)
            .zip(slices)
            .map(|(index, slice)| SnapshotChunk {
                id,
                index,
                count,
                bytes: slice.to_vec(),
            })
            .collect();
        Self { id, chunks }
    }

    /// Which state it holds.
    #[must_use]
    pub fn id(&self) -> SnapshotId {
        self.id
    }

    /// The slices, in order.
    #[must_use]
    pub fn chunks(&self) -> &[SnapshotChunk] {
        &self.chunks
    }

    /// The slices, in order.
    #[must_use]
    pub fn into_chunks(self) -> Vec<SnapshotChunk> {
        self.chunks
    }
}
