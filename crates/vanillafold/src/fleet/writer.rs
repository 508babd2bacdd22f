//! Writes the shard's records, one batch at a time.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_jobs::{Batch, Shard};

use super::metric;
use super::office::Office;
use super::platform::{
    AppendError, AppendGuard, FleetPlatform, Keyspace, MetadataStore, Producer, StoreError,
};
use super::settings::{
    APPEND_DELAY, APPEND_RETRY, APPEND_RETRY_MAX, APPEND_TIMEOUT, APPEND_TIMEOUT_MAX,
    SHARD_PRODUCER,
};
use super::time::now;

/// What became of a batch.
enum Written {
    Stored,
    Refused(String),
    Superseded,
}

/// Writes for as long as the ownership stands.
pub(crate) async fn write<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut store = office.fleet.platform.store();
    let mut sequence = 0;
    let mut usual = APPEND_TIMEOUT;
    let mut pause = APPEND_RETRY;
    let mut away = false;
    loop {
        let Some(batch) = office.with(Shard::take_batch).flatten() else {
            office.to_write.notified().await;
            sleep(APPEND_DELAY).await;
            continue;
        };
        let producer = Producer {
            name: SHARD_PRODUCER,
            epoch: office.epoch(),
            sequence: sequence + 1,
        };
        match append(&office, &mut store, producer, &batch, &mut usual).await {
            Written::Stored => {
                sequence += 1;
                pause = APPEND_RETRY;
                if std::mem::replace(&mut away, false) {
                    log::info!("the store takes records again");
                }
                office.store_away_until.set(0);
                office.with(|shard| shard.batch_stored(&batch));
                office.tell_stored();
                let hurried = office.with(|shard| shard.expedite_polls(now()));
                for id in hurried.unwrap_or_default() {
                    if let Some(link) = office.link(&id) {
                        link.look.notify_one();
                    }
                }
                office.events.notify_one();
            }
            Written::Refused(reason) => {
                if !std::mem::replace(&mut away, true) {
                    metric::dependency_lost("store_writes");
                    log::warn!(reason = reason.as_str(), records = batch.records.len(); "the store takes no records");
                }
                let dropped = office.with(|shard| shard.batch_refused(&batch));
                office.tell_dropped(&dropped.unwrap_or_default());
                office.store_failed();
                sleep(pause).await;
                pause = (pause * 2).min(APPEND_RETRY_MAX);
            }
            Written::Superseded => office.close("a later owner has written"),
        }
    }
}

/// Appends a batch. Once an answer has been lost, the same append is repeated until its outcome
/// is known: the store carries out one sequence number once.
async fn append<P: FleetPlatform>(
    office: &Office<P>,
    store: &mut P::Store,
    producer: Producer,
    batch: &Batch,
    usual: &mut Duration,
) -> Written {
    let mut wait = *usual;
    let mut unanswered = false;
    let began = now();
    loop {
        let limit_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let appended = store
            .append(
                Keyspace::Jobs,
                AppendGuard::Producer(producer),
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
                return Written::Stored;
            }
            Err(AppendError::Fenced | AppendError::Moved) => return Written::Superseded,
            Err(AppendError::Sequence { expected }) if expected == producer.sequence + 1 => {
                return Written::Stored;
            }
            Err(AppendError::Sequence { expected }) => {
                log::error!(
                    expected = expected, sequence = producer.sequence;
                    "the store expects another append than this owner's next"
                );
                return Written::Superseded;
            }
            Err(AppendError::Store(StoreError::Refused(reason))) if !unanswered => {
                metric::append("refused", began);
                return Written::Refused(reason);
            }
            Err(AppendError::Store(error)) => {
                metric::append("unanswered", began);
                log::info!(error = error.to_string(), waited_ms = limit_ms; "append not answered");
                unanswered |= matches!(error, StoreError::NoAnswer(_));
                wait = (wait * 2).min(APPEND_TIMEOUT_MAX);
                office.store_failed();
                sleep(APPEND_RETRY).await;
            }
        }
    }
}
