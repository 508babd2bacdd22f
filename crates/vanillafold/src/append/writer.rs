//! The records that this daemon has yet to write.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use metrics::counter;
use monoio::time::sleep;
use vanillafold_state::{
    Author, CatalogueChange, CatalogueRecord, ControlChange, ControlRecord, RecordError, Stream,
    Verdict,
};
use vanillafold_types::{DaemonId, Incarnation, Sequence};
use vanillafold_wire::platform::{AppendError, PlatformLog};

use crate::node::Node;
use crate::wait::WaitList;

/// The most records that wait; further ones are refused.
const MAX_PENDING: usize = 256;
/// The wait until an appended record should have been read back.
const READ_BACK: Duration = Duration::from_millis(500);
/// The wait before a failed append is repeated; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 200;
/// The longest wait before a failed append is repeated.
const MAX_BACKOFF_MS: u64 = 10_000;
/// The least time between two appends of this daemon, so that daemons that come back together
/// leave the log room for operators.
const APPEND_GAP: Duration = Duration::from_millis(20);

/// A change to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// Of the catalogue stream.
    Catalogue(CatalogueChange),
    /// Of the control stream.
    Control(ControlChange),
}

/// The records that this daemon has yet to write, in order.
#[derive(Debug)]
pub(crate) struct RecordWriter {
    author: Author,
    pending: RefCell<VecDeque<Change>>,
    last_sequence: Cell<u64>,
    wakers: Rc<WaitList>,
}

/// A record that is being written.
struct Written {
    stream: Stream,
    sequence: Sequence,
    bytes: Bytes,
    is_counted: bool,
}

impl RecordWriter {
    /// A writer that signs as this incarnation of `daemon`.
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
            wakers: WaitList::new(),
        }
    }

    /// Queues a change; one that waits already is not queued again. Says whether it is queued.
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
        self.wakers.wake_first();
        true
    }

    /// How many changes wait.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.borrow().len()
    }

    fn next(&self, node: &Node) -> Option<Result<Written, RecordError>> {
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
    ) -> Result<Written, RecordError> {
        let author = self.author.clone();
        let state = node.state.borrow();
        let (stream, bytes, is_counted) = match change {
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
                let is_counted = !matches!(change, ControlChange::Snapshot(_));
                let record = ControlRecord {
                    author,
                    sequence,
                    as_of,
                    change,
                };
                (stream, record.encode()?, is_counted)
            }
        };
        Ok(Written {
            stream,
            sequence,
            bytes: bytes.into(),
            is_counted,
        })
    }

    fn verdict(&self, node: &Node, written: &Written) -> Option<Verdict> {
        let state = node.state.borrow();
        let outcome = state.outcome(written.stream, &self.author, written.sequence);
        outcome.map(|outcome| outcome.verdict)
    }
}

/// Writes what is queued until the daemon stops.
///
/// # Errors
///
/// None; a platform that is out is tried again.
pub(crate) async fn write_records<P: PlatformLog>(
    node: Rc<Node>,
    platform: Rc<P>,
) -> Result<(), Infallible> {
    while !node.shutdown.is_set() {
        match node.writer.next(&node) {
            Some(Ok(written)) => {
                write(&node, &*platform, &written).await;
                node.writer.pending.borrow_mut().pop_front();
            }
            Some(Err(error)) => {
                node.counters.count_control_failure("record_encode");
                warn!("a record can't be written and is dropped: {error}");
                node.writer.pending.borrow_mut().pop_front();
            }
            None => {
                let mut waiter = node.writer.wakers.enqueue();
                monoio::select! {
                    () = waiter.woken() => {}
                    () = node.shutdown.wait() => {}
                }
            }
        }
    }
    Ok(())
}

/// Appends a record until the fold has decided on it. A repeat is harmless: the fold takes the
/// first and ignores the rest.
async fn write<P: PlatformLog>(node: &Node, platform: &P, written: &Written) {
    let mut backoff_ms = MIN_BACKOFF_MS;
    while !node.shutdown.is_set() {
        let stream = written.stream.as_str();
        counter!("vanillafold_log_appends_total", "stream" => stream).increment(1);
        match platform.append(stream, written.bytes.clone()).await {
            Ok(_) if !written.is_counted => return sleep(APPEND_GAP).await,
            Ok(_) => sleep(APPEND_GAP).await,
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
        if let Some(verdict) = read_back(node, written).await {
            info!("{} {}: {verdict:?}", written.stream, written.sequence);
            return;
        }
    }
}

/// Waits until the record is read back, for a while.
async fn read_back(node: &Node, written: &Written) -> Option<Verdict> {
    const LOOKS: u32 = 20;
    for _ in 0..LOOKS {
        if let Some(verdict) = node.writer.verdict(node, written) {
            return Some(verdict);
        }
        sleep(READ_BACK / LOOKS).await;
    }
    None
}
