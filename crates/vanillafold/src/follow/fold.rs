//! Folds records, whichever way they came.

use log::{error, warn};
use vanillafold_state::{ApplyResult, OutOfOrder, Stream};
use vanillafold_types::{KeyId, Offset};

use crate::node::Node;
use crate::recover::snapshot_piece;

/// Folds consecutive records of `stream`. Those that came another way before are passed over.
pub(crate) fn fold<'a>(
    node: &Node,
    stream: Stream,
    records: impl Iterator<Item = (Offset, &'a [u8])>,
) {
    let early = early_withdrawals(node);
    let mut changed = false;
    for (offset, record) in records {
        let applied = node.state.borrow_mut().apply(stream, offset, record);
        match applied {
            ApplyResult::Accepted => changed = true,
            ApplyResult::Repeated(_) => {}
            ApplyResult::Refused(reason) => {
                node.counters.count_control_failure("record_refused");
                warn!("{stream} {offset} was refused: {}", reason.text());
            }
            ApplyResult::OutOfOrder(OutOfOrder::Older { .. }) => continue,
            ApplyResult::OutOfOrder(order) => {
                error!("{stream} {offset} is out of order: {order:?}");
                break;
            }
        }
        note(node, stream, offset, record);
    }
    if changed {
        node.follow_state(stream);
    }
    forget_withdrawals(node, &early);
}

/// Keeps a folded record for peers and watches for snapshots.
fn note(node: &Node, stream: Stream, offset: Offset, record: &[u8]) {
    let recovery = &node.recovery;
    recovery.cache.borrow_mut().push(stream, offset, record);
    let piece = match stream {
        Stream::Catalogue => None,
        Stream::Control => snapshot_piece(record),
    };
    if let Some(piece) = piece {
        let now = node.boot_time();
        recovery.watch.borrow_mut().note_piece(&piece, now);
    }
}

fn early_withdrawals(node: &Node) -> Vec<KeyId> {
    node.state.borrow().early_withdrawals().cloned().collect()
}

/// Ends the flood of withdrawals that the log has brought by now.
fn forget_withdrawals(node: &Node, early: &[KeyId]) {
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
        // A set that is closed has no flood.
        let _ = peers.forget_withdrawals(&folded);
    }
}
