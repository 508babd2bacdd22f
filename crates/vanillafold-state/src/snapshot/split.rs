//! Splitting of an encoded state into the chunks of a snapshot.

use super::{MAX_CHUNK_BYTES, SnapshotChunk, SnapshotId};

/// A snapshot of the whole state, split into chunks that fit into records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    id: SnapshotId,
    chunks: Vec<SnapshotChunk>,
}

impl Snapshot {
    /// Splits an encoded state into chunks of at most [`MAX_CHUNK_BYTES`].
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

    /// Returns the id of the state in the snapshot.
    #[must_use]
    pub fn id(&self) -> SnapshotId {
        self.id
    }

    /// Returns the chunks, sorted by index.
    #[must_use]
    pub fn chunks(&self) -> &[SnapshotChunk] {
        &self.chunks
    }

    /// Consumes the snapshot and returns the chunks, sorted by index.
    #[must_use]
    pub fn into_chunks(self) -> Vec<SnapshotChunk> {
        self.chunks
    }
}
