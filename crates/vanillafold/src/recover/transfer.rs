//! Fetches a peer's state chunk by chunk.

use vanillafold_state::{
    Digest, MAX_CHUNK_BYTES, MAX_CHUNKS, SnapshotBuilder, SnapshotChunk, SnapshotError, SnapshotId,
    State,
};
use vanillafold_types::{DaemonId, Offset};
use vanillafold_wire as wire;
use vanillafold_wire::{
    PeerError, PeerHandle, PeerRequest, PeerResponse, SnapshotRequest, UnavailableReason,
};

/// Why a peer's state or VM list was not fetched.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TransferError {
    /// The request to the peer failed.
    #[error("request to the peer failed: {0}")]
    Peer(#[from] PeerError),
    /// The peer has nothing to send.
    #[error("the peer refused the transfer: {0:?}")]
    Unavailable(UnavailableReason),
    /// The answer is not the chunk or page that was requested.
    #[error(
        "unexpected answer: expected the snapshot chunk at byte {start_bytes} or a VM list page"
    )]
    Unexpected {
        /// The byte at which the requested chunk starts.
        start_bytes: u64,
    },
    /// The chunks do not form a valid state.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Fetches the whole state of `peer`.
///
/// # Errors
///
/// [`TransferError`] if a request fails, the peer has no state to send, or its chunks are invalid.
pub(crate) async fn fetch_state(
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
        let chunk = match peers.request(peer, PeerRequest::Snapshot(request)).await? {
            PeerResponse::SnapshotChunk(chunk) if chunk.start_bytes == start_bytes => chunk,
            PeerResponse::Unavailable(reason) => return Err(TransferError::Unavailable(reason)),
            _ => return Err(TransferError::Unexpected { start_bytes }),
        };
        control_offset = Some(chunk.control_offset);
        if let Some(state) = builder.add_chunk(numbered(index, chunk))? {
            return Ok(state);
        }
    }
    let start_bytes = u64::from(MAX_CHUNKS) * MAX_CHUNK_BYTES as u64;
    Err(TransferError::Unexpected { start_bytes })
}

/// Returns the offset before `next`.
pub(super) const fn previous(next: Offset) -> Offset {
    Offset::new(next.get().saturating_sub(1))
}

fn numbered(index: u32, chunk: wire::SnapshotChunk) -> SnapshotChunk {
    let count = chunk.total_bytes.div_ceil(MAX_CHUNK_BYTES as u64);
    SnapshotChunk {
        id: SnapshotId {
            control_next: chunk.control_offset.next(),
            catalogue_next: chunk.catalogue_offset.next(),
            digest: Digest::new(chunk.digest),
        },
        index,
        count: u32::try_from(count).unwrap_or(u32::MAX),
        bytes: chunk.bytes,
    }
}
