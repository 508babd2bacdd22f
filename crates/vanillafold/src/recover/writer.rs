//! Writes a snapshot of the state to the control stream when one is due.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use metrics::counter;
use monoio::time::sleep;
use vanillafold_state::ControlChange;

use crate::append::Change;
use crate::node::Node;

/// Between two looks whether a snapshot is due.
const LOOK: Duration = Duration::from_millis(500);
/// The range of the random delay before a snapshot, for each daemon of the fleet: long beside
/// the time in which a piece reaches all, so that normally one daemon writes.
const DELAY_PER_DAEMON_MS: u64 = 200;
/// The least range of the delay.
const MIN_DELAY_MS: u64 = 1_000;
/// Between two pieces, so that other records come between.
const PIECE_GAP: Duration = Duration::from_millis(100);
/// Between two looks whether a piece was written.
const PIECE_LOOK: Duration = Duration::from_millis(10);

/// Writes snapshots when they are due until the daemon stops.
///
/// # Errors
///
/// None; while the platform is out, nothing is written.
pub(crate) async fn write_snapshots(node: Rc<Node>) -> Result<(), Infallible> {
    let range_ms = (node.fleet().len() as u64 * DELAY_PER_DAEMON_MS).max(MIN_DELAY_MS);
    while !node.shutdown.is_set() {
        sleep(LOOK).await;
        if !is_due(&node) {
            continue;
        }
        let delay_ms = node.rng.borrow_mut().below(range_ms);
        sleep(Duration::from_millis(delay_ms)).await;
        // Another daemon may have begun one meanwhile.
        if is_due(&node) {
            write_one(&node).await;
        }
    }
    Ok(())
}

fn is_due(node: &Node) -> bool {
    let now = node.boot_time();
    let most_records = node.settings.platform.snapshot_records;
    node.is_ready()
        && node.recovery.has_platform(now)
        && node.recovery.watch.borrow().is_due(most_records, now)
}

/// Hands the pieces to the record writer, each when the one before is written, so that a
/// platform that goes out leaves at most one waiting.
async fn write_one(node: &Node) {
    let snapshot = node.state.borrow().snapshot();
    let id = snapshot.id();
    let pieces = snapshot.chunks().len();
    for piece in snapshot.into_chunks() {
        if !node.recovery.has_platform(node.boot_time()) {
            info!("the snapshot {id} is given up: the platform is out");
            counter!("vanillafold_snapshots_given_up_total").increment(1);
            return;
        }
        let change = Change::Control(ControlChange::Snapshot(piece));
        node.writer.submit(change);
        while node.writer.pending_count() > 0 && !node.shutdown.is_set() {
            sleep(PIECE_LOOK).await;
        }
        counter!("vanillafold_snapshot_pieces_written_total").increment(1);
        sleep(PIECE_GAP).await;
    }
    info!("the snapshot {id} is written in {pieces} pieces");
    counter!("vanillafold_snapshots_written_total").increment(1);
}
