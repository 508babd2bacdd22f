//! Effects of the end of a run on its task, its job and the statistics.

use vanillafold_policy::MonotonicMillis;

use super::root::Shard;
use crate::id::{JobId, RunNumber, TaskId};
use crate::job::{Job, Step, TaskStatus};
use crate::record::JobOutcome;
use crate::spec::StepSpec;
use crate::worker::{EndKind, Run};

/// Half-life of the weight of a failed run in a worker's fault score, in milliseconds.
const FAULT_HALF_LIFE_MS: f64 = 5_000.0;
/// Fault score at which a worker gets no new tasks for [`FAULT_BACKOFF_MS`].
const FAULT_BACKOFF_SCORE: f64 = 3.0;
/// How long a worker with too high a fault score gets no new tasks, in milliseconds: long enough
/// for a transient fault to pass, short enough to notice soon that it has.
const FAULT_BACKOFF_MS: u64 = 3_000;
/// Weight of a new observation in the moving average of task durations.
const DURATION_EWMA_WEIGHT: f64 = 0.1;

impl Shard {
    /// Processes the end of a run that was removed from its worker.
    pub(super) fn end_run(
        &mut self,
        at: usize,
        run: &Run,
        kind: EndKind,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) {
        self.remove_usage(&run.organisation, run.needs);
        self.update_statistics(at, run, kind, now);
        let worker = self.workers[at].entry.id.clone();
        let Some(task) = self.open_task(run.task) else {
            return;
        };
        let is_placed_here =
            matches!(&task.status, TaskStatus::Placed { worker: on } if *on == worker);
        if !is_placed_here || task.run != run.number {
            return;
        }
        self.apply_end(run.task, kind, &run.checkpoint, now, now_unix_ms);
    }

    /// Updates a task after its run ended.
    pub(super) fn apply_end(
        &mut self,
        task: TaskId,
        kind: EndKind,
        checkpoint: &str,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) {
        // The end of a gang member that lost another one says nothing about that one's worker.
        if !matches!(kind, EndKind::GangMemberEnded | EndKind::GangIncomplete) {
            self.record_suspect_end(task, kind == EndKind::Done);
        }
        let Some(job) = self.job_mut(task.job).filter(|job| job.is_open()) else {
            return;
        };
        let spec = std::rc::Rc::clone(&job.spec);
        let step_spec = &spec.steps[usize::from(task.step)];
        // While workers have not responded, one of them may run the task or hold a failed run of it
        // that counts.
        let unfinished = match job.unaccounted {
            true => TaskStatus::Unaccounted,
            false => TaskStatus::Waiting { since: now },
        };
        let Some(at) = job.occurrence_position(task.occurrence) else {
            return;
        };
        let step = &mut job.occurrences[at].steps[usize::from(task.step)];
        if !checkpoint.is_empty() {
            step.tasks[usize::from(task.index)].checkpoint = checkpoint.to_owned();
        }
        match kind {
            EndKind::Done if step_spec.gang && !step_spec.persistent => {
                for index in 0..step.tasks.len() {
                    let index = u16::try_from(index).unwrap_or(u16::MAX);
                    step.set_status(index, TaskStatus::Done);
                }
                for index in 0..step_spec.count {
                    let index = u16::try_from(index).unwrap_or(u16::MAX);
                    job.step_progress(task.occurrence, task.step)
                        .set_done(index);
                }
                job.version += 1;
                self.complete_if_done(task, now, now_unix_ms);
            }
            EndKind::Done if !step_spec.persistent => {
                step.set_status(task.index, TaskStatus::Done);
                job.step_progress(task.occurrence, task.step)
                    .set_done(task.index);
                job.version += 1;
                self.complete_if_done(task, now, now_unix_ms);
            }
            EndKind::Failed if !step_spec.persistent => {
                step.set_status(task.index, unfinished);
                let run = step.tasks[usize::from(task.index)].run;
                self.count_failed_run(task, run, now, now_unix_ms);
            }
            _ => step.set_status(task.index, unfinished),
        }
        if step_spec.gang {
            self.share_gang_checkpoint(task);
        }
    }

    /// Counts a failed run of a task, or of its whole gang, and fails the job if its queue allows
    /// no further attempt.
    pub(super) fn count_failed_run(
        &mut self,
        task: TaskId,
        run: RunNumber,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) {
        let Some(job) = self.job_mut(task.job).filter(|job| job.is_open()) else {
            return;
        };
        let step = &job.spec.steps[usize::from(task.step)];
        if step.persistent || job.occurrence_position(task.occurrence).is_none() {
            return;
        }
        let counted_index = match step.gang {
            true => 0,
            false => task.index,
        };
        let progress = job.step_progress(task.occurrence, task.step);
        if progress.add_failed_run(counted_index, run) {
            let failed = progress.failed_runs(counted_index);
            job.version += 1;
            self.mark_dirty(task.job);
            self.fail_if_attempts_exhausted(task.job, failed, now, now_unix_ms);
        }
    }

    fn complete_if_done(&mut self, task: TaskId, now: MonotonicMillis, now_unix_ms: u64) {
        self.mark_dirty(task.job);
        let Some(job) = self.job_mut(task.job) else {
            return;
        };
        let Some(at) = job.occurrence_position(task.occurrence) else {
            return;
        };
        if !job.occurrences[at].steps.iter().all(Step::is_done) {
            return;
        }
        job.complete_occurrence(task.occurrence);
        let count = job.occurrence_count();
        if job.progress.completed.len() as u64 == u64::from(count) {
            job.finish(JobOutcome::Completed, now_unix_ms);
            self.check_prediction(task.job, now);
            self.after_job_finished(task.job, now);
        }
    }

    fn fail_if_attempts_exhausted(
        &mut self,
        id: JobId,
        failed: u32,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) {
        let Some(job) = self.job(id) else { return };
        let max_attempts = self.queue_of(&job.spec).max_attempts;
        let is_configured = self.catalogue.queue(&job.spec.queue).is_some();
        if self.has_catalogue
            && failed >= max_attempts
            && let Some(job) = self.job_mut(id)
        {
            log::info!(
                job = id.to_string(), queue = job.spec.queue.as_str(), failed = failed,
                max_attempts = max_attempts, is_configured = is_configured;
                "a task has failed as often as its queue allows; its job is shown as failed"
            );
            job.finish(JobOutcome::Failed, now_unix_ms);
            self.after_job_finished(id, now);
        }
    }

    /// Fails a job if a waiting task of the step has failed as often as its queue allows. Failed runs
    /// may have been counted before the limit was known, or under a higher one. Returns whether the
    /// job is failed.
    pub(super) fn fail_if_waiting_in_vain(
        &mut self,
        (id, occurrence, step): (JobId, u32, u16),
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> bool {
        let most_failed = self
            .job(id)
            .map_or(0, |job| job.most_failed_runs_of_waiting(occurrence, step));
        if most_failed > 0 {
            self.fail_if_attempts_exhausted(id, most_failed, now, now_unix_ms);
        }
        self.job(id).is_none_or(|job| !job.is_open())
    }

    /// Copies the checkpoint of a task to all members of its gang, which must resume from the same
    /// one.
    fn share_gang_checkpoint(&mut self, task: TaskId) {
        let Some(job) = self.job_mut(task.job) else {
            return;
        };
        let Some(at) = job.occurrence_position(task.occurrence) else {
            return;
        };
        let step = &mut job.occurrences[at].steps[usize::from(task.step)];
        let checkpoint = step.tasks[usize::from(task.index)].checkpoint.clone();
        if checkpoint.is_empty() {
            return;
        }
        for member in &mut step.tasks {
            member.checkpoint.clone_from(&checkpoint);
        }
    }

    /// Returns a task of an open job.
    pub(super) fn open_task(&self, id: TaskId) -> Option<&crate::job::Task> {
        let job = self.job(id.job).filter(|job| job.is_open())?;
        let at = job.occurrence_position(id.occurrence)?;
        let step = job.occurrences[at].steps.get(usize::from(id.step))?;
        step.tasks.get(usize::from(id.index))
    }

    /// Updates the worker's fault score and the average duration of the queue's tasks.
    fn update_statistics(&mut self, at: usize, run: &Run, kind: EndKind, now: MonotonicMillis) {
        let duration_ms = now.since(run.started_at).get();
        let job_failed_before = self.job_has_failed_run(run.task);
        let worker = &mut self.workers[at];
        #[allow(clippy::cast_precision_loss)] // durations far below 2^52
        let half_lives = now.since(worker.fault_score_at).get() as f64 / FAULT_HALF_LIFE_MS;
        worker.fault_score *= 0.5_f64.powf(half_lives);
        worker.fault_score_at = now;
        if kind == EndKind::Failed {
            worker.record_failed_job(run.task.job);
        }
        match kind {
            EndKind::Done => worker.fault_score *= 0.5,
            EndKind::Failed if !job_failed_before && !run.persistent => worker.fault_score += 1.0,
            _ => {}
        }
        if worker.fault_score >= FAULT_BACKOFF_SCORE {
            worker.backoff_until = MonotonicMillis::new(now.get() + FAULT_BACKOFF_MS);
            log::info!(worker = worker.entry.id.as_str(), faults = worker.fault_score; "too many recent faults; worker gets no new tasks for {FAULT_BACKOFF_MS} ms");
        }
        if kind != EndKind::Done || run.persistent {
            return;
        }
        let Some((job, step)) = self.described_step(run.task) else {
            return;
        };
        let estimate_ms = step.estimate_ms;
        if estimate_ms == 0 {
            return;
        }
        #[allow(clippy::cast_precision_loss)] // durations far below 2^52
        let near_duration_ms = duration_ms as f64 * 1_000.0 / run.slowdown_permille as f64;
        let ratio = near_duration_ms / estimate_ms as f64;
        let queue = job.spec.queue.clone();
        match self
            .duration_ratios
            .binary_search_by(|row| row.0.cmp(&queue))
        {
            Ok(at) => {
                let average = &mut self.duration_ratios[at].1;
                *average += (ratio - *average) * DURATION_EWMA_WEIGHT;
            }
            Err(at) => self.duration_ratios.insert(at, (queue, ratio)),
        }
    }

    /// Returns a task's job and the description of its step; `None` if the job is unknown, its
    /// description has been deleted, or a worker has reported a step that the job does not have.
    pub(super) fn described_step(&self, task: TaskId) -> Option<(&Job, &StepSpec)> {
        let job = self.job(task.job)?;
        let step = job.spec.steps.get(usize::from(task.step))?;
        Some((job, step))
    }

    /// Returns whether any run of the task's job has failed before, in an occurrence that has not
    /// completed. The next failure is then attributed to the job and not to the worker.
    fn job_has_failed_run(&self, task: TaskId) -> bool {
        self.job(task.job).is_some_and(|job| {
            job.progress
                .occurrences
                .iter()
                .flat_map(|occurrence| &occurrence.steps)
                .any(|step| !step.failed_runs.is_empty())
        })
    }
}
