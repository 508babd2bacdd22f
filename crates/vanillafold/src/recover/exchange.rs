//! Answers peers that can't reach the platform: chunks of the state and recent records.

use vanillafold_state::Stream;
use vanillafold_wire::{
    LogStream, MAX_SNAPSHOT_CHUNK_BYTES, PeerResponse, RecordBatch, RecordsRequest,
    SnapshotRequest, UnavailableReason,
};

use super::served::ServedSnapshot;
use crate::node::Node;

/// Maximum number of records in one answer.
const MAX_RECORDS: u32 = 500;

/// Returns the chunk of this daemon's state that a peer requests. A request without a control
/// offset begins a transfer and gets a new snapshot if the present one is too old.
pub(crate) fn answer_snapshot(node: &Node, request: &SnapshotRequest) -> PeerResponse {
    if !node.is_ready() {
        return PeerResponse::Unavailable(UnavailableReason::NotReady);
    }
    let state = node.state.borrow();
    let now = node.boot_time();
    let mut served = node.recovery.served_snapshot.borrow_mut();
    let is_usable = served
        .as_ref()
        .is_some_and(|served| request.control_offset.is_some() || !served.is_old(&state, now));
    if !is_usable {
        *served = Some(ServedSnapshot::new(&state, now));
    }
    match &*served {
        Some(served) => served.chunk(request),
        None => PeerResponse::Unavailable(UnavailableReason::Gone),
    }
}

/// Returns records that this daemon has read recently, and the age of its own view of the log.
pub(crate) fn answer_records(node: &Node, request: &RecordsRequest) -> PeerResponse {
    let stream = stream_of(request.stream);
    if !node.is_caught_up(stream) {
        return PeerResponse::Unavailable(UnavailableReason::NotReady);
    }
    let next_offset = node.state.borrow().next_offset(stream);
    let max_records = request.max_records.min(MAX_RECORDS) as usize;
    let cache = node.recovery.record_cache.borrow();
    let read = cache.read(stream, request.from, max_records, MAX_SNAPSHOT_CHUNK_BYTES);
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
