//! The owner's task that writes the shard's records, one batch at a time.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_jobs::{Batch, Shard};

use super::metric;
use super::ownership::ShardOwnership;
use super::platform::{
    AppendCondition, AppendError, FleetPlatform, Keyspace, MetadataStore, Producer, StoreError,
};
use super::settings::{
    APPEND_BACKOFF_MAX, APPEND_BACKOFF_MIN, APPEND_BATCH_DELAY, APPEND_TIMEOUT, APPEND_TIMEOUT_MAX,
    SHARD_PRODUCER,
};
use super::time::now;

/// Final outcome of appending a batch.
enum AppendOutcome {
    Stored,
    /// Nothing was stored, for the given reason.
    Refused(String),
    /// A later owner has written, or the store expects a sequence number that this owner never
    /// used.
    Superseded,
}

/// Writes the shard's records in batches until the ownership ends.
pub(crate) async fn write_records<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let mut store = ownership.daemon.platform.store();
    let mut sequence = 0;
    let mut first_timeout = APPEND_TIMEOUT;
    let mut backoff = APPEND_BACKOFF_MIN;
    let mut store_unavailable = false;
    loop {
        let Some(batch) = ownership.with(Shard::take_batch).flatten() else {
            ownership.records_ready.notified().await;
            sleep(APPEND_BATCH_DELAY).await;
            continue;
        };
        let producer = Producer {
            name: SHARD_PRODUCER,
            epoch: ownership.epoch(),
            sequence: sequence + 1,
        };
        match append(&ownership, &mut store, producer, &batch, &mut first_timeout).await {
            AppendOutcome::Stored => {
                sequence += 1;
                backoff = APPEND_BACKOFF_MIN;
                if std::mem::replace(&mut store_unavailable, false) {
                    log::info!("the store accepts records again");
                }
                ownership.store_unavailable_until_ms.set(0);
                ownership.with(|shard| shard.batch_stored(&batch));
                ownership.notify_stored();
                let to_poll = ownership.with(|shard| shard.expedite_polls(now()));
                for id in to_poll.unwrap_or_default() {
                    if let Some(link) = ownership.link(&id) {
                        link.poll_now.notify_one();
                    }
                }
                ownership.events.notify_one();
            }
            AppendOutcome::Refused(reason) => {
                if !std::mem::replace(&mut store_unavailable, true) {
                    metric::dependency_lost("store_writes");
                    log::warn!(reason = reason.as_str(), records = batch.records.len(); "the store refused records; jobs submitted in them are refused, the rest is written again with backoff");
                }
                let dropped = ownership.with(|shard| shard.batch_refused(&batch));
                ownership.notify_dropped(&dropped.unwrap_or_default());
                ownership.handle_store_failure();
                sleep(backoff).await;
                backoff = (backoff * 2).min(APPEND_BACKOFF_MAX);
            }
            AppendOutcome::Superseded => ownership.close("the store rejects this owner's records"),
        }
    }
}

/// Appends a batch. Once an answer has been lost, the append is repeated until its outcome is
/// known; this is safe because the store accepts each sequence number only once.
///
/// `first_timeout` is the timeout of the first attempt. After a successful append it is set to
/// eight times the latency, or, if answers were lost, to the timeout that was sufficient.
async fn append<P: FleetPlatform>(
    ownership: &ShardOwnership<P>,
    store: &mut P::Store,
    producer: Producer,
    batch: &Batch,
    first_timeout: &mut Duration,
) -> AppendOutcome {
    let mut append_timeout = *first_timeout;
    let mut unanswered = false;
    let began = now();
    loop {
        let timeout_ms = u64::try_from(append_timeout.as_millis()).unwrap_or(u64::MAX);
        let appended = store
            .append(
                Keyspace::Jobs,
                AppendCondition::Producer(producer),
                &batch.records,
                timeout_ms,
            )
            .await;
        match appended {
            Ok(()) => {
                metric::append("stored", began);
                let elapsed = Duration::from_millis(now().since(began).get());
                *first_timeout = match unanswered {
                    true => append_timeout,
                    false => (elapsed * 8).clamp(APPEND_TIMEOUT, APPEND_TIMEOUT_MAX),
                };
                return AppendOutcome::Stored;
            }
            Err(AppendError::Fenced | AppendError::EndMoved) => return AppendOutcome::Superseded,
            Err(AppendError::SequenceMismatch { expected })
                if expected == producer.sequence + 1 =>
            {
                // An earlier attempt was stored, but its answer was lost.
                return AppendOutcome::Stored;
            }
            Err(AppendError::SequenceMismatch { expected }) => {
                log::error!(
                    expected = expected, sequence = producer.sequence;
                    "the store expects another sequence number than this owner's next; giving the shard up"
                );
                return AppendOutcome::Superseded;
            }
            Err(AppendError::Store(StoreError::Refused(reason))) if !unanswered => {
                metric::append("refused", began);
                return AppendOutcome::Refused(reason);
            }
            Err(AppendError::Store(error)) => {
                metric::append("unanswered", began);
                log::info!(error = error.to_string(), waited_ms = timeout_ms; "append failed; retrying");
                unanswered |= matches!(error, StoreError::NoAnswer(_));
                append_timeout = (append_timeout * 2).min(APPEND_TIMEOUT_MAX);
                ownership.handle_store_failure();
                sleep(APPEND_BACKOFF_MIN).await;
            }
        }
    }
}
