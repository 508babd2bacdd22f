//! What workers say of themselves.

use std::net::SocketAddr;

use crate::id::{RunNumber, TaskId, WorkerId};
use crate::spec::Resources;

/// A worker as it registers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its id.
    pub id: WorkerId,
    /// The pool that it belongs to.
    pub pool: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// It takes new work.
    pub ready: bool,
    /// What it has.
    pub capacity: Resources,
    /// Its labels: hardware kind and rack.
    pub labels: Vec<String>,
    /// When it started, milliseconds since 1970; tells two lives of one id apart.
    pub started_unix_ms: Option<u64>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// The other members of its gang did not come.
    GangIncomplete,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Its newest checkpoint; empty if none.
    pub checkpoint: String,
    /// The share of its work that is done; for persistent tasks, how far it is up.
    pub percent: u32,
    /// For a task that serves: the tail of its response times in milliseconds. For others: the
    /// thousandths of a core in use.
    pub load: u64,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// The worker's own count of ends, from 1 in each of its lives.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Its newest checkpoint; empty if none.
    pub checkpoint: String,
}

/// What a worker runs and what has ended on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollReport {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When it started, milliseconds since 1970.
    pub started_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What has ended and was not deleted, in order.
    pub ended: Vec<ListedEnd>,
}

/// How a worker took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Carried out.
    Accepted {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// A later owner has been there.
    Fenced,
    /// The run is not above one that ended there.
    OldRun,
    /// The order came after its deadline on the worker's clock.
    Late {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The worker has no room.
    NoRoom,
    /// The ticket of the placement advice does not hold.
    BadTicket,
    /// The worker refused for now and did nothing.
    Unhealthy,
    /// The worker can't read or does not know it; nothing was done.
    Invalid,
    /// Another worker answers at the address: the one that was meant is gone.
    Replaced,
    /// No answer: it may have been carried out, or may still be.
    Unknown,
    /// It never left.
    NotSent,
}
