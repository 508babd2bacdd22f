//! The rows of a recording, one type for each kind of event.

use crate::trace::ReceivedOutcome;

use super::requests::Ranks;
use super::{Name, Request};

/// A request was sent.
#[derive(Debug)]
pub(crate) struct SentRow {
    pub(crate) request: Request,
    pub(crate) at_us: u64,
    pub(crate) process: Name,
    pub(crate) queue: Name,
    pub(crate) team: Option<Name>,
    pub(crate) key: Option<Name>,
    pub(crate) idempotent: bool,
    pub(crate) deadline_us: Option<u64>,
}

/// A request ended for its load generator.
#[derive(Debug)]
pub(crate) struct ReceivedRow {
    pub(crate) request: Request,
    pub(crate) at_us: u64,
    pub(crate) outcome: ReceivedOutcome,
    pub(crate) code: Option<u16>,
    pub(crate) whole: bool,
    pub(crate) answered_request: Option<Request>,
    pub(crate) daemon: Option<Name>,
}

/// A runner started the work of a request.
#[derive(Debug)]
pub(crate) struct StartRow {
    pub(crate) request: Request,
    pub(crate) at_us: u64,
    pub(crate) process: Name,
    pub(crate) vm: Name,
    pub(crate) pool: Name,
    pub(crate) attempt: u32,
    pub(crate) team: Option<Name>,
    pub(crate) idempotent: bool,
    pub(crate) leaving_since_us: Option<u64>,
}

/// A runner ended the work of a request.
#[derive(Debug)]
pub(crate) struct EndRow {
    pub(crate) request: Request,
    pub(crate) at_us: u64,
    pub(crate) vm: Name,
    pub(crate) attempt: u32,
    pub(crate) cut: bool,
}

/// A team's limit changed.
#[derive(Debug)]
pub(crate) struct LimitRow {
    pub(crate) at_us: u64,
    pub(crate) team: Name,
    pub(crate) limit: u32,
}

/// A key was withdrawn or a queue was opened to all.
#[derive(Debug)]
pub(crate) struct NameRow {
    pub(crate) at_us: u64,
    pub(crate) name: Name,
}

/// A pool's size and availability budget.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSizeRow {
    pub(crate) at_us: u64,
    pub(crate) pool: Name,
    pub(crate) vms: u32,
    pub(crate) min_available: u32,
    pub(crate) slots_per_vm: Option<u32>,
}

/// Whether a VM is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VmState {
    Up,
    DownPlanned,
    DownFailed,
}

/// A VM became available or unavailable.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VmRow {
    pub(crate) at_us: u64,
    pub(crate) vm: Name,
    pub(crate) pool: Name,
    pub(crate) state: VmState,
}

/// The evacuation of a VM's zone was requested or withdrawn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EvacuationRow {
    pub(crate) at_us: u64,
    pub(crate) vm: Name,
    pub(crate) is_evacuated: bool,
}

/// A line of a daemon's view of the VMs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ViewRow {
    pub(crate) process: Name,
    pub(crate) at_us: u64,
    pub(crate) vm: Name,
    pub(crate) pool: Option<Name>,
}

/// The state that an operation or fault put a process into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Stopping,
    Killed,
    Started,
    Isolated,
    Rejoined,
}

/// A process was put into a state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessRow {
    pub(crate) at_us: u64,
    pub(crate) process: Name,
    pub(crate) state: ProcessState,
}

/// A daemon showed the offset of its configuration.
#[derive(Debug)]
pub(crate) struct ConfigRow {
    pub(crate) at_us: u64,
    pub(crate) process: Name,
    pub(crate) offset: u64,
}

/// A configuration edit was accepted.
#[derive(Debug)]
pub(crate) struct PublishedRow {
    pub(crate) at_us: u64,
    pub(crate) offset: u64,
}

/// A row that belongs to a request.
pub(crate) trait RequestRow {
    fn request(&self) -> Request;
    fn at_us(&self) -> u64;
    fn rank(&mut self, ranks: &Ranks);
}

macro_rules! request_row {
    ($($row:ident),*) => {
        $(impl RequestRow for $row {
            fn request(&self) -> Request {
                self.request
            }

            fn at_us(&self) -> u64 {
                self.at_us
            }

            fn rank(&mut self, ranks: &Ranks) {
                self.request = ranks.of(self.request);
            }
        })*
    };
}

request_row!(SentRow, StartRow, EndRow);

impl RequestRow for ReceivedRow {
    fn request(&self) -> Request {
        self.request
    }

    fn at_us(&self) -> u64 {
        self.at_us
    }

    fn rank(&mut self, ranks: &Ranks) {
        self.request = ranks.of(self.request);
        self.answered_request = self.answered_request.map(|request| ranks.of(request));
    }
}

/// All rows of a run. After [`sort`](Self::sort), rows of requests are sorted by request, then
/// time, and all others by time.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) sent: Vec<SentRow>,
    pub(crate) received: Vec<ReceivedRow>,
    pub(crate) starts: Vec<StartRow>,
    pub(crate) ends: Vec<EndRow>,
    pub(crate) limits: Vec<LimitRow>,
    pub(crate) withdrawals: Vec<NameRow>,
    pub(crate) open_queues: Vec<NameRow>,
    pub(crate) pool_sizes: Vec<PoolSizeRow>,
    pub(crate) vms: Vec<VmRow>,
    pub(crate) evacuations: Vec<EvacuationRow>,
    pub(crate) views: Vec<ViewRow>,
    pub(crate) processes: Vec<ProcessRow>,
    pub(crate) configs: Vec<ConfigRow>,
    pub(crate) published: Vec<PublishedRow>,
}

impl Rows {
    /// Replaces the numbers of mentions by ranks and sorts the rows.
    pub(crate) fn sort(&mut self, ranks: &Ranks) {
        rank_and_sort(&mut self.sent, ranks);
        rank_and_sort(&mut self.received, ranks);
        rank_and_sort(&mut self.starts, ranks);
        rank_and_sort(&mut self.ends, ranks);
        self.limits.sort_by_key(|row| row.at_us);
        self.withdrawals.sort_by_key(|row| row.at_us);
        self.open_queues.sort_by_key(|row| row.at_us);
        self.pool_sizes.sort_by_key(|row| row.at_us);
        self.vms.sort_by_key(|row| row.at_us);
        self.evacuations.sort_by_key(|row| row.at_us);
        self.views.sort_by_key(|row| row.at_us);
        self.processes.sort_by_key(|row| row.at_us);
        self.configs.sort_by_key(|row| row.at_us);
        self.published.sort_by_key(|row| row.at_us);
    }
}

fn rank_and_sort<R: RequestRow>(rows: &mut [R], ranks: &Ranks) {
    rows.iter_mut().for_each(|row| row.rank(ranks));
    rows.sort_by_key(|row| (row.request(), row.at_us()));
}

/// Returns the rows of one request.
pub(crate) fn rows_of<R: RequestRow>(rows: &[R], request: Request) -> &[R] {
    let begin = rows.partition_point(|row| row.request() < request);
    let count = rows[begin..].partition_point(|row| row.request() == request);
    &rows[begin..begin + count]
}
