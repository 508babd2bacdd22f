//! The state that the owner of a shard keeps of one worker.

use vanillafold_policy::MonotonicMillis;

use super::{PollReport, WorkerEntry};
use crate::id::{JobId, RunNumber, TaskId};
use crate::spec::Resources;

/// Maximum percentage by which a worker's clock runs slower than the owner's. The platform
/// guarantees this bound.
const MAX_CLOCK_DRIFT_PERCENT: u64 = 2;
/// Added to the end of a lease to cover rounding and the latency of an answer, in milliseconds.
const LEASE_MARGIN_MS: u64 = 150;

/// How long after sending an unanswered order may still be carried out, in milliseconds. The
/// platform guarantees this bound.
const MAX_ORDER_DELAY_MS: u64 = 12_000;
/// How long a run counts as fresh, in milliseconds. A task that crashes its worker at the start does
/// so in this time.
const FRESH_RUN_MS: u64 = 1_000;
/// Number of jobs with a failed run that are remembered for each worker. An entry matters only
/// until the failed task has run again.
const MAX_FAILED_JOBS: usize = 16;

/// State of a run as known to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start order was sent and has no answer yet.
    Starting,
    /// The start order got no answer and may still be carried out.
    StartUnanswered,
    /// The run is in progress. A poll sent after `confirmed_at` that does not list it proves that
    /// it is gone.
    Running { confirmed_at: MonotonicMillis },
    /// A stop order is due or was sent. The run may still start.
    Stopping { next_order_at: MonotonicMillis },
    /// The stop order was carried out. A poll sent after `answered_at` that does not list the run
    /// proves that it is gone.
    Stopped { answered_at: MonotonicMillis },
}

/// A run that may use resources of a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    pub(crate) number: RunNumber,
    pub(crate) phase: RunPhase,
    /// Number of start orders sent for the run; `ordered_at` is the time of the newest.
    pub(crate) start_orders: u32,
    pub(crate) ordered_at: MonotonicMillis,
    /// Whether the newest start order got no answer because the connection was closed.
    pub(crate) connection_lost: bool,
    /// What the run reserves of the worker's capacity.
    pub(crate) reservation: Resources,
    /// What the run counts against its organisation's limit.
    pub(crate) needs: Resources,
    pub(crate) organisation: String,
    pub(crate) started_at: MonotonicMillis,
    pub(crate) checkpoint: String,
    pub(crate) percent: u32,
    /// When the checkpoint or the percentage in a poll last changed.
    pub(crate) progressed_at: MonotonicMillis,
    /// Tail latency in milliseconds for a task with a latency target; otherwise the CPU in use, in
    /// thousandths of a core.
    pub(crate) load: u64,
    pub(crate) persistent: bool,
    pub(crate) best_effort: bool,
    /// Whether workers were lost under the task before.
    pub(crate) suspect: bool,
    /// Whether the worker gets no other task while the run is fresh.
    pub(crate) isolated: bool,
    /// Expected duration as a multiple of that near the task's data and group, in thousandths.
    pub(crate) slowdown_permille: u64,
    pub(crate) latency_target_ms: u64,
    /// CPU share that the run was last ordered to use, in percent.
    pub(crate) pace_percent: u32,
    pub(crate) pace_ordered_at: MonotonicMillis,
}

impl Run {
    /// Returns whether the run is starting or running, and neither being stopped nor unanswered.
    pub(crate) const fn is_live(&self) -> bool {
        matches!(self.phase, RunPhase::Starting | RunPhase::Running { .. })
    }

    /// Returns whether the run has certainly started.
    pub(crate) const fn has_started(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Running { .. } | RunPhase::Stopped { .. }
        )
    }

    /// Returns whether the run is not known to have lasted for [`FRESH_RUN_MS`], if its worker last
    /// answered at `answered_at`.
    pub(crate) const fn is_fresh(&self, answered_at: MonotonicMillis) -> bool {
        answered_at.since(self.started_at).get() < FRESH_RUN_MS
    }

    /// Returns whether an unanswered order may still start the run if its worker restarts under the
    /// same id. Neither the order's deadline nor a stop order is effective in another incarnation.
    pub(crate) fn may_still_start(&self, now: MonotonicMillis) -> bool {
        let unanswered = matches!(
            self.phase,
            RunPhase::Starting | RunPhase::StartUnanswered | RunPhase::Stopping { .. }
        );
        unanswered && self.start_orders > 0 && now.since(self.ordered_at).get() < MAX_ORDER_DELAY_MS
    }

    /// Returns whether a poll sent at `sent_at` that does not list the run proves that it is gone.
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
    /// When the answer arrived. The worker's clock had reached `worker_ms` by then.
    at: MonotonicMillis,
}

impl ClockReading {
    /// Returns the time that the worker's clock shows at `now`, as far as the reading tells.
    const fn read_at(self, now: MonotonicMillis) -> u64 {
        self.worker_ms.saturating_add(now.since(self.at).get())
    }
}

/// An end that was processed but must not be acknowledged to the worker yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnacknowledgedEnd {
    pub(crate) number: u64,
    pub(crate) condition: AckCondition,
    /// Task and number of the run, if it failed.
    pub(crate) failed: Option<(TaskId, RunNumber)>,
}

/// Condition for acknowledging an end, after which the worker forgets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AckCondition {
    /// The end can be acknowledged at once.
    Met,
    /// This version of the job must be stored first.
    JobStored(JobId, u64),
    /// All workers must be accounted for first: a newer run of this job's task may be on another
    /// one.
    WorkersAccounted(JobId),
}

/// A worker, its runs and its lease.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    pub(crate) listed: bool,
    /// Name of the VM that the worker runs on; empty until the list of VMs has shown it.
    pub(crate) vm: String,
    /// Whether the worker has answered a poll in its current incarnation, or has been replaced by
    /// another worker and can't answer any more.
    pub(crate) responded: bool,
    /// Whether the newest answer to a poll left out ends of the current incarnation.
    pub(crate) has_more_ends: bool,
    /// Whether the last order or poll got no answer from the worker. Also true if the worker has
    /// registered with a new address or as restarted and has not answered a poll since, or has been
    /// replaced by another worker.
    pub(crate) unresponsive: bool,
    /// Since when the worker's clock or incarnation may differ from what is known of it; `None` if
    /// they are known. Until a poll that is sent later has shown them, the worker gets no new tasks,
    /// its leases are not renewed, and it may not forget ends.
    pub(crate) unverified_since: Option<MonotonicMillis>,
    /// When an order or poll was last answered.
    pub(crate) answered_at: MonotonicMillis,
    /// Since when orders and polls have got no answer; `None` if the last one was answered.
    pub(crate) silent_since: Option<MonotonicMillis>,
    /// When an order or poll last got no answer.
    pub(crate) answer_lost_at: Option<MonotonicMillis>,
    /// Whether the worker gets no new tasks because its VM is to be moved or maintained.
    pub(crate) draining: bool,
    /// Whether an operation on the VM was sent and may have been carried out, which ends all runs
    /// there.
    pub(crate) vm_operation_pending: bool,
    /// Earliest time for the next operation on the VM.
    pub(crate) no_vm_operation_before: MonotonicMillis,
    started_unix_ms: Option<u64>,
    clock: Option<ClockReading>,
    /// Latest deadline of any order or poll that was sent, on the worker's clock.
    lease_deadline_ms: u64,
    pub(crate) runs: Vec<Run>,
    pub(crate) used: Resources,
    /// Number of isolated runs.
    isolated_runs: usize,
    /// Runs whose start order got no answer, with the time when that was recorded. The order may
    /// still be carried out in another incarnation of the worker, where neither its deadline nor an
    /// earlier stop order is effective.
    unanswered_starts: Vec<(Run, MonotonicMillis)>,
    pub(crate) unacknowledged: Vec<UnacknowledgedEnd>,
    /// Highest sequence number of an end that was processed.
    pub(crate) processed_end: u64,
    /// Highest sequence number of an end that may be acknowledged.
    pub(crate) acknowledged_end: u64,
    /// Acknowledged end carried by the newest poll.
    pub(crate) sent_ack: u64,
    /// Highest acknowledged end that has reached the worker with a poll that was answered.
    pub(crate) delivered_ack: u64,
    pub(crate) next_poll_at: MonotonicMillis,
    /// When the last poll was answered.
    pub(crate) polled_at: MonotonicMillis,
    /// When the last poll that was answered had been sent.
    pub(crate) poll_sent_at: MonotonicMillis,
    /// Number of recent failed runs and refusals that are attributed to the worker, because the job
    /// had no failed run before, decayed exponentially; `fault_score_at` is the time of the last
    /// update.
    pub(crate) fault_score: f64,
    pub(crate) fault_score_at: MonotonicMillis,
    /// Jobs with a failed run on this worker, the newest last, at most [`MAX_FAILED_JOBS`].
    pub(crate) failed_jobs: Vec<JobId>,
    /// Time until which the worker gets no new tasks because of faults or refusals.
    pub(crate) backoff_until: MonotonicMillis,
    /// Time until which the worker gets isolated tasks only.
    pub(crate) reserved_until: MonotonicMillis,
    /// Time since which the worker has had no runs.
    pub(crate) idle_since: MonotonicMillis,
    /// Whether the worker's zone is being evacuated, so that it gets no new tasks.
    pub(crate) evacuated: bool,
    /// When the evacuation of the worker's zone ended; `None` once it may use all of its CPU.
    pub(crate) returned_at: Option<MonotonicMillis>,
    /// Part of the worker's CPU that tasks may use, in thousandths: less than all for some time after
    /// an evacuation of its zone.
    pub(crate) usable_permille: u64,
}

impl Worker {
    pub(crate) const fn new(entry: WorkerEntry, now: MonotonicMillis) -> Self {
        Self {
            entry,
            listed: true,
            vm: String::new(),
            responded: false,
            has_more_ends: false,
            unresponsive: false,
            unverified_since: None,
            answered_at: MonotonicMillis::ZERO,
            silent_since: None,
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
            isolated_runs: 0,
            unanswered_starts: Vec::new(),
            unacknowledged: Vec::new(),
            processed_end: 0,
            acknowledged_end: 0,
            sent_ack: 0,
            delivered_ack: 0,
            next_poll_at: now,
            polled_at: MonotonicMillis::ZERO,
            poll_sent_at: MonotonicMillis::ZERO,
            fault_score: 0.0,
            fault_score_at: now,
            failed_jobs: Vec::new(),
            backoff_until: MonotonicMillis::ZERO,
            reserved_until: MonotonicMillis::ZERO,
            idle_since: now,
            evacuated: false,
            returned_at: None,
            usable_permille: 1_000,
        }
    }

    /// Returns whether the owner knows of each run of the current incarnation whether it is in
    /// progress or has ended.
    pub(crate) const fn is_accounted(&self) -> bool {
        self.responded && !self.has_more_ends
    }

    /// Returns whether a completed run may be among the ends that the worker has not listed yet. Once
    /// its leases have expired, a task may be started again all the same.
    pub(crate) fn may_have_unlisted_ends(&self, now: MonotonicMillis) -> bool {
        let leases_expired = self.leases_expired_at().is_some_and(|end| end < now);
        self.has_more_ends && !(self.unresponsive && leases_expired)
    }

    /// Sets whether the worker's zone is being evacuated.
    pub(crate) const fn set_evacuated(&mut self, evacuated: bool, now: MonotonicMillis) {
        match (self.evacuated, evacuated) {
            (false, true) => {
                self.returned_at = None;
                self.usable_permille = 1_000;
            }
            (true, false) => self.returned_at = Some(now),
            _ => {}
        }
        self.evacuated = evacuated;
    }

    /// Returns the CPU that tasks may use, in thousandths of a core.
    pub(crate) const fn usable_cpu_millis(&self) -> u64 {
        let cpu_millis = self.entry.capacity.cpu_millis;
        cpu_millis / 1_000 * self.usable_permille
            + cpu_millis % 1_000 * self.usable_permille / 1_000
    }

    /// Returns whether the worker has room for another run with this reservation, beside `claimed`.
    pub(crate) fn has_room(&self, claimed: Resources, reservation: Resources) -> bool {
        let mut used = self.used;
        used.add(claimed);
        let usable = Resources {
            cpu_millis: self.usable_cpu_millis(),
            ..self.entry.capacity
        };
        usable.fits(used, reservation)
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn accepts_tasks(&self, now: MonotonicMillis) -> bool {
        self.reserved_until <= now && self.accepts_isolated_tasks(now)
    }

    /// Returns whether isolated tasks may be placed on the worker, for which it may be reserved.
    pub(crate) fn accepts_isolated_tasks(&self, now: MonotonicMillis) -> bool {
        self.listed
            && self.entry.ready
            && self.responded
            && !self.unresponsive
            && self.unverified_since.is_none()
            && !self.draining
            && !self.evacuated
            && self.backoff_until <= now
            && !self.is_isolating()
    }

    /// Returns whether a run on the worker is fresh and isolated.
    pub(crate) fn is_isolating(&self) -> bool {
        let isolates = |run: &Run| run.isolated && run.is_fresh(self.answered_at);
        self.isolated_runs > 0 && self.runs.iter().any(isolates)
    }

    /// Returns whether `place` is the name of the worker's VM, or the worker's id.
    pub(crate) fn is_at(&self, place: &str) -> bool {
        self.vm == place || self.entry.id.as_str() == place
    }

    /// Returns the number of fresh runs on the worker.
    pub(crate) fn fresh_runs(&self) -> usize {
        let fresh = |run: &&Run| run.is_fresh(self.answered_at);
        self.runs.iter().filter(fresh).count()
    }

    /// Returns the number of fresh runs whose tasks may crash the worker.
    pub(crate) fn fresh_suspects(&self) -> u32 {
        let fresh = |run: &&Run| run.suspect && run.is_fresh(self.answered_at);
        u32::try_from(self.runs.iter().filter(fresh).count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a persistent task on the worker has not reached full operation yet.
    pub(crate) fn is_warming_up(&self) -> bool {
        let warms_up = |run: &Run| run.persistent && run.is_live() && run.percent < 100;
        self.runs.iter().any(warms_up)
    }

    /// Records that a run of the job failed on this worker.
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
        self.isolated_runs += usize::from(run.isolated);
        self.runs.push(run);
    }

    pub(crate) fn remove_run(&mut self, at: usize, now: MonotonicMillis) -> Run {
        let run = self.runs.swap_remove(at);
        self.used.subtract(run.reservation);
        self.isolated_runs -= usize::from(run.isolated);
        if self.runs.is_empty() {
            self.idle_since = now;
        }
        run
    }

    /// Updates the reading of the worker's clock, which a poll has shown.
    pub(crate) const fn read_clock(&mut self, worker_ms: u64, now: MonotonicMillis) {
        self.clock = Some(ClockReading { worker_ms, at: now });
    }

    /// Returns the deadline, on the worker's clock, of a lease of `lease_ms` from now; `None` until
    /// the clock has been read.
    pub(crate) fn deadline_ms(&self, now: MonotonicMillis, lease_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.read_at(now).saturating_add(lease_ms))
    }

    /// Returns the worker's uptime, estimated from its clock, which starts at zero with the worker.
    pub(crate) fn uptime_ms(&self, now: MonotonicMillis) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.read_at(now))
    }

    /// Records that an order or poll with this deadline was sent.
    pub(crate) fn extend_lease(&mut self, deadline_ms: u64) {
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms);
    }

    /// Returns when all leases that were ever granted have expired, allowing for clock drift.
    pub(crate) fn leases_expired_at(&self) -> Option<MonotonicMillis> {
        let clock = self.clock?;
        let left = self.lease_deadline_ms.saturating_sub(clock.worker_ms);
        let drift = left.saturating_mul(MAX_CLOCK_DRIFT_PERCENT) / 100;
        let longest = left.saturating_add(drift + LEASE_MARGIN_MS);
        Some(MonotonicMillis::new(clock.at.get().saturating_add(longest)))
    }

    /// Returns whether `report` comes from an incarnation other than the known one. Polls of a worker
    /// are answered in the order in which they were sent, so that the clock of one incarnation never
    /// goes back from one report to the next.
    pub(crate) fn is_new_incarnation(&self, report: &PollReport) -> bool {
        match (self.started_unix_ms, report.started_unix_ms) {
            (Some(known), Some(reported)) => known != reported,
            _ => self
                .clock
                .is_some_and(|clock| report.clock_ms < clock.worker_ms),
        }
    }

    /// Returns whether a registration tells of a later incarnation for the first time. The
    /// registration of an earlier one may be read late.
    pub(crate) fn is_restarted_in(&self, entry: &WorkerEntry) -> bool {
        match (self.started_unix_ms(), entry.started_unix_ms) {
            (Some(known), Some(registered)) => {
                known < registered && self.entry.started_unix_ms != entry.started_unix_ms
            }
            _ => false,
        }
    }

    /// Records that the start order of a run got no answer.
    pub(crate) fn record_unanswered_start(&mut self, at: usize, now: MonotonicMillis) {
        self.unanswered_starts
            .retain(|row| now.since(row.1).get() < MAX_ORDER_DELAY_MS);
        self.unanswered_starts.push((self.runs[at].clone(), now));
    }

    /// Removes and returns the untracked runs that an unanswered order may still start in a new
    /// incarnation.
    pub(crate) fn take_unanswered_starts(&mut self, now: MonotonicMillis) -> Vec<Run> {
        let unanswered = std::mem::take(&mut self.unanswered_starts);
        let may_still_start =
            |row: &(Run, MonotonicMillis)| now.since(row.1).get() < MAX_ORDER_DELAY_MS;
        let runs = unanswered
            .into_iter()
            .filter(may_still_start)
            .map(|row| row.0);
        runs.filter(|run| self.run_position(run.task, run.number).is_none())
            .collect()
    }

    /// Resets the state for a new incarnation and returns the runs that ended with the previous
    /// one. Runs with an unanswered order stay tracked, because the order may be carried out in the
    /// new incarnation, and have not been started there before `now`.
    pub(crate) fn begin_incarnation(&mut self, now: MonotonicMillis) -> Vec<Run> {
        self.clock = None;
        self.started_unix_ms = None;
        self.lease_deadline_ms = 0;
        self.unacknowledged.clear();
        self.processed_end = 0;
        self.acknowledged_end = 0;
        self.sent_ack = 0;
        self.delivered_ack = 0;
        self.responded = false;
        self.has_more_ends = false;
        self.fault_score = 0.0;
        self.failed_jobs.clear();
        self.backoff_until = MonotonicMillis::ZERO;
        let lost = self.take_runs(|run| {
            !matches!(
                run.phase,
                RunPhase::Starting | RunPhase::StartUnanswered | RunPhase::Stopping { .. }
            )
        });
        for run in &mut self.runs {
            run.started_at = now;
        }
        lost
    }

    /// Removes and returns the runs for which `is_taken` is true.
    pub(crate) fn take_runs(&mut self, is_taken: impl Fn(&Run) -> bool) -> Vec<Run> {
        let taken: Vec<Run> = self.runs.extract_if(.., |run| is_taken(run)).collect();
        for run in &taken {
            self.used.subtract(run.reservation);
            self.isolated_runs -= usize::from(run.isolated);
        }
        taken
    }

    /// Returns when the known incarnation of the worker started, in milliseconds since 1970.
    pub(crate) fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms.or(self.entry.started_unix_ms)
    }

    /// Returns when the incarnation that answered the last poll started, in milliseconds since 1970.
    pub(crate) const fn polled_start_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    pub(crate) const fn set_started(&mut self, started_unix_ms: Option<u64>) {
        if started_unix_ms.is_some() {
            self.started_unix_ms = started_unix_ms;
        }
    }
}
