//! What a daemon gives to a peer that the platform does not reach.

use vanillafold_state::Stream;
use vanillafold_wire::{
    LogStream, MAX_SNAPSHOT_CHUNK_BYTES, PeerResponse, RecordBatch, RecordsRequest,
    SnapshotRequest, UnavailableReason,
};

use super::served::ServedSnapshot;
use crate::node::Node;

/// The most records in an answer.
const MAX_RECORDS: u32 = 500;

/// A piece of this daemon's state.
pub(crate) fn answer_snapshot(node: &Node, request: &SnapshotRequest) -> PeerResponse {
    if !node.is_ready() {
        return PeerResponse::Unavailable(UnavailableReason::NotReady);
    }
    let state = node.state.borrow();
    let now = node.boot_time();
    let mut served = node.recovery.served.borrow_mut();
    let is_usable = served
        .as_ref()
        .is_some_and(|served| request.control_offset.is_some() || !served.is_old(&state, now));
    if !is_usable {
        *served = Some(ServedSnapshot::new(&state, now));
    }
    match &*served {
        Some(served) => served.piece(request),
        None => PeerResponse::Unavailable(UnavailableReason::Gone),
    }
}

/// Records that this daemon read a short while ago, and how fresh its own log is.
pub(crate) fn answer_records(node: &Node, request: &RecordsRequest) -> PeerResponse {
    let stream = stream_of(request.stream);
    if !node.is_caught_up(stream) {
        return PeerResponse::Unavailable(UnavailableReason::NotReady);
    }
    let next_offset = node.state.borrow().next_offset(stream);
    let most_records = request.max_records.min(MAX_RECORDS) as usize;
    let cache = node.recovery.cache.borrow();
    let read = cache.read(stream, request.from, most_records, MAX_SNAPSHOT_CHUNK_BYTES);
    let records = match read {
        Some(records) => records,
        None if request.from >= next_offset => Vec::new(),
        None => return PeerResponse::Unavailable(UnavailableReason::Gone),
    };
    PeerResponse::Records(RecordBatch {
        stream: request.stream,
        first_offset: request.from,
        records,
        next_offset,
        fresh_age: node.fresh_age(stream),
    })
}

pub(super) const fn wire_stream(stream: Stream) -> LogStream {
    match stream {
        Stream::Catalogue => LogStream::Catalogue,
        Stream::Control => LogStream::Control,
    }
}

const fn stream_of(stream: LogStream) -> Stream {
    match stream {
        LogStream::Catalogue => Stream::Catalogue,
        LogStream::Control => Stream::Control,
    }
}
