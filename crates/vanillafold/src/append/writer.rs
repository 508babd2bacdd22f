//! The queue of records that this daemon has to append to the log, and the task that appends them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::{error, info, warn};
use metrics::counter;
use monoio::time::sleep;
use vanillafold_state::{
    Author, CatalogueChange, CatalogueRecord, ControlChange, ControlRecord, Outcome, RecordError,
    Stream,
};
use vanillafold_types::{DaemonId, Incarnation, Sequence};
use vanillafold_wire::platform::{AppendError, PlatformLog};

use crate::node::Node;
use crate::wait::WaitList;

/// Maximum number of queued changes; further ones are refused.
const MAX_PENDING: usize = 256;
/// How long to wait for an appended record to be read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before the first repeat of a failed append; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 200;
/// Maximum delay, without jitter, before a failed append is repeated.
const MAX_BACKOFF_MS: u64 = 10_000;
/// Minimum interval between two appends of this daemon, so that daemons that reconnect at the
/// same time leave room in the log for operators' appends.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(20);

/// A change to be appended to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// A change for the catalogue stream.
    Catalogue(CatalogueChange),
    /// A change for the control stream.
    Control(ControlChange),
}

/// The queue of changes that this daemon has to append, in order.
#[derive(Debug)]
pub(crate) struct RecordWriter {
    author: Author,
    pending: RefCell<VecDeque<Change>>,
    last_sequence: Cell<u64>,
    waiters: Rc<WaitList>,
}

/// An encoded record that is being appended.
struct EncodedRecord {
    stream: Stream,
    sequence: Sequence,
    bytes: Bytes,
    /// Whether the fold keeps a verdict for the record, so that it can be read back.
    has_verdict: bool,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordFate {
    /// The fold has a verdict on it, or it was appended and the fold keeps none.
    Decided,
    /// The fold has a record of another process with the same author and sequence number, and
    /// refuses this one.
    Displaced,
    /// The daemon stops.
    Abandoned,
}

impl RecordWriter {
    /// Returns a writer without changes, whose records name this incarnation of `daemon` as author.
    pub(crate) fn new(daemon: &DaemonId, incarnation: Incarnation) -> Self {
        Self {
            author: Author {
                id: daemon.as_str().parse().unwrap_or_else(|error| {
                    unreachable!("a daemon's name is an author's name: {error}")
                }),
                incarnation,
            },
            pending: RefCell::default(),
            last_sequence: Cell::new(0),
            waiters: WaitList::new(),
        }
    }

    /// Queues a change unless an equal one is queued already. Returns false if the queue is full.
    pub(crate) fn submit(&self, change: Change) -> bool {
        let mut pending = self.pending.borrow_mut();
        if pending.contains(&change) {
            return true;
        }
        if pending.len() >= MAX_PENDING {
            return false;
        }
        pending.push_back(change);
        drop(pending);
        self.waiters.wake_first();
        true
    }

    /// Returns the number of changes that are queued or being appended.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.borrow().len()
    }

    fn encode_next(&self, node: &Node) -> Option<Result<EncodedRecord, RecordError>> {
        let change = self.pending.borrow().front().cloned()?;
        self.last_sequence.set(self.last_sequence.get() + 1);
        let sequence = Sequence::new(self.last_sequence.get());
        Some(self.encode(node, sequence, change))
    }

    fn encode(
        &self,
        node: &Node,
        sequence: Sequence,
        change: Change,
    ) -> Result<EncodedRecord, RecordError> {
        let author = self.author.clone();
        let state = node.state.borrow();
        let (stream, bytes, has_verdict) = match change {
            Change::Catalogue(change) => {
                let stream = Stream::Catalogue;
                let as_of = state.next_offset(stream);
                let record = CatalogueRecord {
                    author,
                    sequence,
                    as_of,
                    change,
                };
                (stream, record.encode()?, true)
            }
            Change::Control(change) => {
                let stream = Stream::Control;
                let as_of = state.next_offset(stream);
                let has_verdict = !matches!(change, ControlChange::Snapshot(_));
                let record = ControlRecord {
                    author,
                    sequence,
                    as_of,
                    change,
                };
                (stream, record.encode()?, has_verdict)
            }
        };
        Ok(EncodedRecord {
            stream,
            sequence,
            bytes: bytes.into(),
            has_verdict,
        })
    }

    fn outcome(&self, node: &Node, record: &EncodedRecord) -> Option<Outcome> {
        let state = node.state.borrow();
        state.outcome(record.stream, &self.author, record.sequence)
    }
}

/// Appends queued changes until the daemon stops. If another process uses the author's name and
/// incarnation, a displaced change is appended again under the next sequence number, and
/// the daemon stops.
///
/// # Errors
///
/// Returns no error; failed appends are repeated.
pub(crate) async fn write_records<P: PlatformLog>(
    node: Rc<Node>,
    platform: Rc<P>,
) -> Result<(), Infallible> {
    while !node.shutdown.is_set() {
        match node.writer.encode_next(&node) {
            Some(Ok(record)) => match append_until_decided(&node, &*platform, &record).await {
                RecordFate::Decided => {
                    node.writer.pending.borrow_mut().pop_front();
                }
                RecordFate::Displaced => node.note_shared_identity(),
                RecordFate::Abandoned => {}
            },
            Some(Err(error)) => {
                node.counters.count_control_failure("record_encode");
                warn!("dropping a record that could not be encoded: {error}");
                node.writer.pending.borrow_mut().pop_front();
            }
            None => {
                let mut waiter = node.writer.waiters.enqueue();
                monoio::select! {
                    () = waiter.woken() => {}
                    () = node.shutdown.wait() => {}
                }
            }
        }
    }
    Ok(())
}

/// Appends a record again and again until the fold has an outcome under its author and sequence
/// number or, if the fold keeps none for it, until an append succeeds. Repeats are harmless: the
/// fold applies the first copy and ignores the others.
async fn append_until_decided<P: PlatformLog>(
    node: &Node,
    platform: &P,
    record: &EncodedRecord,
) -> RecordFate {
    let mut backoff_ms = MIN_BACKOFF_MS;
    while !node.shutdown.is_set() {
        let stream = record.stream.as_str();
        counter!("vanillafold_log_appends_total", "stream" => stream).increment(1);
        match platform.append(stream, record.bytes.clone()).await {
            Ok(_) if !record.has_verdict => {
                sleep(MIN_APPEND_INTERVAL).await;
                return RecordFate::Decided;
            }
            Ok(_) => sleep(MIN_APPEND_INTERVAL).await,
            Err(error) => {
                node.counters.count_control_failure("log_append");
                if matches!(error, AppendError::NotAppended { .. }) {
                    let jitter_ms = node.rng.borrow_mut().below(backoff_ms);
                    sleep(Duration::from_millis(backoff_ms + jitter_ms)).await;
                    backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                    continue;
                }
            }
        }
        match wait_for_outcome(node, record).await {
            Some(outcome) if outcome.matches_record(&record.bytes) => {
                info!(
                    "{} record with sequence number {} read back: {:?}",
                    record.stream, record.sequence, outcome.verdict
                );
                return RecordFate::Decided;
            }
            Some(_) => {
                error!(
                    "another process has written a {} record with sequence number {} of this \
                     incarnation",
                    record.stream, record.sequence
                );
                return RecordFate::Displaced;
            }
            None => {}
        }
    }
    RecordFate::Abandoned
}

/// Waits up to [`READ_BACK_TIMEOUT`] for the fold's outcome of the record with the author and
/// sequence number of this one.
async fn wait_for_outcome(node: &Node, record: &EncodedRecord) -> Option<Outcome> {
    const CHECKS: u32 = 20;
    for _ in 0..CHECKS {
        if let Some(outcome) = node.writer.outcome(node, record) {
            return Some(outcome);
        }
        sleep(READ_BACK_TIMEOUT / CHECKS).await;
    }
    None
}
