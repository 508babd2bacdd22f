//! The books that an owner keeps of one worker.

use vanillafold_policy::MonotonicMillis;

use super::{PollReport, WorkerEntry};
use crate::id::{JobId, RunNumber, TaskId};
use crate::spec::Resources;

/// How much slower than ours a worker's clock may run, in percent: the platform's bound.
const MAX_CLOCK_DRIFT_PERCENT: u64 = 2;
/// Added to the end of a lease for rounding and the time of an answer, in milliseconds.
const LEASE_MARGIN_MS: u64 = 150;

/// How long after it was sent an order may still be carried out, in milliseconds: what the
/// platform says of orders without an answer.
const MAX_ORDER_DELAY_MS: u64 = 12_000;
/// Jobs with a failed run that are kept for each worker: they matter until the task has run again.
const MAX_FAILED_JOBS: usize = 16;

/// How a run stands as far as its owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The order to start is out.
    Starting,
    /// The order to start got no answer: it may still be carried out.
    StartUnanswered,
    /// It runs; a look sent after this time that lacks it proves that it is gone.
    Running { confirmed_at: MonotonicMillis },
    /// The order to stop is to be sent, or is out. The run may still start.
    Stopping { next_order_at: MonotonicMillis },
    /// The order to stop was carried out; a look sent after this time that lacks the run proves
    /// that it is gone.
    Stopped { answered_at: MonotonicMillis },
}

/// A run that may take room on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    pub(crate) number: RunNumber,
    pub(crate) phase: RunPhase,
    /// How many orders to start it have been given, and when the newest was.
    pub(crate) start_orders: u32,
    pub(crate) ordered_at: MonotonicMillis,
    /// What it takes of the worker's capacity.
    pub(crate) reservation: Resources,
    /// What it counts against its organisation's limit.
    pub(crate) needs: Resources,
    pub(crate) organisation: String,
    pub(crate) started_at: MonotonicMillis,
    pub(crate) checkpoint: String,
    pub(crate) percent: u32,
    /// When a look first showed it at full work, or its last progress.
    pub(crate) progressed_at: MonotonicMillis,
    /// Tail of response times in milliseconds, or thousandths of a core.
    pub(crate) load: u64,
    pub(crate) persistent: bool,
    pub(crate) best_effort: bool,
    pub(crate) latency_target_ms: u64,
    /// The share of the processor that it was last told to use, in percent.
    pub(crate) pace_percent: u32,
    pub(crate) pace_ordered_at: MonotonicMillis,
}

impl Run {
    /// Whether it counts as at work: neither stopping nor unsure.
    pub(crate) const fn is_live(&self) -> bool {
        matches!(self.phase, RunPhase::Starting | RunPhase::Running { .. })
    }

    /// Whether an order without an answer may still start it, if its worker starts again under its id:
    /// the order's deadline and any stop mean nothing in another life.
    pub(crate) fn may_still_start(&self, now: MonotonicMillis) -> bool {
        let unanswered = matches!(
            self.phase,
            RunPhase::Starting | RunPhase::StartUnanswered | RunPhase::Stopping { .. }
        );
        unanswered && self.start_orders > 0 && now.since(self.ordered_at).get() < MAX_ORDER_DELAY_MS
    }

    /// Whether a look sent at `sent_at` that does not list it proves that it is gone.
    pub(crate) fn absent_means_gone(&self, sent_at: MonotonicMillis) -> bool {
        match self.phase {
            RunPhase::Running { confirmed_at } => sent_at > confirmed_at,
            RunPhase::Stopped { answered_at } => sent_at > answered_at,
            RunPhase::Starting | RunPhase::StartUnanswered | RunPhase::Stopping { .. } => false,
        }
    }
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    worker_ms: u64,
    /// When the answer came: the worker's clock was at least here by then.
    at: MonotonicMillis,
}

/// An end that was taken in and that the worker may not forget yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnacknowledgedEnd {
    pub(crate) number: u64,
    pub(crate) condition: AckCondition,
}

/// What must happen before a worker may forget an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AckCondition {
    /// Nothing.
    Met,
    /// This version of the job must be stored.
    JobStored(JobId, u64),
    /// All workers must be accounted for: a newer run of this job's task may be on another one.
    WorkersAccounted(JobId),
}

/// The books of one worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    pub(crate) listed: bool,
    /// It has answered a look in the life that is known.
    pub(crate) responded: bool,
    /// The last order or look got no answer.
    pub(crate) suspect: bool,
    /// When an order or look last got no answer.
    pub(crate) answer_lost_at: Option<MonotonicMillis>,
    /// No new work goes here: the VM is to be moved or maintained.
    pub(crate) draining: bool,
    /// An order about its machine is out, or may have been carried out: everything there may have ended.
    pub(crate) vm_operation_pending: bool,
    /// Until then no order about its machine is given.
    pub(crate) no_vm_operation_before: MonotonicMillis,
    started_unix_ms: Option<u64>,
    clock: Option<ClockReading>,
    /// The latest deadline that any order may have carried, on the worker's clock.
    lease_deadline_ms: u64,
    pub(crate) runs: Vec<Run>,
    pub(crate) used: Resources,
    /// Runs whose order to start got no answer, and when. In another life of the worker the order
    /// may still be carried out, as neither its deadline nor an earlier stop means anything there.
    unanswered_starts: Vec<(Run, MonotonicMillis)>,
    pub(crate) unacknowledged: Vec<UnacknowledgedEnd>,
    /// Ends up to here were taken in.
    pub(crate) processed_end: u64,
    /// Ends up to here may be deleted.
    pub(crate) acknowledged_end: u64,
    /// What the look that is out lets the worker forget.
    pub(crate) sent_ack: u64,
    /// The worker was told that ends up to here may be deleted.
    pub(crate) delivered_ack: u64,
    pub(crate) next_poll_at: MonotonicMillis,
    /// Failed runs that no job explains, decayed; and when this was last brought up to date.
    pub(crate) fault_score: f64,
    pub(crate) fault_score_at: MonotonicMillis,
    /// Jobs with a failed run here, the newest last; only so many are kept.
    pub(crate) failed_jobs: Vec<JobId>,
    /// Until then it gets no work because of what it did.
    pub(crate) backoff_until: MonotonicMillis,
    /// Since when it has had nothing to do.
    pub(crate) idle_since: MonotonicMillis,
}

impl Worker {
    pub(crate) const fn new(entry: WorkerEntry, now: MonotonicMillis) -> Self {
        Self {
            entry,
            listed: true,
            responded: false,
            suspect: false,
            answer_lost_at: None,
            draining: false,
            vm_operation_pending: false,
            no_vm_operation_before: MonotonicMillis::ZERO,
            started_unix_ms: None,
            clock: None,
            lease_deadline_ms: 0,
            runs: Vec::new(),
            used: Resources {
                cpu_millis: 0,
                memory_mib: 0,
                gpus: 0,
            },
            unanswered_starts: Vec::new(),
            unacknowledged: Vec::new(),
            processed_end: 0,
            acknowledged_end: 0,
            sent_ack: 0,
            delivered_ack: 0,
            next_poll_at: now,
            fault_score: 0.0,
            fault_score_at: now,
            failed_jobs: Vec::new(),
            backoff_until: MonotonicMillis::ZERO,
            idle_since: now,
        }
    }

    /// Whether new work may go here.
    pub(crate) fn accepts_tasks(&self, now: MonotonicMillis) -> bool {
        self.listed
            && self.entry.ready
            && self.responded
            && !self.suspect
            && !self.draining
            && self.backoff_until <= now
    }

    /// Whether a persistent task is on the way to its full work.
    pub(crate) fn is_warming_up(&self) -> bool {
        let warming = |run: &Run| run.persistent && run.is_live() && run.percent < 100;
        self.runs.iter().any(warming)
    }

    /// Notes that a run of a job failed here.
    pub(crate) fn record_failed_job(&mut self, job: JobId) {
        if self.failed_jobs.len() == MAX_FAILED_JOBS {
            self.failed_jobs.remove(0);
        }
        self.failed_jobs.push(job);
    }

    pub(crate) fn run_position(&self, task: TaskId, number: RunNumber) -> Option<usize> {
        let same = |run: &Run| run.task == task && run.number == number;
        self.runs.iter().position(same)
    }

    pub(crate) fn add_run(&mut self, run: Run) {
        self.used.add(run.reservation);
        self.runs.push(run);
    }

    pub(crate) fn remove_run(&mut self, at: usize, now: MonotonicMillis) -> Run {
        let run = self.runs.swap_remove(at);
        self.used.remove(run.reservation);
        if self.runs.is_empty() {
            self.idle_since = now;
        }
        run
    }

    /// Notes the worker's clock; true if it went back, which only a new life does.
    pub(crate) fn read_clock(&mut self, worker_ms: u64, now: MonotonicMillis) -> bool {
        let back = self
            .clock
            .is_some_and(|clock| worker_ms + LEASE_MARGIN_MS < clock.worker_ms);
        let newer = self.clock.is_none_or(|clock| worker_ms >= clock.worker_ms);
        if newer {
            self.clock = Some(ClockReading { worker_ms, at: now });
        }
        back
    }

    /// A deadline for an order sent now that keeps what runs for `lease_ms`.
    pub(crate) fn deadline_ms(&self, now: MonotonicMillis, lease_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.worker_ms + now.since(clock.at).get() + lease_ms)
    }

    /// How long the worker has lived, by its own clock, which starts with it.
    pub(crate) fn uptime_ms(&self, now: MonotonicMillis) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.worker_ms + now.since(clock.at).get())
    }

    /// Notes that an order with this deadline is out.
    pub(crate) fn extend_lease(&mut self, deadline_ms: u64) {
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms);
    }

    /// When everything that was ever started here has surely lapsed.
    pub(crate) fn leases_expired_at(&self) -> Option<MonotonicMillis> {
        let clock = self.clock?;
        let left = self.lease_deadline_ms.saturating_sub(clock.worker_ms);
        let longest = left + left * MAX_CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
        Some(MonotonicMillis::new(clock.at.get() + longest))
    }

    /// Whether `report` comes from another life than the one that is known.
    pub(crate) fn is_new_incarnation(&self, report: &PollReport) -> bool {
        match (self.started_unix_ms, report.started_unix_ms) {
            (Some(known), Some(said)) => known != said,
            _ => false,
        }
    }

    /// Notes that the order to start a run got no answer.
    pub(crate) fn record_unanswered_start(&mut self, at: usize, now: MonotonicMillis) {
        self.unanswered_starts
            .retain(|row| now.since(row.1).get() < MAX_ORDER_DELAY_MS);
        self.unanswered_starts.push((self.runs[at].clone(), now));
    }

    /// The runs that an order may still start in a new life and that are not reservation.
    pub(crate) fn take_unanswered_starts(&mut self, now: MonotonicMillis) -> Vec<Run> {
        let unanswered = std::mem::take(&mut self.unanswered_starts);
        let waits = |row: &(Run, MonotonicMillis)| now.since(row.1).get() < MAX_ORDER_DELAY_MS;
        let runs = unanswered.into_iter().filter(waits).map(|row| row.0);
        runs.filter(|run| self.run_position(run.task, run.number).is_none())
            .collect()
    }

    /// Starts the books of another life. Runs whose order has no answer yet stay reservation: it may
    /// be carried out in this life, too.
    pub(crate) fn begin_incarnation(&mut self) -> Vec<Run> {
        self.clock = None;
        self.started_unix_ms = None;
        self.lease_deadline_ms = 0;
        self.unacknowledged.clear();
        self.processed_end = 0;
        self.acknowledged_end = 0;
        self.sent_ack = 0;
        self.delivered_ack = 0;
        self.responded = false;
        let mut gone = Vec::new();
        let mut at = 0;
        while at < self.runs.len() {
            let unanswered = matches!(
                self.runs[at].phase,
                RunPhase::Starting | RunPhase::StartUnanswered | RunPhase::Stopping { .. }
            );
            match unanswered {
                true => at += 1,
                false => {
                    let run = self.runs.swap_remove(at);
                    self.used.remove(run.reservation);
                    gone.push(run);
                }
            }
        }
        gone
    }

    pub(crate) const fn set_started(&mut self, started_unix_ms: Option<u64>) {
        if started_unix_ms.is_some() {
            self.started_unix_ms = started_unix_ms;
        }
    }
}
