//! Follows the log through peers while the platform does not answer.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use metrics::counter;
use monoio::time::sleep;
use vanillafold_state::{BootMillis, Stream};
use vanillafold_types::{DaemonId, Millis, Offset};
use vanillafold_wire::{
    PeerHandle, PeerRequest, PeerResponse, RecordBatch, RecordsRequest, UnavailableReason,
};

use super::exchange::wire_stream;
use super::peer_start::connected_peers;
use super::transfer::fetch_state;
use crate::follow::fold;
use crate::limit::escrow_settings;
use crate::node::Node;

/// Mean wait between rounds in which peers help.
const MIN_WAIT_MS: u64 = 500;
/// Maximum mean wait, which doubles after each round in which no peer helps.
const MAX_WAIT_MS: u64 = 3_000;
/// Maximum number of records in one request.
const MAX_RECORDS: u32 = 500;
/// Maximum number of peers that are tried for each stream in a round.
const MAX_PEERS: usize = 3;
/// A peer that read to the end of its stream within this time is in touch with the platform, so no
/// further peer needs to be tried.
const FRESH_MS: Millis = Millis::new(5_000);

/// Whether a peer's answer helped.
#[derive(Debug, PartialEq, Eq)]
enum Progress {
    /// The answer did not help; the next peer is tried.
    None,
    /// The answer held records, or showed that the peer is in touch with the platform and this
    /// daemon misses nothing.
    Made,
}

/// Until the daemon stops, requests records from peers whenever the platform does not answer.
///
/// # Errors
///
/// Returns no error.
pub(crate) async fn follow_peer_records(
    node: Rc<Node>,
    peers: PeerHandle,
) -> Result<(), Infallible> {
    let mut wait_ms = MIN_WAIT_MS;
    while !node.shutdown.is_set() {
        let jitter_ms = node.rng.borrow_mut().below(wait_ms);
        sleep(Duration::from_millis(wait_ms / 2 + jitter_ms)).await;
        let mut progress = Progress::None;
        for stream in Stream::ALL {
            if node.recovery.is_unavailable(stream) && node.is_caught_up(stream) {
                let stream_progress = fetch_records(&node, &peers, stream).await;
                progress = if stream_progress == Progress::Made {
                    stream_progress
                } else {
                    progress
                };
            }
        }
        let is_unavailable = Stream::ALL
            .iter()
            .any(|stream| node.recovery.is_unavailable(*stream));
        wait_ms = match progress {
            Progress::None if is_unavailable => (wait_ms * 2).min(MAX_WAIT_MS),
            _ => MIN_WAIT_MS,
        };
    }
    Ok(())
}

/// Requests records from up to [`MAX_PEERS`] peers in turn until one helps.
async fn fetch_records(node: &Node, peers: &PeerHandle, stream: Stream) -> Progress {
    for peer in connected_peers(node, peers).iter().take(MAX_PEERS) {
        if request_records(node, peers, peer, stream).await == Progress::Made {
            return Progress::Made;
        }
    }
    Progress::None
}

async fn request_records(
    node: &Node,
    peers: &PeerHandle,
    peer: &DaemonId,
    stream: Stream,
) -> Progress {
    let requested_at = node.boot_time();
    let from = node.state.borrow().next_offset(stream);
    let request = RecordsRequest {
        stream: wire_stream(stream),
        from,
        max_records: MAX_RECORDS,
    };
    match peers.request(peer, PeerRequest::Records(request)).await {
        Ok(PeerResponse::Records(batch))
            if batch.stream == wire_stream(stream) && batch.first_offset == from =>
        {
            apply_batch(node, stream, &batch, requested_at)
        }
        Ok(PeerResponse::Unavailable(UnavailableReason::Gone)) => {
            fetch_whole_state(node, peers, peer).await
        }
        Ok(answer) => {
            debug!("daemon {peer} returned no usable records of {stream}: {answer:?}");
            Progress::None
        }
        Err(error) => {
            debug!("request to daemon {peer} for records of {stream} failed: {error}");
            Progress::None
        }
    }
}

/// Folds a peer's records. If none is missing then, this daemon's log counts as fresh as the
/// peer's.
fn apply_batch(
    node: &Node,
    stream: Stream,
    batch: &RecordBatch,
    requested_at: BootMillis,
) -> Progress {
    let offsets = std::iter::successors(Some(batch.first_offset), |offset| Some(offset.next()));
    let records = offsets.zip(batch.records.iter().map(Vec::as_slice));
    let before = node.state.borrow().next_offset(stream);
    fold(node, stream, records);
    let next: Offset = node.state.borrow().next_offset(stream);
    let folded_count = next.get().saturating_sub(before.get());
    counter!("vanillafold_peer_records_total").increment(folded_count);
    match batch.fresh_age {
        Some(age) if next >= batch.next_offset => {
            if let Some(at) = fresh_at(node, requested_at, age) {
                node.note_caught_up(stream, at);
            }
            if age < FRESH_MS || folded_count > 0 {
                return Progress::Made;
            }
        }
        _ => {}
    }
    if folded_count > 0 {
        Progress::Made
    } else {
        Progress::None
    }
}

/// Returns the earliest time by this daemon's clock at which the peer's log can have been fresh;
/// `None` if that is before this VM booted, which its clock cannot express.
fn fresh_at(node: &Node, requested_at: BootMillis, age: Millis) -> Option<BootMillis> {
    let drift = escrow_settings(&node.settings).clock_drift;
    let age_ms = age.get().saturating_add(drift.of_rounded_up(age.get()));
    requested_at.before(Millis::new(age_ms))
}

/// Merges the whole state of a peer that no longer has the records needed.
async fn fetch_whole_state(node: &Node, peers: &PeerHandle, peer: &DaemonId) -> Progress {
    let merged = match fetch_state(peers, peer).await {
        Ok(state) => node.merge_state(state).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match merged {
        Ok(()) => Progress::Made,
        Err(error) => {
            node.counters.count_control_failure("peer_state");
            debug!("state of daemon {peer} not merged: {error}");
            Progress::None
        }
    }
}
