//! Writes the shard's records, one batch at a time.

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

/// What became of a batch.
enum AppendOutcome {
    Stored,
    Refused(String),
    Superseded,
}

/// Writes for as long as the ownership stands.
pub(crate) async fn write<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let mut store = ownership.daemon.platform.store();
    let mut sequence = 0;
    let mut usual = APPEND_TIMEOUT;
    let mut pause = APPEND_BACKOFF_MIN;
    let mut away = false;
    loop {
        let Some(batch) = ownership.with(Shard::take_batch).flatten() else {
            ownership.records_ready.take().await;
            sleep(APPEND_BATCH_DELAY).await;
            continue;
        };
        let producer = Producer {
            name: SHARD_PRODUCER,
            epoch: ownership.epoch(),
            sequence: sequence + 1,
        };
        match append(&ownership, &mut store, producer, &batch, &mut usual).await {
            AppendOutcome::Stored => {
                sequence += 1;
                pause = APPEND_BACKOFF_MIN;
                if std::mem::replace(&mut away, false) {
                    log::info!("the store takes records again");
                }
                ownership.store_unavailable_until_ms.set(0);
                ownership.with(|shard| shard.batch_stored(&batch));
                ownership.notify_stored();
                let hurried = ownership.with(|shard| shard.hurry_holds(now()));
                for id in hurried.unwrap_or_default() {
                    if let Some(link) = ownership.link(&id) {
                        link.poll_now.give();
                    }
                }
                ownership.events.give();
            }
            AppendOutcome::Refused(reason) => {
                if !std::mem::replace(&mut away, true) {
                    metric::dependency_lost("store_writes");
                    log::warn!(reason = reason.as_str(), records = batch.records.len(); "the store takes no records");
                }
                let dropped = ownership.with(|shard| shard.batch_refused(&batch));
                ownership.notify_dropped(&dropped.unwrap_or_default());
                ownership.store_failed();
                sleep(pause).await;
                pause = (pause * 2).min(APPEND_BACKOFF_MAX);
            }
            AppendOutcome::Superseded => ownership.close("a later owner has written"),
        }
    }
}

/// Appends a batch. Once an answer has been lost, the same append is repeated until its outcome
/// is known: the store carries out one sequence number once.
async fn append<P: FleetPlatform>(
    ownership: &ShardOwnership<P>,
    store: &mut P::Store,
    producer: Producer,
    batch: &Batch,
    usual: &mut Duration,
) -> AppendOutcome {
    let mut wait = *usual;
    let mut unanswered = false;
    let began = now();
    loop {
        let limit_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let appended = store
            .append(
                Keyspace::Jobs,
                AppendCondition::Producer(producer),
                &batch.records,
                limit_ms,
            )
            .await;
        match appended {
            Ok(()) => {
                metric::append("stored", began);
                let took = Duration::from_millis(now().since(began).get());
                *usual = match unanswered {
                    true => wait,
                    false => (took * 8).clamp(APPEND_TIMEOUT, APPEND_TIMEOUT_MAX),
                };
                return AppendOutcome::Stored;
            }
            Err(AppendError::Fenced | AppendError::EndMoved) => return AppendOutcome::Superseded,
            Err(AppendError::SequenceMismatch { expected })
                if expected == producer.sequence + 1 =>
            {
                return AppendOutcome::Stored;
            }
            Err(AppendError::SequenceMismatch { expected }) => {
                log::error!(
                    expected = expected, sequence = producer.sequence;
                    "the store expects another append than this owner's next"
                );
                return AppendOutcome::Superseded;
            }
            Err(AppendError::Store(StoreError::Refused(reason))) if !unanswered => {
                metric::append("refused", began);
                return AppendOutcome::Refused(reason);
            }
            Err(AppendError::Store(error)) => {
                metric::append("unanswered", began);
                log::info!(error = error.to_string(), waited_ms = limit_ms; "append not answered");
                unanswered |= matches!(error, StoreError::NoAnswer(_));
                wait = (wait * 2).min(APPEND_TIMEOUT_MAX);
                ownership.store_failed();
                sleep(APPEND_BACKOFF_MIN).await;
            }
        }
    }
}
