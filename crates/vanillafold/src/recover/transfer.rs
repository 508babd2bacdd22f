//! Takes over a peer's state piece by piece.

use vanillafold_state::{
    Digest, MAX_CHUNK_BYTES, MAX_CHUNKS, SnapshotBuilder, SnapshotChunk, SnapshotError, SnapshotId,
    State,
};
use vanillafold_types::{DaemonId, Offset};
use vanillafold_wire as wire;
use vanillafold_wire::{
    PeerError, PeerHandle, PeerRequest, PeerResponse, SnapshotRequest, UnavailableReason,
};

/// Why a peer's state was not taken over.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TransferError {
    /// The peer could not be asked.
    #[error("the peer can't be asked: {0}")]
    Peer(#[from] PeerError),
    /// The peer has none.
    #[error("the peer gives no state: {0:?}")]
    Unavailable(UnavailableReason),
    /// The answer is not what was asked.
    #[error("expected the piece at byte {start_bytes} of one snapshot, found something else")]
    Unexpected {
        /// The piece that was asked for.
        start_bytes: u64,
    },
    /// The pieces are no state.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Asks `peer` for its whole state.
///
/// # Errors
///
/// [`TransferError`].
pub(crate) async fn take_state(
    peers: &PeerHandle,
    peer: &DaemonId,
) -> Result<State, TransferError> {
    let mut builder = SnapshotBuilder::new();
    let mut control_offset = None;
    for index in 0..MAX_CHUNKS {
        let start_bytes = u64::from(index) * MAX_CHUNK_BYTES as u64;
        let request = SnapshotRequest {
            control_offset,
            start_bytes,
        };
        let piece = match peers.request(peer, PeerRequest::Snapshot(request)).await? {
            PeerResponse::SnapshotChunk(piece) if piece.start_bytes == start_bytes => piece,
            PeerResponse::Unavailable(reason) => return Err(TransferError::Unavailable(reason)),
            _ => return Err(TransferError::Unexpected { start_bytes }),
        };
        control_offset = Some(piece.control_offset);
        if let Some(state) = builder.add_chunk(numbered(index, piece))? {
            return Ok(state);
        }
    }
    let start_bytes = u64::from(MAX_CHUNKS) * MAX_CHUNK_BYTES as u64;
    Err(TransferError::Unexpected { start_bytes })
}

/// The offset before `next`.
pub(super) const fn previous(next: Offset) -> Offset {
    Offset::new(next.get().saturating_sub(1))
}

fn numbered(index: u32, piece: wire::SnapshotChunk) -> SnapshotChunk {
    let count = piece.total_bytes.div_ceil(MAX_CHUNK_BYTES as u64);
    SnapshotChunk {
        id: SnapshotId {
            control_next: piece.control_offset.next(),
            catalogue_next: piece.catalogue_offset.next(),
            digest: Digest::new(piece.digest),
        },
        index,
        count: u32::try_from(count).unwrap_or(u32::MAX),
        bytes: piece.bytes,
    }
}
