//! Jobs, occurrences, steps and tasks.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;

use super::JobState;
use crate::id::{JobId, RunNumber, WorkerId};
use crate::record::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress};
use crate::spec::{JobSpec, StepSpec};

/// How a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// It may run on a worker that has not been responded since the shard changed its owner.
    Unaccounted,
    /// It has to run, since that time.
    Waiting { since: MonotonicMillis },
    /// It runs, or may run, there.
    Placed { worker: WorkerId },
    /// It has ended done.
    Done,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) status: TaskStatus,
    /// The newest run.
    pub(crate) run: RunNumber,
    /// Where the next run resumes; empty for the start.
    pub(crate) checkpoint: String,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// Tasks that wait.
    pub(crate) waiting: u32,
    pub(crate) done: u32,
}

#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) number: u32,
    /// When it is due, milliseconds since 1970; 0 if at once.
    pub(crate) due_unix_ms: u64,
    pub(crate) steps: Vec<Step>,
}

impl Occurrence {
    /// Whether all steps that `step` waits for are done.
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
}

/// A job in memory.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Rc<JobSpec>,
    pub(crate) progress: JobProgress,
    /// Its description is stored.
    pub(crate) spec_stored: bool,
    /// Counts the changes of what must be stored.
    pub(crate) version: u64,
    /// The version that is stored.
    pub(crate) stored_version: u64,
    /// The version that is being written, if one is.
    pub(crate) writing_version: Option<u64>,
    /// The outcome that is stored, which is what callers are told.
    pub(crate) stored_outcome: JobOutcome,
    /// The outcome in the version that is being written.
    pub(crate) writing_outcome: JobOutcome,
    pub(crate) occurrences: Vec<Occurrence>,
    /// Occurrences up to here, without it, have been begun.
    pub(crate) next_occurrence: u32,
    /// When it was handed in, on the owner's clock; for one that was loaded, worked out.
    pub(crate) accepted_at: MonotonicMillis,
    /// Tasks may still run on workers that have not been responded.
    pub(crate) unaccounted: bool,
    /// When the records may go.
    pub(crate) delete_at: Option<MonotonicMillis>,
}

impl Job {
    pub(crate) fn new(id: JobId, spec: JobSpec, now: MonotonicMillis) -> Self {
        Self {
            id,
            spec: Rc::new(spec),
            progress: JobProgress::default(),
            spec_stored: false,
            version: 0,
            stored_version: 0,
            writing_version: None,
            stored_outcome: JobOutcome::Open,
            writing_outcome: JobOutcome::Open,
            occurrences: Vec::new(),
            next_occurrence: 0,
            accepted_at: now,
            unaccounted: false,
            delete_at: None,
        }
    }

    /// Whether work is left and may be done.
    pub(crate) fn is_open(&self) -> bool {
        self.progress.outcome == JobOutcome::Open
    }

    /// Whether there is something to write.
    pub(crate) const fn is_dirty(&self) -> bool {
        !self.spec_stored || self.version > self.stored_version
    }

    /// What callers are told.
    pub(crate) const fn state(&self) -> JobState {
        match self.stored_outcome {
            JobOutcome::Open if self.progress.started => JobState::Running,
            JobOutcome::Open => JobState::Queued,
            JobOutcome::Completed => JobState::Completed,
            JobOutcome::Failed => JobState::Failed,
            JobOutcome::Cancelled => JobState::Cancelled,
        }
    }

    /// Makes the tasks of an occurrence, with the progress that is known.
    pub(crate) fn begin_occurrence(&mut self, number: u32, due_unix_ms: u64, status: &TaskStatus) {
        let known = match self.progress_position(number) {
            Some(at) => self.progress.occurrences[at].steps.as_slice(),
            None => &[],
        };
        let mut steps = Vec::with_capacity(self.spec.steps.len());
        for (at, spec) in self.spec.steps.iter().enumerate() {
            steps.push(Step::new(spec, known.get(at), status));
        }
        self.occurrences.push(Occurrence {
            number,
            due_unix_ms,
            steps,
        });
    }

    fn progress_position(&self, number: u32) -> Option<usize> {
        self.progress
            .occurrences
            .binary_search_by_key(&number, |occurrence| occurrence.number)
            .ok()
    }

    /// The stored progress of a step, made if there is none.
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

    /// Ends an occurrence whose tasks are all done.
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

    /// How many occurrences there are.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.spec.repeat.map_or(1, |repeat| repeat.count)
    }

    /// All workers that may run its tasks have been responded: the tasks that were not found wait.
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

    /// Sets the outcome; the tasks are not needed any more.
    pub(crate) fn finish(&mut self, outcome: JobOutcome, now_unix_ms: u64) {
        self.progress.outcome = outcome;
        self.progress.ended_unix_ms = now_unix_ms;
        self.progress.occurrences = Vec::new();
        self.occurrences = Vec::new();
        self.version += 1;
    }
}

impl Step {
    fn new(spec: &StepSpec, known: Option<&StepProgress>, status: &TaskStatus) -> Self {
        let mut step = Self {
            tasks: Vec::with_capacity(spec.count as usize),
            waiting: 0,
            done: 0,
        };
        for index in 0..spec.count {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let done = known.is_some_and(|known| known.is_done(index));
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

    /// Changes a task's status and keeps the counts.
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
