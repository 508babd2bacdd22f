//! Workers as registered, the reports in their answers to polls, and their answers to orders.

use std::net::SocketAddr;

use crate::id::{RunNumber, TaskId, WorkerId};
use crate::spec::Resources;

/// A worker as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Id under which the worker registered.
    pub id: WorkerId,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Address to which orders and polls are sent.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: String,
    /// Whether the worker accepts new tasks.
    pub ready: bool,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker: hardware kind, then rack.
    pub labels: Vec<String>,
    /// When the worker started, in milliseconds since 1970. Distinguishes two incarnations of one
    /// id.
    pub started_unix_ms: Option<u64>,
    /// How much longer the worker is cold, and slow, in milliseconds.
    pub cold_remaining_ms: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// An order stopped the run.
    Stopped,
    /// The lease of the run expired, or the run was lost with its worker.
    LeaseExpired,
    /// Another member of the run's gang ended.
    GangMemberEnded,
    /// The other members of the run's gang did not start in time.
    GangIncomplete,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Newest checkpoint of the run; empty if it has none.
    pub checkpoint: String,
    /// Completed share of the work in percent; for a persistent task, how far its warm-up is.
    pub percent: u32,
    /// Tail latency in milliseconds for a task with a latency target; otherwise the CPU in use, in
    /// thousandths of a core.
    pub load: u64,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// Sequence number of the end on this worker, from 1 in each incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub kind: EndKind,
    /// Newest checkpoint of the run; empty if it has none.
    pub checkpoint: String,
}

/// A worker's answer to a poll: its running runs and its unacknowledged ends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollReport {
    /// Time on the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the worker started, in milliseconds since 1970.
    pub started_unix_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Whether the worker lists further runs that can't be read. A run that is not in `running` may
    /// then be in progress.
    pub has_unreadable_runs: bool,
    /// Ends that the owner has not acknowledged, in the order of their sequence numbers.
    pub ended: Vec<ListedEnd>,
    /// Whether the worker may have further ends, which it lists once these are acknowledged. A run
    /// that is not in `running` may then be one of them.
    pub has_more_ends: bool,
}

impl PollReport {
    /// Returns whether the report shows all runs in progress and all ends that have not been
    /// acknowledged. Only then has a run that is not in it ended without leaving an end.
    pub(crate) const fn is_complete(&self) -> bool {
        !self.has_unreadable_runs && !self.has_more_ends
    }

    /// Returns whether the report lists a run, in progress or ended.
    pub(crate) fn lists(&self, task: TaskId, run: RunNumber) -> bool {
        let is_running = |row: &ListedRun| row.task == task && row.run == run;
        let has_ended = |row: &ListedEnd| row.task == task && row.run == run;
        self.running.iter().any(is_running) || self.ended.iter().any(has_ended)
    }
}

/// A worker's answer to an order. It does not tell the worker's clock: answers on another connection
/// may overtake it, so that an old reading would be taken for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was carried out.
    Accepted,
    /// Rejected: the worker has seen a later owner.
    Fenced,
    /// Rejected: a run of the task with the same or a higher number has ended on the worker.
    OldRun,
    /// Rejected: the order's deadline had passed on the worker's clock.
    Late,
    /// Rejected: the worker has not enough free capacity.
    NoRoom,
    /// Rejected: the ticket of the placement advice is not valid.
    BadTicket,
    /// Rejected for the time being: the worker is unhealthy and did nothing.
    Unhealthy,
    /// Rejected: the worker can't parse the order or doesn't know the run; nothing was done.
    Invalid,
    /// Another worker answers at the address; the intended one is gone.
    Replaced,
    /// No answer: the order may have been carried out, or may still be.
    Unknown,
    /// No answer, because the connection was closed: the order may have been carried out, or may
    /// have crashed the worker.
    ConnectionLost,
    /// The order was not sent.
    NotSent,
}
