//! Keeps up through peers while the platform does not answer.

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
use super::transfer::take_state;
use crate::follow::fold;
use crate::limit::escrow_settings;
use crate::node::Node;

/// Between two rounds while peers bring something.
const MIN_WAIT_MS: u64 = 500;
/// The longest wait between two rounds.
const MAX_WAIT_MS: u64 = 3_000;
/// The most records asked for at once.
const MAX_RECORDS: u32 = 500;
/// The most peers asked in a round for each stream.
const MAX_PEERS: usize = 3;
/// A peer whose own log is this fresh reads the platform; no other need be asked.
const FRESH_MS: Millis = Millis::new(5_000);

/// What a peer's answer brought.
#[derive(Debug, PartialEq, Eq)]
enum Gain {
    /// Nothing that helps: another peer is asked.
    Nothing,
    /// Records, or the word of a peer that reads the platform.
    Something,
}

/// Asks peers for records whenever the platform does not answer, until the daemon stops.
///
/// # Errors
///
/// None.
pub(crate) async fn follow_peers(node: Rc<Node>, peers: PeerHandle) -> Result<(), Infallible> {
    let mut wait_ms = MIN_WAIT_MS;
    while !node.shutdown.is_set() {
        let jitter_ms = node.rng.borrow_mut().below(wait_ms);
        sleep(Duration::from_millis(wait_ms / 2 + jitter_ms)).await;
        let mut gain = Gain::Nothing;
        for stream in Stream::ALL {
            if node.recovery.is_out(stream) && node.is_caught_up(stream) {
                let gained = keep_up(&node, &peers, stream).await;
                gain = if gained == Gain::Something {
                    gained
                } else {
                    gain
                };
            }
        }
        let is_out = Stream::ALL
            .iter()
            .any(|stream| node.recovery.is_out(*stream));
        wait_ms = match gain {
            Gain::Nothing if is_out => (wait_ms * 2).min(MAX_WAIT_MS),
            _ => MIN_WAIT_MS,
        };
    }
    Ok(())
}

/// Asks a few peers in turn until one helps.
async fn keep_up(node: &Node, peers: &PeerHandle, stream: Stream) -> Gain {
    for peer in connected_peers(node, peers).iter().take(MAX_PEERS) {
        if ask(node, peers, peer, stream).await == Gain::Something {
            return Gain::Something;
        }
    }
    Gain::Nothing
}

async fn ask(node: &Node, peers: &PeerHandle, peer: &DaemonId, stream: Stream) -> Gain {
    let asked_at = node.boot_time();
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
            take(node, stream, &batch, asked_at)
        }
        Ok(PeerResponse::Unavailable(UnavailableReason::Gone)) => {
            take_whole(node, peers, peer).await
        }
        Ok(answer) => {
            debug!("{peer} gave no records of {stream}: {answer:?}");
            Gain::Nothing
        }
        Err(error) => {
            debug!("{peer} could not be asked for records of {stream}: {error}");
            Gain::Nothing
        }
    }
}

/// Folds what the peer gave, and takes over how fresh its log is if nothing is missing.
fn take(node: &Node, stream: Stream, batch: &RecordBatch, asked_at: BootMillis) -> Gain {
    let offsets = std::iter::successors(Some(batch.first_offset), |offset| Some(offset.next()));
    let records = offsets.zip(batch.records.iter().map(Vec::as_slice));
    let before = node.state.borrow().next_offset(stream);
    fold(node, stream, records);
    let next: Offset = node.state.borrow().next_offset(stream);
    let folded = next.get().saturating_sub(before.get());
    counter!("vanillafold_peer_records_total").increment(folded);
    match batch.fresh_age {
        Some(age) if next >= batch.next_offset => {
            if let Some(at) = with_age(node, asked_at, age) {
                node.caught_up(stream, at);
            }
            if age < FRESH_MS || folded > 0 {
                return Gain::Something;
            }
        }
        _ => {}
    }
    if folded > 0 {
        Gain::Something
    } else {
        Gain::Nothing
    }
}

/// When the peer's log was fresh by this daemon's clock, at the earliest; `None` if that was
/// before this VM booted, so that its clock can't say it.
fn with_age(node: &Node, asked_at: BootMillis, age: Millis) -> Option<BootMillis> {
    let drift = escrow_settings(&node.settings).clock_drift;
    let age_ms = age.get().saturating_add(drift.of_rounded_up(age.get()));
    asked_at.before(Millis::new(age_ms))
}

/// Takes over the whole state of a peer that has dropped the records needed.
async fn take_whole(node: &Node, peers: &PeerHandle, peer: &DaemonId) -> Gain {
    let adopted = match take_state(peers, peer).await {
        Ok(state) => node.adopt(state).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match adopted {
        Ok(()) => Gain::Something,
        Err(error) => {
            node.counters.count_control_failure("peer_state");
            debug!("the state of {peer} was not taken over: {error}");
            Gain::Nothing
        }
    }
}
