//! Reads a stream of the platform's log and folds it.

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

/// Records asked for at once.
const BATCH_RECORDS: u32 = 500;
/// How long the platform holds a read while there is nothing new.
const LONG_POLL: Millis = Millis::new(1_000);
/// The wait before a failed read is repeated; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 50;
/// The longest wait before a failed read is repeated.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Folds the records of `stream` until the daemon stops.
///
/// # Errors
///
/// None. Without the platform, peers give the records; when the records needed next were dropped,
/// a snapshot of the log is looked for.
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
        // A daemon that has nothing yet must learn at once that there is no more.
        let wait_ms = match node.is_caught_up(stream) {
            true => LONG_POLL,
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
                take(&node, stream, &batch, began_at);
                continue;
            }
            Err(ReadError::Dropped { oldest }) => {
                node.lost(stream);
                node.counters.count_control_failure("records_dropped");
                warn!("the log keeps {stream} from {oldest} on, but {from} is next here");
                let scan = scan.get_or_insert_with(LogScan::new);
                match scan.adopt_newest(&node, &*platform).await {
                    Ok(true) => continue,
                    Ok(false) => warn!("the log holds no snapshot to go on from: not ready"),
                    Err(error) => warn!("looking for a snapshot failed: {error}"),
                }
            }
            Err(error) => {
                node.recovery.note_out(stream);
                node.counters.count_control_failure("log_read");
                warn!("reading {stream} failed: {error}");
            }
        }
        let jitter = jittered(&mut node.rng.borrow_mut(), backoff_ms);
        sleep(jitter).await;
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
    Ok(())
}

/// Between half of `backoff_ms` and all of it, so that daemons do not come back together.
fn jittered(rng: &mut SplitMix, backoff_ms: u64) -> Duration {
    let half = backoff_ms / 2;
    Duration::from_millis(half + rng.below(half.max(1)))
}

fn take(node: &Node, stream: Stream, batch: &LogBatch, began_at: BootMillis) {
    node.recovery.note_read(stream, node.boot_time());
    let mut watch = node.recovery.watch.borrow_mut();
    watch.note_kept(stream, batch.oldest, batch.next);
    drop(watch);
    let records = batch.records.iter();
    let records = records.map(|record| (record.offset, &record.data[..]));
    fold(node, stream, records);
    let next = node.state.borrow().next_offset(stream);
    if next >= batch.next {
        node.caught_up(stream, began_at);
    }
}
