//! Reads a stream of the platform's log and folds it.

use std::rc::Rc;
use std::time::Duration;

use log::{error, warn};
use monoio::time::sleep;
use vanillafold_policy::SplitMix;
use vanillafold_state::{Applied, Stream};
use vanillafold_types::{Millis, Offset};
use vanillafold_wire::platform::{LogBatch, PlatformLog, ReadError};

use crate::node::Node;

/// Records asked for at once.
const BATCH_RECORDS: u32 = 500;
/// How long the platform holds a read while there is nothing new.
const LONG_POLL: Millis = Millis::new(1_000);
/// The wait before a failed read is repeated; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 50;
/// The longest wait before a failed read is repeated.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Why following ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FollowError {
    /// Records that are needed were dropped by retention.
    #[error("the log keeps {stream} only from offset {oldest}, but {next} is next here")]
    Dropped {
        /// The stream.
        stream: Stream,
        /// The oldest offset that is kept.
        oldest: Offset,
        /// The next offset of this daemon.
        next: Offset,
    },
}

/// Folds the records of `stream` until the daemon stops.
///
/// # Errors
///
/// [`FollowError::Dropped`]: the daemon was away for longer than the platform keeps records.
pub(crate) async fn follow_log<P: PlatformLog>(
    node: Rc<Node>,
    platform: Rc<P>,
    stream: Stream,
) -> Result<(), FollowError> {
    let mut backoff_ms = MIN_BACKOFF_MS;
    while !node.shutdown.is_ordered() {
        let from = node.state.borrow().next_offset(stream);
        // A daemon that has nothing yet must learn at once that there is no more.
        let wait_ms = match node.is_caught_up(stream) {
            true => LONG_POLL,
            false => Millis::ZERO,
        };
        let reading = platform.read(stream.as_str(), from, BATCH_RECORDS, wait_ms);
        let read = monoio::select! {
            read = reading => read,
            () = node.shutdown.ordered() => return Ok(()),
        };
        match read {
            Ok(batch) => {
                backoff_ms = MIN_BACKOFF_MS;
                fold(&node, stream, &batch);
            }
            Err(ReadError::Dropped { oldest }) => {
                return Err(FollowError::Dropped {
                    stream,
                    oldest,
                    next: from,
                });
            }
            Err(error) => {
                node.counters.control_failure("log_read");
                warn!("reading {stream} failed: {error}");
                let jitter = jittered(&mut node.rng.borrow_mut(), backoff_ms);
                sleep(jitter).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
    Ok(())
}

/// Between half of `backoff_ms` and all of it, so that daemons do not come back together.
fn jittered(rng: &mut SplitMix, backoff_ms: u64) -> Duration {
    let half = backoff_ms / 2;
    Duration::from_millis(half + rng.below(half.max(1)))
}

fn fold(node: &Node, stream: Stream, batch: &LogBatch) {
    let mut changed = false;
    for record in &batch.records {
        let applied = node
            .state
            .borrow_mut()
            .apply(stream, record.offset, &record.data);
        match applied {
            Applied::Accepted => changed = true,
            Applied::Repeated(_) => {}
            Applied::Refused(reason) => {
                node.counters.control_failure("record_refused");
                warn!("{stream} {} was refused: {}", record.offset, reason.text());
            }
            Applied::OutOfOrder(order) => {
                error!("{stream} {} is out of order: {order:?}", record.offset);
                break;
            }
        }
    }
    if changed {
        node.follow_state(stream);
    }
    let next = node.state.borrow().next_offset(stream);
    if next >= batch.next {
        node.caught_up(stream);
    }
}
