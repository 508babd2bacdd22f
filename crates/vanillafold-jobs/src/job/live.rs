//! Jobs in memory, with their occurrences, steps and tasks.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;

use super::JobState;
use crate::id::{JobId, RunNumber, WorkerId};
use crate::record::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress, SuspectRun};
use crate::spec::{JobSpec, Resources, StepSpec};

/// Maximum number of open occurrences of a job. Further ones begin as these complete.
const MAX_OPEN_OCCURRENCES: usize = 256;
/// Maximum number of tasks in the open occurrences of a job, unless a single one has more.
const MAX_OPEN_TASKS: usize = 50_000;

/// Number of suspect runs of a job that are kept when there are too many. The store takes no record above
/// a size of its own.
const KEPT_SUSPECT_RUNS: usize = 200;
/// Number of suspect runs of a job from which only [`KEPT_SUSPECT_RUNS`] are kept.
const MAX_SUSPECT_RUNS: usize = 2 * KEPT_SUSPECT_RUNS;

/// Scheduling status of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// May be running since an earlier ownership, on a worker that has not responded to the new
    /// owner yet.
    Unaccounted,
    /// Has been waiting for a worker since that time.
    Waiting { since: MonotonicMillis },
    /// Runs, or may run, on that worker.
    Placed { worker: WorkerId },
    /// Has completed.
    Done,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) status: TaskStatus,
    /// Number of the newest run.
    pub(crate) run: RunNumber,
    /// Checkpoint from which the next run resumes; empty if it starts from the beginning.
    pub(crate) checkpoint: String,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks with the status `Waiting`.
    pub(crate) waiting: u32,
    pub(crate) done: u32,
}

#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) number: u32,
    /// When the occurrence is due, in milliseconds since 1970; 0 if it starts at once.
    pub(crate) due_unix_ms: u64,
    pub(crate) steps: Vec<Step>,
}

impl Occurrence {
    /// Returns whether all steps that a step with this description depends on are done.
    pub(crate) fn may_start(&self, spec: &StepSpec) -> bool {
        spec.after
            .iter()
            .all(|after| self.steps[usize::from(*after)].is_done())
    }
}

impl Step {
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns whether tasks may be placed on workers: not all are waiting or done.
    pub(crate) fn may_have_placed_tasks(&self) -> bool {
        ((self.waiting + self.done) as usize) < self.tasks.len()
    }
}

/// When the steps of a job have to start for it to be in time, by the expected durations at its
/// submission.
#[derive(Debug, Clone)]
pub(crate) struct JobPlan {
    /// Latency within which the job should complete, in milliseconds.
    pub(crate) objective_ms: u64,
    /// For each step, the expected time from its start to the end of the job, in milliseconds.
    pub(crate) tails_ms: Vec<u64>,
    /// For each step, the expected duration of a task, in milliseconds; 0 for a persistent one.
    pub(crate) task_ms: Vec<u64>,
    /// Whether the job was accepted while others waited.
    pub(crate) is_contended: bool,
}

/// A job as the owner of its shard keeps it in memory.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Rc<JobSpec>,
    pub(crate) progress: JobProgress,
    /// Runs of tasks under which workers were lost, in the order of their starts.
    pub(crate) suspect_runs: Vec<SuspectRun>,
    /// Whether all starts are stored, because an earlier owner may not have counted a loss.
    pub(crate) stores_starts: bool,
    /// Whether the store has, or may have, a record of suspect runs.
    pub(crate) suspects_stored: bool,
    /// Pools in which tasks may have been started, without the one where the job was submitted, each
    /// with the first version of the job that includes it. Sorted by name.
    pub(crate) start_pools: Vec<(String, u64)>,
    /// Whether the store has, or may have, a record of these pools.
    pub(crate) start_pools_stored: bool,
    /// Whether the description is stored.
    pub(crate) spec_stored: bool,
    /// Incremented with each change that must be stored.
    pub(crate) version: u64,
    /// Newest version that is stored.
    pub(crate) stored_version: u64,
    /// Version in the batch that is being written, if any.
    pub(crate) writing_version: Option<u64>,
    /// Outcome as stored. Callers are shown only this one.
    pub(crate) stored_outcome: JobOutcome,
    /// Outcome in the version that is being written.
    pub(crate) writing_outcome: JobOutcome,
    /// Number of completed occurrences as stored.
    pub(crate) stored_completed: usize,
    /// Number of completed occurrences in the version that is being written.
    pub(crate) writing_completed: usize,
    pub(crate) occurrences: Vec<Occurrence>,
    /// First occurrence that has not begun.
    pub(crate) next_occurrence: u32,
    /// When the job was submitted, on the owner's clock. For a job loaded from the store it is
    /// computed from the submission time of day.
    pub(crate) submitted_at: MonotonicMillis,
    /// Whether tasks may still run on workers that have not responded since the takeover.
    pub(crate) unaccounted: bool,
    /// When its steps have to start; `None` for a job that an earlier owner has accepted.
    pub(crate) plan: Option<JobPlan>,
    /// When the stored records of a finished job may be deleted.
    pub(crate) delete_at: Option<MonotonicMillis>,
}

impl Job {
    pub(crate) fn new(id: JobId, spec: JobSpec, now: MonotonicMillis) -> Self {
        Self {
            id,
            spec: Rc::new(spec),
            progress: JobProgress::default(),
            suspect_runs: Vec::new(),
            stores_starts: false,
            suspects_stored: false,
            start_pools: Vec::new(),
            start_pools_stored: false,
            spec_stored: false,
            version: 0,
            stored_version: 0,
            writing_version: None,
            stored_outcome: JobOutcome::Open,
            writing_outcome: JobOutcome::Open,
            stored_completed: 0,
            writing_completed: 0,
            occurrences: Vec::new(),
            next_occurrence: 0,
            submitted_at: now,
            unaccounted: false,
            plan: None,
            delete_at: None,
        }
    }

    /// Returns whether the job has not finished.
    pub(crate) fn is_open(&self) -> bool {
        self.progress.outcome == JobOutcome::Open
    }

    /// Returns whether the description or the progress has unstored changes.
    pub(crate) const fn is_dirty(&self) -> bool {
        !self.spec_stored || self.version > self.stored_version
    }

    /// Returns the state shown to callers.
    pub(crate) const fn state(&self) -> JobState {
        match self.stored_outcome {
            JobOutcome::Open if self.progress.started => JobState::Running,
            JobOutcome::Open => JobState::Queued,
            JobOutcome::Completed => JobState::Completed,
            JobOutcome::Failed => JobState::Failed,
            JobOutcome::Cancelled => JobState::Cancelled,
        }
    }

    /// Creates the tasks of an occurrence. Tasks that the stored progress does not show as done get
    /// `status`.
    pub(crate) fn begin_occurrence(&mut self, number: u32, due_unix_ms: u64, status: &TaskStatus) {
        let stored_steps = match self.progress_position(number) {
            Some(at) => self.progress.occurrences[at].steps.as_slice(),
            None => &[],
        };
        let mut steps = Vec::with_capacity(self.spec.steps.len());
        for (at, spec) in self.spec.steps.iter().enumerate() {
            steps.push(Step::new(spec, stored_steps.get(at), status));
        }
        self.occurrences.push(Occurrence {
            number,
            due_unix_ms,
            steps,
        });
    }

    /// Sets the stored progress. What does not belong to the job's description is left out: its other
    /// parts, and the record, may come from another writer.
    pub(crate) fn restore_progress(&mut self, mut progress: JobProgress) {
        let count = self.occurrence_count();
        progress.completed.retain(|number| *number < count);
        progress.completed.sort_unstable();
        progress.completed.dedup();
        let completed = &progress.completed;
        let rows = &mut progress.occurrences;
        rows.retain(|row| row.number < count && completed.binary_search(&row.number).is_err());
        rows.sort_by_key(|row| row.number);
        rows.dedup_by_key(|row| row.number);
        for row in rows {
            row.steps
                .resize_with(self.spec.steps.len(), StepProgress::default);
            for (step, spec) in row.steps.iter_mut().zip(&self.spec.steps) {
                step.restrict_to(spec.count);
            }
        }
        self.progress = progress;
    }

    fn start_pool_position(&self, pool: &str) -> Result<usize, usize> {
        self.start_pools
            .binary_search_by(|row| row.0.as_str().cmp(pool))
    }

    /// Returns whether tasks of the job may have been started in a pool, by this or an earlier owner.
    pub(crate) fn may_have_started_in(&self, pool: &str) -> bool {
        self.spec.pool == pool || self.start_pool_position(pool).is_ok()
    }

    /// Returns whether the next owner would know that tasks of the job may run in a pool.
    pub(crate) fn may_start_in(&self, pool: &str) -> bool {
        let is_stored = |at: usize| self.start_pools[at].1 <= self.stored_version;
        self.spec.pool == pool || self.start_pool_position(pool).is_ok_and(is_stored)
    }

    /// Adds a pool to those in which tasks may have been started. Returns whether that has to be
    /// stored.
    pub(crate) fn add_start_pool(&mut self, pool: &str) -> bool {
        if self.may_have_started_in(pool) {
            return false;
        }
        let at = self.start_pool_position(pool).unwrap_or_else(|at| at);
        self.version += 1;
        self.start_pools.insert(at, (pool.to_owned(), self.version));
        true
    }

    /// Sets the stored pools in which tasks may have been started.
    pub(crate) fn restore_start_pools(&mut self, mut pools: Vec<String>) {
        pools.sort_unstable();
        pools.dedup();
        self.start_pools = pools.into_iter().map(|pool| (pool, 0)).collect();
        self.start_pools_stored = true;
    }

    fn progress_position(&self, number: u32) -> Option<usize> {
        self.progress
            .occurrences
            .binary_search_by_key(&number, |occurrence| occurrence.number)
            .ok()
    }

    /// Adds a suspect run. Of too many, those of the tasks with the most are kept, and of these the
    /// newest: a single loss that is shared with hundreds of tasks says little about any of them.
    pub(crate) fn add_suspect_run(&mut self, row: SuspectRun) {
        self.suspect_runs.push(row);
        let rows = &self.suspect_runs;
        if rows.len() < MAX_SUSPECT_RUNS {
            return;
        }
        let task_of = |row: &SuspectRun| (row.occurrence, row.step, row.index);
        let of_same_task = |at: &usize| {
            let task = task_of(&rows[*at]);
            rows.iter().filter(|row| task_of(row) == task).count()
        };
        let mut kept: Vec<usize> = (0..rows.len()).collect();
        kept.sort_by_cached_key(|at| std::cmp::Reverse((of_same_task(at), *at)));
        kept.truncate(KEPT_SUSPECT_RUNS);
        kept.sort_unstable();
        let mut at = 0;
        self.suspect_runs.retain(|_| {
            at += 1;
            kept.binary_search(&(at - 1)).is_ok()
        });
    }

    /// Returns the number of failed runs of the waiting task of a step that has the most. Those of a
    /// gang are counted under its first member.
    pub(crate) fn most_failed_runs_of_waiting(&self, occurrence: u32, step: u16) -> u32 {
        let progress = &self.progress.occurrences;
        let progress = progress.iter().find(|row| row.number == occurrence);
        let progress = progress.and_then(|row| row.steps.get(usize::from(step)));
        let tasks = self
            .occurrence_position(occurrence)
            .map(|at| &self.occurrences[at].steps[usize::from(step)].tasks);
        let (Some(progress), Some(tasks)) = (progress, tasks) else {
            return 0;
        };
        let is_waiting = |row: &&(u16, u64)| {
            let task = tasks.get(usize::from(row.0));
            task.is_some_and(|task| matches!(task.status, TaskStatus::Waiting { .. }))
        };
        let failed = progress.failed_runs.iter().filter(is_waiting);
        let counts = failed.map(|row| progress.failed_runs(row.0));
        counts.max().unwrap_or(0)
    }

    /// Returns the needs of the tasks that are not accounted for and may have been started.
    pub(crate) fn unaccounted_needs(&self) -> Resources {
        let mut needs = Resources::default();
        for occurrence in &self.occurrences {
            for (step, spec) in occurrence.steps.iter().zip(&self.spec.steps) {
                let is_unaccounted = |task: &&Task| task.status == TaskStatus::Unaccounted;
                if occurrence.may_start(spec) {
                    let count = step.tasks.iter().filter(is_unaccounted).count();
                    needs.add(spec.needs.times(count as u64));
                }
            }
        }
        needs
    }

    /// Returns the stored progress of a step, inserting an empty one if there is none.
    pub(crate) fn step_progress(&mut self, number: u32, step: u16) -> &mut StepProgress {
        let steps = self.spec.steps.len();
        let rows = &mut self.progress.occurrences;
        let at = match rows.binary_search_by_key(&number, |row| row.number) {
            Ok(at) => at,
            Err(at) => {
                let fresh = OccurrenceProgress {
                    number,
                    steps: vec![StepProgress::default(); steps],
                };
                rows.insert(at, fresh);
                at
            }
        };
        &mut rows[at].steps[usize::from(step)]
    }

    pub(crate) fn occurrence_position(&self, number: u32) -> Option<usize> {
        self.occurrences
            .iter()
            .position(|occurrence| occurrence.number == number)
    }

    /// Removes an occurrence whose tasks are all done and records it as completed.
    pub(crate) fn complete_occurrence(&mut self, number: u32) {
        if let Some(at) = self.occurrence_position(number) {
            self.occurrences.remove(at);
        }
        if let Some(at) = self.progress_position(number) {
            self.progress.occurrences.remove(at);
        }
        if let Err(at) = self.progress.completed.binary_search(&number) {
            self.progress.completed.insert(at, number);
        }
    }

    /// Returns the total number of occurrences; 1 for a job that is not repeated.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.spec.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns whether another occurrence may begin beside the open ones. All occurrences may be due
    /// at once, and a caller may ask for more than fit into memory.
    ///
    /// After a takeover twice as many may be open, because the earlier owner may have begun further
    /// ones after completions that it did not store. It may not have begun more: the new owner would not
    /// know their runs, and would run again what has completed.
    pub(crate) fn may_begin_occurrence(&self) -> bool {
        let tasks: usize = self.spec.steps.iter().map(|step| step.count as usize).sum();
        let has_room = |begun: usize, factor: usize| {
            begun == 0
                || (begun < factor * MAX_OPEN_OCCURRENCES
                    && (begun + 1).saturating_mul(tasks) <= factor * MAX_OPEN_TASKS)
        };
        let open = self.occurrences.len();
        let unstored = self.progress.completed.len() - self.stored_completed;
        has_room(open, 1 + usize::from(self.unaccounted)) && has_room(open + unstored, 2)
    }

    /// Makes the unaccounted tasks wait for a worker, once they can't be running on any worker that
    /// has not responded.
    pub(crate) fn requeue_unaccounted(&mut self, now: MonotonicMillis) {
        self.unaccounted = false;
        for occurrence in &mut self.occurrences {
            for step in &mut occurrence.steps {
                for index in 0..step.tasks.len() {
                    if step.tasks[index].status == TaskStatus::Unaccounted {
                        let index = u16::try_from(index).unwrap_or(u16::MAX);
                        step.set_status(index, TaskStatus::Waiting { since: now });
                    }
                }
            }
        }
    }

    /// Records the final outcome and drops all occurrences.
    pub(crate) fn finish(&mut self, outcome: JobOutcome, now_unix_ms: u64) {
        self.progress.outcome = outcome;
        self.progress.finished_unix_ms = now_unix_ms;
        self.progress.occurrences = Vec::new();
        self.suspect_runs = Vec::new();
        self.start_pools = Vec::new();
        self.occurrences = Vec::new();
        self.version += 1;
    }
}

impl Step {
    fn new(spec: &StepSpec, stored: Option<&StepProgress>, status: &TaskStatus) -> Self {
        let mut step = Self {
            tasks: Vec::with_capacity(spec.count as usize),
            waiting: 0,
            done: 0,
        };
        for index in 0..spec.count {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let done = stored.is_some_and(|stored| stored.is_done(index));
            let status = match done {
                true => TaskStatus::Done,
                false => status.clone(),
            };
            match status {
                TaskStatus::Done => step.done += 1,
                TaskStatus::Waiting { .. } => step.waiting += 1,
                TaskStatus::Unaccounted | TaskStatus::Placed { .. } => {}
            }
            step.tasks.push(Task {
                status,
                run: RunNumber::default(),
                checkpoint: String::new(),
            });
        }
        step
    }

    /// Changes a task's status and updates the counts of waiting and completed tasks.
    pub(crate) fn set_status(&mut self, index: u16, status: TaskStatus) {
        let task = &mut self.tasks[usize::from(index)];
        match task.status {
            TaskStatus::Waiting { .. } => self.waiting -= 1,
            TaskStatus::Done => self.done -= 1,
            TaskStatus::Unaccounted | TaskStatus::Placed { .. } => {}
        }
        match status {
            TaskStatus::Waiting { .. } => self.waiting += 1,
            TaskStatus::Done => self.done += 1,
            TaskStatus::Unaccounted | TaskStatus::Placed { .. } => {}
        }
        task.status = status;
    }
}
