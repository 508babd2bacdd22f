//! The state as peers are given it, in pieces.

use vanillafold_state::{BootMillis, MAX_CHUNK_BYTES, Snapshot, State, Stream};
use vanillafold_types::{Millis, Offset};
use vanillafold_wire::{PeerResponse, SnapshotChunk, SnapshotRequest, UnavailableReason};

use super::transfer::previous;

/// How old a snapshot may be for a peer that begins; what is missing comes as records.
const MAX_AGE_MS: Millis = Millis::new(5_000);

/// A snapshot that is given to peers.
#[derive(Debug)]
pub(crate) struct ServedSnapshot {
    snapshot: Snapshot,
    total_bytes: u64,
    made_at: BootMillis,
}

impl ServedSnapshot {
    pub(crate) fn new(state: &State, now: BootMillis) -> Self {
        let snapshot = state.snapshot();
        let pieces = snapshot.chunks().iter();
        Self {
            total_bytes: pieces.map(|piece| piece.bytes.len() as u64).sum(),
            snapshot,
            made_at: now,
        }
    }

    /// Whether it is too old for a peer that begins.
    pub(crate) fn is_old(&self, state: &State, now: BootMillis) -> bool {
        let id = self.snapshot.id();
        let is_same = id.control_next == state.next_offset(Stream::Control)
            && id.catalogue_next == state.next_offset(Stream::Catalogue);
        !is_same && now.since(self.made_at) >= MAX_AGE_MS
    }

    /// The piece that a peer asks for.
    pub(crate) fn piece(&self, request: &SnapshotRequest) -> PeerResponse {
        let id = self.snapshot.id();
        let control_offset: Offset = previous(id.control_next);
        let index = request.start_bytes / MAX_CHUNK_BYTES as u64;
        let is_start = request.start_bytes.is_multiple_of(MAX_CHUNK_BYTES as u64);
        let piece = usize::try_from(index)
            .ok()
            .and_then(|index| self.snapshot.chunks().get(index));
        match (request.control_offset, piece) {
            (Some(offset), _) if offset != control_offset => gone(),
            (_, Some(piece)) if is_start => PeerResponse::SnapshotChunk(SnapshotChunk {
                catalogue_offset: previous(id.catalogue_next),
                control_offset,
                digest: *id.digest.as_bytes(),
                start_bytes: request.start_bytes,
                total_bytes: self.total_bytes,
                bytes: piece.bytes.clone(),
            }),
            _ => gone(),
        }
    }
}

const fn gone() -> PeerResponse {
    PeerResponse::Unavailable(UnavailableReason::Gone)
}
