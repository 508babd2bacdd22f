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

/// Interval between checks whether a snapshot is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Range of the random delay before a snapshot, per daemon of the fleet. It is long compared with
/// the time in which a chunk reaches all daemons, so that normally only one daemon writes.
const DELAY_PER_DAEMON_MS: u64 = 200;
/// Minimum of the range of the random delay.
const MIN_DELAY_MS: u64 = 1_000;
/// Pause between two chunks, so that other records can be written between them.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether a chunk has been written.
const WRITE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Until the daemon stops, writes a snapshot whenever one is due.
///
/// # Errors
///
/// Returns no error; while the platform is unreachable, nothing is written.
pub(crate) async fn write_snapshots(node: Rc<Node>) -> Result<(), Infallible> {
    let range_ms = (node.fleet().len() as u64 * DELAY_PER_DAEMON_MS).max(MIN_DELAY_MS);
    while !node.shutdown.is_set() {
        sleep(DUE_CHECK_INTERVAL).await;
        if !is_due(&node) {
            continue;
        }
        let delay_ms = node.rng.borrow_mut().below(range_ms);
        sleep(Duration::from_millis(delay_ms)).await;
        // Another daemon may have started a snapshot during the delay.
        if is_due(&node) {
            write_snapshot(&node).await;
        }
    }
    Ok(())
}

fn is_due(node: &Node) -> bool {
    let now = node.boot_time();
    let max_records = node.settings.platform.snapshot_records;
    node.is_ready()
        && node.recovery.is_platform_reachable(now)
        && node
            .recovery
            .snapshot_tracker
            .borrow()
            .is_due(max_records, now)
}

/// Submits the chunks to the record writer, each after the previous one was written, so that at
/// most one waits in the queue when the platform becomes unreachable.
async fn write_snapshot(node: &Node) {
    let snapshot = node.state.borrow().snapshot();
    let id = snapshot.id();
    let chunks = snapshot.chunks().len();
    for chunk in snapshot.into_chunks() {
        if !node.recovery.is_platform_reachable(node.boot_time()) {
            info!("snapshot {id} cancelled: the platform is unreachable");
            counter!("vanillafold_snapshots_given_up_total").increment(1);
            return;
        }
        let change = Change::Control(ControlChange::Snapshot(chunk));
        node.writer.submit(change);
        while node.writer.pending_count() > 0 && !node.shutdown.is_set() {
            sleep(WRITE_POLL_INTERVAL).await;
        }
        counter!("vanillafold_snapshot_pieces_written_total").increment(1);
        sleep(CHUNK_INTERVAL).await;
    }
    info!("snapshot {id} written in {chunks} chunks");
    counter!("vanillafold_snapshots_written_total").increment(1);
}
