//! A simulated worker: its leases, runs and reported ends.

use vanillafold_jobs::{EndKind, ListedEnd, ListedRun, PollReport, RunNumber, TaskId};

/// The time from a stop order to the end of the run.
const STOP_DURATION_MS: u64 = 300;
/// An order or poll extends the lease to at most this long from now, on the worker's clock.
const MAX_LEASE_MS: u64 = 10_000;
/// CPU capacity of a worker, in thousandths of a core, unless it has shrunk.
pub(crate) const FULL_CAPACITY_MILLIS: u64 = 4_000;
/// A gang member ends if the other members have not started within this time.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// The work between two checkpoints of a run.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// The CPU need, duration and outcome of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunProfile {
    pub(crate) cpu_millis: u64,
    pub(crate) duration_ms: u64,
    pub(crate) fails: bool,
    /// How long after its start the run crashes its worker; `None` if it does not.
    pub(crate) crashes_after_ms: Option<u64>,
}

/// A run of a task on a simulated worker.
#[derive(Debug, Clone)]
pub(crate) struct SimRun {
    pub(crate) task: TaskId,
    pub(crate) run: RunNumber,
    pub(crate) profile: RunProfile,
    pub(crate) gang: bool,
    /// The work that earlier runs had done at the checkpoint from which this one goes on; `None` if
    /// the run writes no checkpoints.
    pub(crate) resumed_ms: Option<u64>,
    /// When the work ends: `None` for a persistent task, and for a gang member until all members
    /// have started.
    pub(crate) ends_at_ms: Option<u64>,
    pub(crate) started_at_ms: u64,
    pub(crate) stops_at_ms: Option<u64>,
}

impl SimRun {
    /// Returns the newest checkpoint and the completed share of the work in percent.
    fn progress(&self, now_ms: u64) -> (String, u32) {
        let Some(resumed_ms) = self.resumed_ms else {
            return (String::new(), 100);
        };
        let done_ms = resumed_ms + now_ms.saturating_sub(self.started_at_ms);
        let checkpoint = match done_ms / CHECKPOINT_INTERVAL_MS {
            0 => String::new(),
            checkpoints => (checkpoints * CHECKPOINT_INTERVAL_MS).to_string(),
        };
        let percent = (done_ms * 100 / self.profile.duration_ms.max(1)).min(100);
        (checkpoint, u32::try_from(percent).unwrap_or(100))
    }
}

/// How a simulated worker answers an order.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OrderResult {
    Executed,
    AlreadyRunning,
    Fenced,
    OldRun,
    Late,
    BadTicket,
}

/// A worker with its own clock; leases and order deadlines are on that clock.
#[derive(Debug)]
pub(crate) struct SimWorker {
    pub(crate) name: String,
    pub(crate) pool: String,
    /// The number of its zone.
    pub(crate) zone: usize,
    pub(crate) capacity_millis: u64,
    pub(crate) started_ms: u64,
    /// The rate of its clock, in thousandths of simulated time.
    pub(crate) clock_rate_permille: u64,
    pub(crate) partitioned_until_ms: u64,
    pub(crate) down_until_ms: u64,
    /// Whether the worker, while it is down, refuses connections instead of being silent.
    pub(crate) refuses: bool,
    highest_token: u64,
    lease_end_ms: u64,
    pub(crate) runs: Vec<SimRun>,
    pub(crate) ended: Vec<ListedEnd>,
    next_end_number: u64,
    /// The highest run of each task that was stopped or ended here: starts of that run and
    /// of older ones are answered `OldRun`.
    run_floors: Vec<(TaskId, RunNumber)>,
    /// The number of crashes and lease expiries. A changed number tells the checks that earlier
    /// ends may have been forgotten or that the lease expired since.
    pub(crate) interruptions: u64,
}

impl SimWorker {
    pub(crate) fn new(name: String, pool: String, zone: usize, clock_rate_permille: u64) -> Self {
        Self {
            name,
            pool,
            zone,
            capacity_millis: FULL_CAPACITY_MILLIS,
            started_ms: 0,
            clock_rate_permille,
            partitioned_until_ms: 0,
            down_until_ms: 0,
            refuses: false,
            highest_token: 0,
            lease_end_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end_number: 1,
            run_floors: Vec::new(),
            interruptions: 0,
        }
    }

    pub(crate) const fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.started_ms) * self.clock_rate_permille / 1_000
    }

    pub(crate) const fn is_reachable(&self, now_ms: u64) -> bool {
        self.partitioned_until_ms <= now_ms && self.down_until_ms <= now_ms
    }

    /// Returns whether a run crashes the worker at `now_ms`.
    pub(crate) fn is_crashed_by_run(&self, now_ms: u64) -> bool {
        let crashes = |run: &SimRun| {
            let after_ms = run.profile.crashes_after_ms;
            after_ms.is_some_and(|after_ms| run.started_at_ms + after_ms <= now_ms)
        };
        self.runs.iter().any(crashes)
    }

    /// Loses all state, the fencing token and lease included, and restarts after `down_ms`.
    pub(crate) fn crash(&mut self, now_ms: u64, down_ms: u64) {
        self.refuses = false;
        self.runs.clear();
        self.ended.clear();
        self.run_floors.clear();
        self.next_end_number = 1;
        self.highest_token = 0;
        self.lease_end_ms = 0;
        self.down_until_ms = now_ms + down_ms;
        self.started_ms = now_ms + down_ms;
        self.interruptions += 1;
    }

    /// Returns whether a request with this fencing token may act, that is, whether no higher token
    /// has been seen; remembers the token.
    pub(crate) fn accept_token(&mut self, token: u64) -> bool {
        self.highest_token = self.highest_token.max(token);
        token >= self.highest_token
    }

    pub(crate) fn start(
        &mut self,
        run: SimRun,
        token: u64,
        deadline_ms: u64,
        now_ms: u64,
    ) -> OrderResult {
        let same = |row: &SimRun| row.task == run.task && row.run == run.run;
        let floor = self
            .run_floors
            .iter()
            .find(|row| row.0 == run.task)
            .copied();
        match () {
            () if !self.accept_token(token) => OrderResult::Fenced,
            () if self.clock_ms(now_ms) > deadline_ms => OrderResult::Late,
            () if self.runs.iter().any(same) => OrderResult::AlreadyRunning,
            () if floor.is_some_and(|floor| run.run <= floor.1) => OrderResult::OldRun,
            () => {
                self.extend_lease(deadline_ms, now_ms);
                self.runs.push(run);
                OrderResult::Executed
            }
        }
    }

    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64) {
        let max_end_ms = self.clock_ms(now_ms) + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(max_end_ms));
    }

    pub(crate) fn stop(&mut self, task: TaskId, run: RunNumber, now_ms: u64) {
        self.raise_floor(task, run);
        let found = self
            .runs
            .iter_mut()
            .find(|row| row.task == task && row.run == run);
        if let Some(found) = found {
            found.stops_at_ms.get_or_insert(now_ms + STOP_DURATION_MS);
        }
    }

    fn raise_floor(&mut self, task: TaskId, run: RunNumber) {
        match self.run_floors.iter_mut().find(|row| row.0 == task) {
            Some(floor) => floor.1 = floor.1.max(run),
            None => self.run_floors.push((task, run)),
        }
    }

    /// Ends the run at `index` and lists the end for the next poll.
    pub(crate) fn end(&mut self, index: usize, kind: EndKind, now_ms: u64) -> SimRun {
        let run = self.runs.remove(index);
        let (checkpoint, _) = run.progress(now_ms);
        self.raise_floor(run.task, run.run);
        self.ended.push(ListedEnd {
            number: self.next_end_number,
            task: run.task,
            run: run.run,
            kind,
            checkpoint,
        });
        self.next_end_number += 1;
        run
    }

    /// Ends the runs that are due at `now_ms` or whose lease has expired, and returns them.
    pub(crate) fn advance(&mut self, now_ms: u64) -> Vec<(SimRun, EndKind)> {
        let mut ends = Vec::new();
        if self.down_until_ms > now_ms {
            return ends;
        }
        if self.lease_end_ms > 0 && self.clock_ms(now_ms) > self.lease_end_ms {
            self.interruptions += 1;
            self.lease_end_ms = 0;
            while !self.runs.is_empty() {
                let run = self.end(0, EndKind::LeaseExpired, now_ms);
                ends.push((run, EndKind::LeaseExpired));
            }
        }
        let mut index = 0;
        while index < self.runs.len() {
            let run = &self.runs[index];
            let is_incomplete = run.gang
                && run.ends_at_ms.is_none()
                && now_ms > run.started_at_ms + GANG_TIMEOUT_MS;
            let kind = match run {
                _ if run.stops_at_ms.is_some_and(|at_ms| at_ms <= now_ms) => Some(EndKind::Stopped),
                _ if is_incomplete => Some(EndKind::GangIncomplete),
                _ if run.ends_at_ms.is_some_and(|at_ms| at_ms <= now_ms) && run.profile.fails => {
                    Some(EndKind::Failed)
                }
                _ if run.ends_at_ms.is_some_and(|at_ms| at_ms <= now_ms) => Some(EndKind::Done),
                _ => None,
            };
            match kind {
                Some(kind) => ends.push((self.end(index, kind, now_ms), kind)),
                None => index += 1,
            }
        }
        ends
    }

    /// Answers a poll: extends the lease, drops ends up to `acknowledged_end` and lists the next
    /// ones.
    pub(crate) fn poll(
        &mut self,
        deadline_ms: Option<u64>,
        acknowledged_end: u64,
        max_listed_ends: usize,
        now_ms: u64,
    ) -> PollReport {
        self.extend_lease(deadline_ms.unwrap_or(0), now_ms);
        self.ended.retain(|end| end.number > acknowledged_end);
        let listed = |run: &SimRun| {
            let (checkpoint, percent) = run.progress(now_ms);
            ListedRun {
                task: run.task,
                run: run.run,
                checkpoint,
                percent,
                load: run.profile.cpu_millis,
            }
        };
        PollReport {
            clock_ms: self.clock_ms(now_ms),
            started_unix_ms: Some(self.started_ms),
            running: self.runs.iter().map(listed).collect(),
            ended: self.ended.iter().take(max_listed_ends).cloned().collect(),
            has_more_ends: self.ended.len() >= max_listed_ends,
            ..PollReport::default()
        }
    }

    /// Returns the CPU that the runs need, in thousandths of a core.
    pub(crate) fn used_millis(&self) -> u64 {
        self.runs.iter().map(|run| run.profile.cpu_millis).sum()
    }
}
