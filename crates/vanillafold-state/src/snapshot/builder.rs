//! Puts the pieces of snapshots together.

use super::{SnapshotChunk, SnapshotError, SnapshotId};
use crate::State;
use crate::table::{Keyed, SortedVec};

/// The most snapshots that are put together at one time; beyond it the oldest is dropped.
const MAX_PARTIALS: usize = 4;

/// Puts the pieces of snapshots together, in any order and with repeats, also when the pieces
/// of several snapshots are mixed.
#[derive(Debug, Default)]
pub struct SnapshotBuilder {
    partials: SortedVec<PartialSnapshot>,
}

/// A snapshot of which some pieces are there.
#[derive(Debug)]
struct PartialSnapshot {
    id: SnapshotId,
    count: u32,
    chunks: SortedVec<SnapshotChunk>,
}

impl SnapshotBuilder {
    /// A builder without pieces.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a piece; gives the state when it was the last one of its snapshot.
    ///
    /// # Errors
    ///
    /// A [`SnapshotError`] if the piece, or the snapshot that it completes, is wrong. The other
    /// snapshots are as before.
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
