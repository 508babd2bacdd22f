//! An emulated worker.

use vanillafold_jobs::{EndKind, ListedEnd, ListedRun, PollReport, RunNumber, TaskId};

/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 300;
/// The longest lease, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;
/// How long the members of a gang wait for the others, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;

/// What a task does when it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Work {
    pub(crate) cpu_millis: u64,
    pub(crate) lasts_ms: u64,
    pub(crate) fails: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct SimRun {
    pub(crate) task: TaskId,
    pub(crate) run: RunNumber,
    pub(crate) work: Work,
    pub(crate) gang: bool,
    /// When the work ends; for members of a gang, set once all are there.
    pub(crate) ends_at: Option<u64>,
    pub(crate) began_at: u64,
    pub(crate) stops_at: Option<u64>,
}

/// How an emulated worker takes an order to start.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    Started,
    AlreadyThere,
    Fenced,
    Old,
    Late,
}

#[derive(Debug)]
pub(crate) struct SimWorker {
    pub(crate) name: String,
    pub(crate) capacity_millis: u64,
    pub(crate) born_ms: u64,
    /// Thousandths of true speed at which its clock runs.
    pub(crate) clock_permille: u64,
    pub(crate) cut_until: u64,
    pub(crate) down_until: u64,
    fence: u64,
    lease_ms: u64,
    pub(crate) runs: Vec<SimRun>,
    pub(crate) ended: Vec<ListedEnd>,
    next_end: u64,
    /// The highest run of each task that was stopped or ended here.
    floors: Vec<(TaskId, RunNumber)>,
    /// Ends that were forgotten, or whose lease has not ended since, for the checks.
    pub(crate) lapses: u64,
}

impl SimWorker {
    pub(crate) fn new(name: String, clock_permille: u64) -> Self {
        Self {
            name,
            capacity_millis: 4_000,
            born_ms: 0,
            clock_permille,
            cut_until: 0,
            down_until: 0,
            fence: 0,
            lease_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            floors: Vec::new(),
            lapses: 0,
        }
    }

    pub(crate) const fn clock_ms(&self, now: u64) -> u64 {
        (now - self.born_ms) * self.clock_permille / 1_000
    }

    pub(crate) const fn reachable(&self, now: u64) -> bool {
        self.cut_until <= now && self.down_until <= now
    }

    pub(crate) fn crash(&mut self, now: u64, down_ms: u64) {
        self.runs.clear();
        self.ended.clear();
        self.floors.clear();
        self.next_end = 1;
        self.fence = 0;
        self.lease_ms = 0;
        self.down_until = now + down_ms;
        self.born_ms = now + down_ms;
        self.lapses += 1;
    }

    /// Whether a call with this token may act.
    pub(crate) fn admits(&mut self, token: u64) -> bool {
        self.fence = self.fence.max(token);
        token >= self.fence
    }

    pub(crate) fn start(&mut self, run: SimRun, token: u64, deadline_ms: u64, now: u64) -> Taken {
        let same = |row: &SimRun| row.task == run.task && row.run == run.run;
        let floor = self.floors.iter().find(|row| row.0 == run.task).copied();
        match () {
            () if !self.admits(token) => Taken::Fenced,
            () if self.clock_ms(now) > deadline_ms => Taken::Late,
            () if self.runs.iter().any(same) => Taken::AlreadyThere,
            () if floor.is_some_and(|floor| run.run <= floor.1) => Taken::Old,
            () => {
                self.lease(deadline_ms, now);
                self.runs.push(run);
                Taken::Started
            }
        }
    }

    fn lease(&mut self, deadline_ms: u64, now: u64) {
        let longest = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_ms = self.lease_ms.max(deadline_ms.min(longest));
    }

    pub(crate) fn stop(&mut self, task: TaskId, run: RunNumber, now: u64) {
        self.raise_floor(task, run);
        let found = self
            .runs
            .iter_mut()
            .find(|row| row.task == task && row.run == run);
        if let Some(found) = found {
            found.stops_at.get_or_insert(now + STOP_MS);
        }
    }

    fn raise_floor(&mut self, task: TaskId, run: RunNumber) {
        match self.floors.iter_mut().find(|row| row.0 == task) {
            Some(floor) => floor.1 = floor.1.max(run),
            None => self.floors.push((task, run)),
        }
    }

    pub(crate) fn end(&mut self, at: usize, kind: EndKind) -> SimRun {
        let run = self.runs.remove(at);
        self.raise_floor(run.task, run.run);
        self.ended.push(ListedEnd {
            number: self.next_end,
            task: run.task,
            run: run.run,
            kind,
            checkpoint: String::new(),
        });
        self.next_end += 1;
        run
    }

    /// Lets time pass; returns the ends.
    pub(crate) fn pass(&mut self, now: u64) -> Vec<(SimRun, EndKind)> {
        let mut ends = Vec::new();
        if self.down_until > now {
            return ends;
        }
        if self.lease_ms > 0 && self.clock_ms(now) > self.lease_ms {
            self.lapses += 1;
            self.lease_ms = 0;
            while !self.runs.is_empty() {
                ends.push((self.end(0, EndKind::LeaseExpired), EndKind::LeaseExpired));
            }
        }
        let mut at = 0;
        while at < self.runs.len() {
            let run = &self.runs[at];
            let alone = run.gang && run.ends_at.is_none() && now > run.began_at + GANG_WAIT_MS;
            let kind = match run {
                _ if run.stops_at.is_some_and(|stops| stops <= now) => Some(EndKind::Stopped),
                _ if alone => Some(EndKind::GangIncomplete),
                _ if run.ends_at.is_some_and(|ends| ends <= now) && run.work.fails => {
                    Some(EndKind::Failed)
                }
                _ if run.ends_at.is_some_and(|ends| ends <= now) => Some(EndKind::Done),
                _ => None,
            };
            match kind {
                Some(kind) => ends.push((self.end(at, kind), kind)),
                None => at += 1,
            }
        }
        ends
    }

    pub(crate) fn hold(
        &mut self,
        deadline_ms: Option<u64>,
        last_seen: u64,
        now: u64,
    ) -> PollReport {
        self.lease(deadline_ms.unwrap_or(0), now);
        self.ended.retain(|end| end.number > last_seen);
        let listed = |run: &SimRun| ListedRun {
            task: run.task,
            run: run.run,
            checkpoint: String::new(),
            percent: 100,
            load: run.work.cpu_millis,
        };
        PollReport {
            clock_ms: self.clock_ms(now),
            started_unix_ms: Some(self.born_ms),
            running: self.runs.iter().map(listed).collect(),
            ended: self.ended.clone(),
        }
    }

    pub(crate) fn used_millis(&self) -> u64 {
        self.runs.iter().map(|run| run.work.cpu_millis).sum()
    }
}
