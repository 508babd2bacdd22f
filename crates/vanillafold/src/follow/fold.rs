//! Folds records of the log into the state, whether they come from the platform or from a peer.

use log::{error, warn};
use vanillafold_state::{ApplyResult, OutOfOrder, Stream};
use vanillafold_types::{KeyId, Offset};

use crate::node::Node;
use crate::recover::snapshot_chunk;

/// Folds consecutive records of `stream` and updates the node. Records that were folded before, for
/// example because they came from a peer first, are skipped.
pub(crate) fn fold<'a>(
    node: &Node,
    stream: Stream,
    records: impl Iterator<Item = (Offset, &'a [u8])>,
) {
    let early = early_withdrawals(node);
    let mut changed = false;
    for (offset, record) in records {
        let result = node.state.borrow_mut().apply(stream, offset, record);
        match result {
            ApplyResult::Accepted => changed = true,
            ApplyResult::Repeated(_) => {}
            ApplyResult::Refused(reason) => {
                node.counters.count_control_failure("record_refused");
                warn!("record {stream} {offset} refused: {}", reason.text());
            }
            ApplyResult::OutOfOrder(OutOfOrder::Older { .. }) => continue,
            ApplyResult::OutOfOrder(order) => {
                error!(
                    "record {stream} {offset} is out of order, rest of the batch skipped: {order:?}"
                );
                break;
            }
        }
        note_record(node, stream, offset, record);
    }
    if changed {
        node.update_from_state(stream);
    }
    forget_folded_withdrawals(node, &early);
}

/// Caches a folded record for peers, and passes snapshot chunks to the snapshot tracker.
fn note_record(node: &Node, stream: Stream, offset: Offset, record: &[u8]) {
    let recovery = &node.recovery;
    recovery
        .record_cache
        .borrow_mut()
        .push(stream, offset, record);
    let chunk = match stream {
        Stream::Catalogue => None,
        Stream::Control => snapshot_chunk(record),
    };
    if let Some(chunk) = chunk {
        let now = node.boot_time();
        recovery
            .snapshot_tracker
            .borrow_mut()
            .note_chunk(&chunk, now);
    }
}

fn early_withdrawals(node: &Node) -> Vec<KeyId> {
    node.state.borrow().early_withdrawals().cloned().collect()
}

/// Ends the broadcast of early withdrawals whose records have been folded.
fn forget_folded_withdrawals(node: &Node, early: &[KeyId]) {
    if early.is_empty() {
        return;
    }
    let state = node.state.borrow();
    let folded: Vec<KeyId> = early
        .iter()
        .filter(|id| !state.early_withdrawals().any(|still| still == *id))
        .cloned()
        .collect();
    drop(state);
    let peers = node.peers.borrow().clone();
    if let Some(peers) = peers.filter(|_| !folded.is_empty()) {
        // The call fails only when the peer protocol is closed, which ends all broadcasts.
        let _ = peers.forget_withdrawals(&folded);
    }
}
