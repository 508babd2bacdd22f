//! Follows a stream of the platform's log and folds its records.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use metrics::counter;
use monoio::time::sleep;
use vanillafold_policy::SplitMix;
use vanillafold_state::{BootMillis, Stream};
use vanillafold_types::Millis;
use vanillafold_wire::platform::{LogBatch, PlatformLog, ReadError};

use super::fold::fold;
use crate::node::Node;
use crate::recover::LogScan;

/// Records requested in one read.
const BATCH_RECORDS: u32 = 500;
/// How long the platform may delay its answer to a read while there are no new records.
const LONG_POLL_MS: Millis = Millis::new(1_000);
/// Initial backoff after a failed read; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 50;
/// Maximum backoff after failed reads.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Folds the records of `stream` until the daemon stops. While the platform does not answer,
/// another task gets the records from peers. If the platform has dropped the next records, the log
/// is searched for a snapshot to continue from.
///
/// # Errors
///
/// Returns no error; failed reads are repeated.
pub(crate) async fn follow_log<P: PlatformLog>(
    node: Rc<Node>,
    platform: Rc<P>,
    stream: Stream,
) -> Result<(), Infallible> {
    let mut backoff_ms = MIN_BACKOFF_MS;
    let mut scan = None;
    while !node.shutdown.is_set() {
        let began_at = node.boot_time();
        let from = node.state.borrow().next_offset(stream);
        // A daemon that has not caught up must learn without delay that it has read to the end.
        let wait_ms = match node.is_caught_up(stream) {
            true => LONG_POLL_MS,
            false => Millis::ZERO,
        };
        counter!("vanillafold_log_reads_total", "stream" => stream.as_str()).increment(1);
        let reading = platform.read(stream.as_str(), from, BATCH_RECORDS, wait_ms);
        let read = monoio::select! {
            read = reading => read,
            () = node.shutdown.wait() => return Ok(()),
        };
        match read {
            Ok(batch) => {
                backoff_ms = MIN_BACKOFF_MS;
                scan = None;
                apply_batch(&node, stream, &batch, began_at);
                continue;
            }
            Err(ReadError::Dropped { oldest }) => {
                node.note_records_dropped(stream);
                node.counters.count_control_failure("records_dropped");
                warn!(
                    "{stream} record {from} is needed next, but the oldest that the platform retains is {oldest}"
                );
                let scan = scan.get_or_insert_with(LogScan::new);
                match scan.merge_latest(&node, &*platform).await {
                    Ok(true) => continue,
                    Ok(false) => warn!(
                        "not ready: the log has no usable snapshot; waiting for one or for a peer"
                    ),
                    Err(error) => warn!("snapshot search in the log failed, retrying: {error}"),
                }
            }
            Err(error) => {
                node.recovery.note_unavailable(stream);
                node.counters.count_control_failure("log_read");
                warn!("reading the {stream} stream of the log failed, retrying: {error}");
            }
        }
        let jitter = jittered(&mut node.rng.borrow_mut(), backoff_ms);
        sleep(jitter).await;
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
    Ok(())
}

/// Returns a random time between half of `backoff_ms` and all of it, so that daemons do not retry
/// all at once.
fn jittered(rng: &mut SplitMix, backoff_ms: u64) -> Duration {
    let half = backoff_ms / 2;
    Duration::from_millis(half + rng.below(half.max(1)))
}

fn apply_batch(node: &Node, stream: Stream, batch: &LogBatch, began_at: BootMillis) {
    node.recovery.note_read(stream, node.boot_time());
    let mut tracker = node.recovery.snapshot_tracker.borrow_mut();
    tracker.set_retained(stream, batch.oldest, batch.next);
    drop(tracker);
    let records = batch.records.iter();
    let records = records.map(|record| (record.offset, &record.data[..]));
    fold(node, stream, records);
    let next = node.state.borrow().next_offset(stream);
    if next >= batch.next {
        node.note_caught_up(stream, began_at);
    }
}
