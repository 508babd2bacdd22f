//! Workers that are lost with their runs, and the tasks that may have caused these losses.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{LossHistory, SuspectPlacement, is_given_up, suspect_placement};

use super::root::Shard;
use crate::id::{JobId, RunNumber, TaskId, WorkerId};
use crate::job::{Job, TaskStatus};
use crate::record::{JobOutcome, SuspectRun, SuspectState};
use crate::worker::{LossEvidence, Run, Worker};

/// Number of runs that the log line of a lost worker names.
const MAX_LOGGED_RUNS: usize = 8;
/// How long a run has to last to clear its task, in milliseconds: a loss after that has another
/// cause.
const CLEARED_AFTER_MS: u64 = 10_000;
/// A loss is prompt if the worker stopped answering within this time of the start, in milliseconds.
const PROMPT_LOSS_MS: u64 = 250;
/// A worker whose last answer before an unanswered start order is at most this old, in milliseconds,
/// has not crashed before the order.
const ALIVE_BEFORE_START_MS: u64 = 50;
/// Workers that stopped answering within this time of each other count as lost together, in
/// milliseconds.
const LOST_TOGETHER_MS: u64 = 500;
/// Number of other workers that are lost together with one, from which the cause is not a task.
const MIN_LOST_TOGETHER: usize = 3;
/// How long a loss is remembered for comparison with others, in milliseconds. Losses at the same
/// time are noticed with their leases or when a worker is back, some seconds apart.
const LOSS_MEMORY_MS: u64 = 15_000;

/// Counts of the workers that were lost during an ownership, by evidence, and of their effects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// Workers that restarted under their id.
    pub restarted: u64,
    /// Workers at whose address another one answers.
    pub replaced: u64,
    /// Workers that did not answer until their leases had expired.
    pub leases_expired: u64,
    /// Tasks that were given up because their workers crashed.
    pub tasks_given_up: u64,
}

/// A worker that was lost.
#[derive(Debug)]
pub(super) struct WorkerLoss {
    worker: WorkerId,
    /// When the worker stopped answering.
    silent_since: MonotonicMillis,
    /// Whether a task that it had just started may have caused the loss.
    explained: bool,
}

impl Shard {
    /// Returns how many workers with runs were lost during this ownership.
    #[must_use]
    pub const fn loss_counts(&self) -> LossCounts {
        self.loss_counts
    }

    /// Records that a worker is lost together with the runs for which `is_lost` is true, and which
    /// tasks may have caused that. Must be called before these runs are removed.
    ///
    /// The tasks that it had just started are the possible causes; if there are none, those that
    /// have not run for long.
    pub(super) fn record_worker_loss(
        &mut self,
        at: usize,
        evidence: LossEvidence,
        is_lost: impl Fn(&Run) -> bool,
        now: MonotonicMillis,
    ) {
        let worker = &self.workers[at];
        let lost: Vec<&Run> = worker.runs.iter().filter(|run| is_lost(run)).collect();
        if lost.is_empty() {
            return;
        }
        let is_fresh = |run: &Run| run.is_fresh(worker.answered_at);
        log_loss(worker.entry.id.as_str(), evidence, &lost, is_fresh);
        let silent_since = worker.silent_since.unwrap_or(now);
        // Runs whose start was unanswered are lost later than the others of a silent worker.
        let is_counted = self
            .recent_losses
            .iter()
            .any(|loss| loss.worker == worker.entry.id && loss.silent_since == silent_since);
        match evidence {
            _ if is_counted => {}
            LossEvidence::Restarted => self.loss_counts.restarted += 1,
            LossEvidence::Replaced => self.loss_counts.replaced += 1,
            LossEvidence::LeasesExpired => self.loss_counts.leases_expired += 1,
        }
        // A worker that leaves, or whose VM is moved or maintained, ends its runs as planned.
        if !worker.entry.ready || worker.vm_operation_pending {
            return;
        }
        let fresh = worker.runs.iter().filter(|run| is_fresh(run));
        let mut fresh: Vec<TaskId> = fresh.map(|run| self.suspect_id(run.task)).collect();
        fresh.sort_unstable();
        fresh.dedup();
        let may_be_cause = |run: &&&Run| match fresh.is_empty() && !is_counted {
            true => worker.answered_at.since(run.started_at).get() < CLEARED_AFTER_MS,
            false => is_fresh(run) && has_reached_worker(run, worker.answered_at),
        };
        let mut suspects: Vec<(TaskId, RunNumber, bool)> = lost
            .iter()
            .filter(may_be_cause)
            .map(|run| {
                let prompt = is_prompt_loss(run, silent_since);
                (self.suspect_id(run.task), run.number, prompt)
            })
            .collect();
        suspects.sort_unstable();
        suspects.dedup_by_key(|row| row.0);
        let alone = fresh.len() == 1 && !is_counted && !self.is_lost_with_others(at, silent_since);
        let state = match evidence {
            LossEvidence::Restarted | LossEvidence::Replaced => SuspectState::WorkerCrashed,
            LossEvidence::LeasesExpired => SuspectState::WorkerSilent,
        };
        for (task, run, prompt) in &suspects {
            let row = SuspectRun {
                alone,
                prompt: *prompt,
                state,
                ..self.suspect_run(at, *task, *run)
            };
            self.add_lost_run(*task, row);
        }
        self.recent_losses
            .retain(|row| now.since(row.silent_since).get() < LOSS_MEMORY_MS);
        self.recent_losses.push(WorkerLoss {
            worker: self.workers[at].entry.id.clone(),
            silent_since,
            explained: suspects.iter().any(|row| row.2),
        });
    }

    /// Returns whether several other workers stopped answering at about the same time as this one,
    /// as in a zone that is cut off, and not because of tasks that they had just started.
    fn is_lost_with_others(&self, at: usize, silent_since: MonotonicMillis) -> bool {
        let is_close =
            |since: MonotonicMillis| since.get().abs_diff(silent_since.get()) <= LOST_TOGETHER_MS;
        let worker = &self.workers[at].entry.id;
        let remembered = self.recent_losses.iter().filter(|loss| {
            loss.worker != *worker && is_close(loss.silent_since) && !loss.explained
        });
        let is_remembered =
            |id: &WorkerId| self.recent_losses.iter().any(|loss| loss.worker == *id);
        let is_unexplained = |row: &Worker| {
            let since = row.silent_since.filter(|since| is_close(*since));
            since.is_some_and(|since| {
                let explains = |run: &Run| is_prompt_loss(run, since);
                !row.runs.iter().any(explains)
            })
        };
        let silent = self.workers.iter().enumerate().filter(|(other, row)| {
            *other != at && is_unexplained(row) && !is_remembered(&row.entry.id)
        });
        remembered.count() + silent.count() >= MIN_LOST_TOGETHER
    }

    /// Returns the id under which losses of a task are counted: that of the first member for a
    /// gang.
    fn suspect_id(&self, task: TaskId) -> TaskId {
        match self.described_step(task) {
            Some((_, step)) if step.gang => TaskId { index: 0, ..task },
            _ => task,
        }
    }

    fn add_lost_run(&mut self, task: TaskId, row: SuspectRun) {
        let Some(job) = self.job_mut(task.job).filter(|job| job.is_open()) else {
            return;
        };
        // The members of a gang count as one, and so do the incarnations of a worker in which an
        // unanswered start may be carried out.
        let same_run = |other: &SuspectRun| other.is_of(task) && other.run == row.run;
        let known = job.suspect_runs.iter().position(same_run);
        match known {
            Some(known) if job.suspect_runs[known].is_lost() => return,
            Some(known) => job.suspect_runs[known] = row,
            None => job.add_suspect_run(row),
        }
        self.suspects_changed(task.job);
    }

    /// Returns a row for a run in progress on a worker.
    fn suspect_run(&self, at: usize, task: TaskId, run: RunNumber) -> SuspectRun {
        let worker = &self.workers[at];
        SuspectRun {
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            run: run.get(),
            recorded_unix_ms: self.pass_unix_ms,
            worker: worker.entry.id.to_string(),
            worker_started_unix_ms: worker.started_unix_ms(),
            vm: worker.vm.clone(),
            alone: false,
            prompt: false,
            state: SuspectState::InProgress,
        }
    }

    /// Marks the suspect runs of a job for storing, and tracks the job as long as it has any.
    fn suspects_changed(&mut self, id: JobId) {
        let Some(job) = self.job_mut(id) else { return };
        job.version += 1;
        self.mark_dirty(id);
        if let Err(at) = self.suspect_jobs.binary_search(&id) {
            self.suspect_jobs.insert(at, id);
        }
    }

    /// Records the start of a run whose loss the next owner has to count too.
    pub(super) fn record_suspect_start(&mut self, at: usize, task: TaskId, run: RunNumber) {
        let task = self.suspect_id(task);
        let row = self.suspect_run(at, task, run);
        let Some(job) = self.job_mut(task.job) else {
            return;
        };
        let same = |other: &SuspectRun| other.is_of(task) && other.run == row.run;
        if !job.suspect_runs.iter().any(same) {
            job.add_suspect_run(row);
            self.suspects_changed(task.job);
        }
    }

    /// Returns whether a worker was lost with this run, which may still start in another incarnation.
    pub(super) fn is_lost_run(&self, task: TaskId, run: RunNumber) -> bool {
        let task = self.suspect_id(task);
        let is_lost = |row: &SuspectRun| row.is_of(task) && row.run == run.get() && row.is_lost();
        self.has_suspects(task.job)
            && self
                .job(task.job)
                .is_some_and(|job| job.suspect_runs.iter().any(is_lost))
    }

    /// Returns whether workers were lost under any task of a job.
    pub(super) fn has_suspects(&self, job: JobId) -> bool {
        self.suspect_jobs.binary_search(&job).is_ok()
    }

    /// Records that the newest run of a task ended while its worker went on, so that it has caused no
    /// loss.
    pub(super) fn record_suspect_end(&mut self, task: TaskId, done: bool) {
        if !self.has_suspects(task.job) {
            return;
        }
        let Some(run) = self.open_task(task).map(|task| task.run) else {
            return;
        };
        let task = self.suspect_id(task);
        let Some(job) = self.job_mut(task.job) else {
            return;
        };
        let before = job.suspect_runs.len();
        job.suspect_runs.retain(|row| {
            let ended = row.run == run.get() && !row.is_lost();
            !(row.is_of(task) && (done || ended))
        });
        if job.suspect_runs.len() < before {
            self.suspects_changed(task.job);
        }
    }

    /// Returns the VMs, or else the ids, of the workers that were lost under a task.
    pub(super) fn places_of_losses(&self, task: TaskId) -> Vec<String> {
        let Some(job) = self.job(task.job).filter(|_| self.has_suspects(task.job)) else {
            return Vec::new();
        };
        let task = self.suspect_id(task);
        let rows = job.suspect_runs.iter();
        let lost = rows.filter(|row| row.is_of(task) && row.is_lost());
        lost.map(|row| row.place().to_owned()).collect()
    }

    /// Returns where a task that has waited for `waited_ms` may be started.
    pub(super) fn suspect_placement(&self, task: TaskId, waited_ms: u64) -> SuspectPlacement {
        let history = self.job(task.job).map_or(LossHistory::default(), |job| {
            loss_history(job, self.suspect_id(task))
        });
        suspect_placement(history, waited_ms)
    }

    /// Applies the answer of a worker, of the incarnation that started at `started_unix_ms`, to
    /// the losses that were attributed to its silence.
    pub(super) fn resolve_silence(&mut self, id: &WorkerId, started_unix_ms: Option<u64>) {
        self.resolve_silent_runs(|row| {
            let known = (row.worker_started_unix_ms, started_unix_ms);
            match known {
                _ if row.worker != id.as_str() => Silence::Unresolved,
                (Some(before), Some(now)) if before != now => Silence::Crashed,
                _ => Silence::CutOff,
            }
        });
    }

    /// Records that a worker that was silent has certainly crashed.
    pub(super) fn confirm_crash(&mut self, id: &WorkerId) {
        self.resolve_silent_runs(|row| match row.worker == id.as_str() {
            true => Silence::Crashed,
            false => Silence::Unresolved,
        });
    }

    /// Records the crash of silent workers on whose VM another worker runs now, without an
    /// operation of this owner on the VM.
    pub(super) fn confirm_crashes_by_vm(&mut self) {
        if self.suspect_jobs.is_empty() {
            return;
        }
        let vms = std::mem::take(&mut self.vms);
        let removed = std::mem::take(&mut self.removed_workers);
        let ended = std::mem::take(&mut self.ended_workers);
        self.resolve_silent_runs(|row| {
            let found = vms.binary_search_by(|vm| vm.name.as_str().cmp(&row.vm));
            let successor = found.ok().and_then(|at| vms[at].worker.as_ref());
            let mut ended = removed.iter().chain(&ended);
            let is_removed = ended.any(|ended| ended.id.as_str() == row.worker);
            match successor {
                Some(id) if id.as_str() != row.worker && !is_removed => Silence::Crashed,
                _ => Silence::Unresolved,
            }
        });
        self.vms = vms;
        self.removed_workers = removed;
        self.ended_workers = ended;
    }

    fn resolve_silent_runs(&mut self, resolve: impl Fn(&SuspectRun) -> Silence) {
        let silence = |row: &SuspectRun| match row.state {
            SuspectState::WorkerSilent => resolve(row),
            SuspectState::InProgress | SuspectState::WorkerCrashed => Silence::Unresolved,
        };
        let is_resolved = |id: &JobId| {
            let rows = self.job(*id).map_or(&[][..], |job| &job.suspect_runs);
            rows.iter().any(|row| silence(row) != Silence::Unresolved)
        };
        let resolved: Vec<JobId> = self
            .suspect_jobs
            .iter()
            .copied()
            .filter(is_resolved)
            .collect();
        for id in resolved {
            let Some(job) = self.job_mut(id) else {
                continue;
            };
            job.suspect_runs.retain_mut(|row| match silence(row) {
                Silence::Unresolved => true,
                Silence::Crashed => {
                    row.state = SuspectState::WorkerCrashed;
                    true
                }
                Silence::CutOff => false,
            });
            self.suspects_changed(id);
        }
    }

    /// After a takeover, counts the runs in progress of an earlier owner that no worker has
    /// reported as lost with their workers.
    ///
    /// A run that was started long ago has lasted long enough to clear its task. The first runs of
    /// tasks are not stored: if a worker of the job's pools has crashed a short time ago, it may have
    /// been under one of them, so the next starts are stored.
    pub(super) fn count_unreported_runs(&mut self, id: JobId, now: MonotonicMillis) {
        let Some(job) = self.job(id) else { return };
        let current_pool = self.queue_of(&job.spec).pool;
        let crashed_lately = self.workers.iter().any(|worker| {
            let uptime_ms = worker.uptime_ms(now).unwrap_or(0);
            let pool = &worker.entry.pool;
            uptime_ms < self.settings.max_lease_ms
                && (*pool == current_pool || job.may_have_started_in(pool))
        });
        let cleared_after_ms = CLEARED_AFTER_MS + self.settings.takeover_wait_ms;
        let now_unix_ms = self.pass_unix_ms;
        let Some(job) = self.job_mut(id) else { return };
        job.stores_starts |= crashed_lately;
        let mut changed = false;
        for at in 0..job.suspect_runs.len() {
            let row = &job.suspect_runs[at];
            let occurrence = job.occurrence_position(row.occurrence);
            let steps = occurrence.map(|at| &job.occurrences[at].steps);
            let step = steps.and_then(|steps| steps.get(usize::from(row.step)));
            let task = step.and_then(|step| step.tasks.get(usize::from(row.index)));
            let unreported = task.is_some_and(|task| task.status == TaskStatus::Unaccounted);
            let age_ms = now_unix_ms.saturating_sub(row.recorded_unix_ms);
            let is_recent = age_ms < cleared_after_ms;
            if unreported && is_recent && row.state == SuspectState::InProgress {
                job.suspect_runs[at].state = SuspectState::WorkerSilent;
                changed = true;
            }
        }
        if changed {
            self.suspects_changed(id);
        }
    }

    /// Clears the suspects whose run has lasted, and gives up the tasks that have crashed their
    /// workers.
    pub(super) fn evaluate_suspects(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        for id in self.suspect_jobs.clone() {
            self.clear_lasting_runs(id);
            let Some(job) = self.job(id).filter(|job| job.is_open()) else {
                continue;
            };
            let rows = job.suspect_runs.iter();
            let mut tasks = rows.map(|row| row_task(id, row));
            let given_up = tasks.find(|task| is_given_up(loss_history(job, *task)));
            if let Some(task) = given_up {
                self.give_up(task, now, now_unix_ms);
            }
        }
        let jobs = std::mem::take(&mut self.suspect_jobs);
        let has_suspects = |id: &JobId| {
            self.job(*id)
                .is_some_and(|job| job.is_open() && !job.suspect_runs.is_empty())
        };
        self.suspect_jobs = jobs.into_iter().filter(has_suspects).collect();
    }

    fn clear_lasting_runs(&mut self, id: JobId) {
        let has_lasted = |run: &Run, answered_at: MonotonicMillis| {
            run.is_live() && answered_at.since(run.started_at).get() >= CLEARED_AFTER_MS
        };
        let mut cleared = Vec::new();
        let Some(job) = self.job(id) else { return };
        for row in job.suspect_runs.iter().filter(|row| !row.is_lost()) {
            let task = row_task(id, row);
            let number = RunNumber::new(row.run);
            let worker = row.worker.parse().ok();
            let at = worker.and_then(|id| self.worker_position(&id));
            let worker = at.map(|at| &self.workers[at]);
            let lasted = worker.is_some_and(|worker| {
                let position = worker.run_position(task, number);
                position.is_some_and(|at| has_lasted(&worker.runs[at], worker.answered_at))
            });
            if lasted {
                cleared.push(task);
            }
        }
        for task in cleared {
            if let Some(job) = self.job_mut(id) {
                job.suspect_runs.retain(|row| !row.is_of(task));
            }
            self.suspects_changed(id);
        }
    }

    fn give_up(&mut self, task: TaskId, now: MonotonicMillis, now_unix_ms: u64) {
        let Some(job) = self.job_mut(task.job) else {
            return;
        };
        let lost = job.suspect_runs.iter();
        let lost = lost.filter(|row| row.is_of(task) && row.is_lost());
        let workers: Vec<String> = lost
            .map(|row| {
                let (alone, prompt) = (row.alone, row.prompt);
                format!("{}@{} alone={alone} prompt={prompt}", row.worker, row.vm)
            })
            .collect();
        log::warn!(
            job = task.job.to_string(), task = task.to_string(), queue = job.spec.queue.as_str(),
            organisation = job.spec.organisation.as_str(), losses = workers.len(),
            workers = workers.join(", ");
            "task given up: its workers crashed; its job is shown as failed"
        );
        job.finish(JobOutcome::Failed, now_unix_ms);
        self.loss_counts.tasks_given_up += 1;
        self.after_job_finished(task.job, now);
    }
}

/// Returns whether the start order of a run has probably reached the worker while it ran, if the
/// worker last answered at `answered_at`. It may yet be carried out late, without having started.
const fn has_reached_worker(run: &Run, answered_at: MonotonicMillis) -> bool {
    let alive_before_ms = run.started_at.since(answered_at).get();
    run.has_started() || run.connection_lost || alive_before_ms <= ALIVE_BEFORE_START_MS
}

/// Returns whether a worker had certainly started a run and stopped answering right after that.
const fn is_prompt_loss(run: &Run, silent_since: MonotonicMillis) -> bool {
    silent_since.since(run.started_at).get() <= PROMPT_LOSS_MS
        && (run.has_started() || run.connection_lost)
}

/// What is known of a worker that was silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    Unresolved,
    Crashed,
    CutOff,
}

const fn row_task(job: JobId, row: &SuspectRun) -> TaskId {
    TaskId {
        job,
        occurrence: row.occurrence,
        step: row.step,
        index: row.index,
    }
}

fn loss_history(job: &Job, task: TaskId) -> LossHistory {
    let rows = job.suspect_runs.iter();
    let lost = rows.filter(|row| row.is_of(task) && row.is_lost());
    let newest = lost.clone().next_back();
    let count = |rows: usize| u32::try_from(rows).unwrap_or(u32::MAX);
    LossHistory {
        losses: count(lost.clone().count()),
        newest_crashed: newest.is_some_and(|row| row.state == SuspectState::WorkerCrashed),
        newest_alone: newest.is_some_and(|row| row.alone),
        several_vms: newest
            .is_some_and(|newest| lost.clone().any(|row| row.place() != newest.place())),
        newest_prompt: newest.is_some_and(|row| row.prompt),
        prompt_losses: count(lost.filter(|row| row.prompt).count()),
    }
}

fn log_loss(worker: &str, evidence: LossEvidence, lost: &[&Run], is_fresh: impl Fn(&Run) -> bool) {
    let names = |fresh: bool| {
        let named = lost.iter().filter(|run| is_fresh(run) == fresh);
        let named: Vec<String> = named
            .take(MAX_LOGGED_RUNS)
            .map(|run| format!("{}#{}", run.task, run.number))
            .collect();
        named.join(" ")
    };
    log::info!(
        worker = worker, evidence = evidence.name(), runs = lost.len(),
        fresh = names(true), older = names(false);
        "worker lost with its runs"
    );
}
