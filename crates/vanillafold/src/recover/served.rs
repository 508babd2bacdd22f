//! The snapshot of the state from which peers are sent chunks.

use vanillafold_state::{BootMillis, MAX_CHUNK_BYTES, Snapshot, State, Stream};
use vanillafold_types::{Millis, Offset};
use vanillafold_wire::{PeerResponse, SnapshotChunk, SnapshotRequest, UnavailableReason};

use super::transfer::previous;

/// Maximum age of the snapshot for a peer that begins a transfer; the peer requests newer changes
/// as records.
const MAX_AGE_MS: Millis = Millis::new(5_000);

/// A snapshot that peers fetch in chunks.
#[derive(Debug)]
pub(crate) struct ServedSnapshot {
    snapshot: Snapshot,
    total_bytes: u64,
    made_at: BootMillis,
}

impl ServedSnapshot {
    pub(crate) fn new(state: &State, now: BootMillis) -> Self {
        let snapshot = state.snapshot();
        let chunks = snapshot.chunks().iter();
        Self {
            total_bytes: chunks.map(|chunk| chunk.bytes.len() as u64).sum(),
            snapshot,
            made_at: now,
        }
    }

    /// Returns whether the snapshot is too old for a peer that begins a transfer. One of the
    /// current offsets is never too old.
    pub(crate) fn is_old(&self, state: &State, now: BootMillis) -> bool {
        let id = self.snapshot.id();
        let is_same = id.control_next == state.next_offset(Stream::Control)
            && id.catalogue_next == state.next_offset(Stream::Catalogue);
        !is_same && now.since(self.made_at) >= MAX_AGE_MS
    }

    /// Returns the requested chunk, or [`UnavailableReason::Gone`] if the request is for another
    /// snapshot or no chunk starts at its byte.
    pub(crate) fn chunk(&self, request: &SnapshotRequest) -> PeerResponse {
        let id = self.snapshot.id();
        let control_offset: Offset = previous(id.control_next);
        let index = request.start_bytes / MAX_CHUNK_BYTES as u64;
        let is_start = request.start_bytes.is_multiple_of(MAX_CHUNK_BYTES as u64);
        let chunk = usize::try_from(index)
            .ok()
            .and_then(|index| self.snapshot.chunks().get(index));
        match (request.control_offset, chunk) {
            (Some(offset), _) if offset != control_offset => gone(),
            (_, Some(chunk)) if is_start => PeerResponse::SnapshotChunk(SnapshotChunk {
                catalogue_offset: previous(id.catalogue_next),
                control_offset,
                digest: *id.digest.as_bytes(),
                start_bytes: request.start_bytes,
                total_bytes: self.total_bytes,
                bytes: chunk.bytes.clone(),
            }),
            _ => gone(),
        }
    }
}

const fn gone() -> PeerResponse {
    PeerResponse::Unavailable(UnavailableReason::Gone)
}
