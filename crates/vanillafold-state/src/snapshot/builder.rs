//! Assembles snapshots from their chunks.

use super::{SnapshotChunk, SnapshotError, SnapshotId};
use crate::State;
use crate::table::{Keyed, SortedVec};

/// The most incomplete snapshots that are kept; beyond that the one with the lowest offsets is
/// dropped.
const MAX_PARTIALS: usize = 4;

/// Assembles snapshots from their chunks, which may come in any order, repeatedly and mixed with
/// those of other snapshots.
#[derive(Debug, Default)]
pub struct SnapshotBuilder {
    partials: SortedVec<PartialSnapshot>,
}

/// A snapshot of which some chunks are still missing.
#[derive(Debug)]
struct PartialSnapshot {
    id: SnapshotId,
    count: u32,
    chunks: SortedVec<SnapshotChunk>,
}

impl SnapshotBuilder {
    /// Creates a builder without chunks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk and returns the state if that completes the chunk's snapshot.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] if the chunk, or the snapshot that it completes, is invalid.
    /// Chunks of other snapshots are kept.
    pub fn add_chunk(&mut self, chunk: SnapshotChunk) -> Result<Option<State>, SnapshotError> {
        chunk.check()?;
        let id = chunk.id;
        let partial = self
            .partials
            .get_or_insert_with(&id, || PartialSnapshot::new(id, chunk.count));
        partial.insert(chunk)?;
        if !partial.is_complete() {
            self.drop_oldest();
            return Ok(None);
        }
        match self.partials.remove(&id) {
            Some(complete) => State::from_snapshot(id, &complete.body()).map(Some),
            None => Ok(None),
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.partials.first().map(|partial| partial.id);
        match oldest {
            Some(id) if self.partials.len() > MAX_PARTIALS => {
                self.partials.remove(&id);
            }
            _ => {}
        }
    }
}

impl PartialSnapshot {
    fn new(id: SnapshotId, count: u32) -> Self {
        Self {
            id,
            count,
            chunks: SortedVec::default(),
        }
    }

    fn insert(&mut self, chunk: SnapshotChunk) -> Result<(), SnapshotError> {
        let index = chunk.index;
        let is_conflict = chunk.count != self.count
            || self
                .chunks
                .get(&index)
                .is_some_and(|known| known.bytes != chunk.bytes);
        if is_conflict {
            return Err(SnapshotError::Conflict { id: self.id, index });
        }
        self.chunks.insert(chunk);
        Ok(())
    }

    fn is_complete(&self) -> bool {
        u32::try_from(self.chunks.len()) == Ok(self.count)
    }

    fn body(&self) -> Vec<u8> {
        self.chunks
            .iter()
            .flat_map(|chunk| chunk.bytes.iter().copied())
            .collect()
    }
}

impl Keyed for PartialSnapshot {
    type Key = SnapshotId;

    fn key(&self) -> &SnapshotId {
        &self.id
    }
}

impl Keyed for SnapshotChunk {
    type Key = u32;

    fn key(&self) -> &u32 {
        &self.index
    }
}
