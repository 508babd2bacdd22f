//! Jobs and steps.

use bincode::{Decode, Encode};

use super::Resources;

/// The longest text of a job, in bytes: the callers' interface states it.
const MAX_SPEC_BYTES: usize = 4_000;
/// Most steps of a job: bounds the work that one request causes.
const MAX_STEPS: usize = 64;
/// Most tasks of a step: task indexes are 16 bits, and a step must fit a pool.
const MAX_TASKS: u32 = 10_000;

/// A job as its caller finished_with_spec it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobSpec {
    /// The queue.
    pub queue: String,
    /// The pool that ran the queue's tasks when the job arrived.
    pub pool: String,
    /// The organisation; empty on a queue that is open to all.
    pub organisation: String,
    /// The text that each task gets.
    pub text: String,
    /// The steps, in the order in which the caller numbered them.
    pub steps: Vec<StepSpec>,
    /// The occurrences, if it has times.
    pub repeat: Option<Repeat>,
    /// When the job arrived, milliseconds since 1970.
    pub submitted_unix_ms: u64,
}

/// When a job's occurrences are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Repeat {
    /// How many there are.
    pub count: u32,
    /// When the first is due, milliseconds since 1970.
    pub start_unix_ms: u64,
    /// Between two of them, in milliseconds.
    pub interval_ms: u64,
}

/// A step: tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What each takes.
    pub needs: Resources,
    /// How long a task may run, roughly, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done before.
    pub after: Vec<u16>,
    /// Its tasks save their progress.
    pub checkpointing: bool,
    /// Its tasks work only all together.
    pub gang: bool,
    /// Its tasks are fast only on one rack.
    pub same_rack: bool,
    /// A label that the worker must have; empty if none.
    pub required_label: String,
    /// The rack of its data; empty if none.
    pub data_rack: String,
    /// Most tasks of an occurrence on one worker; 0 means no limit.
    pub anti_affinity: u32,
    /// Copies of a task may run in parallel.
    pub speculative: bool,
    /// Its tasks run until the job is cancelled.
    pub persistent: bool,
    /// What its tasks run; tasks of one image behave alike.
    pub image: String,
    /// Below this the tail of its response times must stay, in milliseconds; 0 if it serves nobody.
    pub latency_target_ms: u64,
    /// Its processor time is what the others leave over.
    pub best_effort: bool,
    /// Most of its tasks that may be away at one time by the system's own actions; `None` if that
    /// was not said.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What a task takes of a worker's capacity.
    #[must_use]
    pub const fn reservation(&self) -> Resources {
        match self.best_effort {
            true => Resources {
                cpu_millis: 0,
                ..self.needs
            },
            false => self.needs,
        }
    }
}

/// Why a job can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SpecError {
    /// The text is too long.
    #[error("expected a text of at most {MAX_SPEC_BYTES} bytes, found {bytes}")]
    TextTooLong {
        /// Its length.
        bytes: usize,
    },
    /// There are no steps, or too many.
    #[error("expected 1 to {MAX_STEPS} steps, found {steps}")]
    Steps {
        /// How many there are.
        steps: usize,
    },
    /// A step has no tasks, or too many.
    #[error("step {step}: expected 1 to {MAX_TASKS} tasks, found {count}")]
    Tasks {
        /// The step.
        step: usize,
        /// How many it has.
        count: u32,
    },
    /// A step waits for one that is not before it.
    #[error("step {step}: expected steps before it in its dependencies, found {after}")]
    After {
        /// The step.
        step: usize,
        /// What it names.
        after: u16,
    },
}

impl JobSpec {
    /// What is kept of the description of a job that is over: nothing.
    pub(crate) const fn deleted() -> Self {
        Self {
            queue: String::new(),
            pool: String::new(),
            organisation: String::new(),
            text: String::new(),
            steps: Vec::new(),
            repeat: None,
            submitted_unix_ms: 0,
        }
    }

    /// Checks what the types don't.
    ///
    /// # Errors
    ///
    /// [`SpecError`], the first that is found.
    pub fn check(&self) -> Result<(), SpecError> {
        let bytes = self.text.len();
        let steps = self.steps.len();
        match steps {
            _ if bytes > MAX_SPEC_BYTES => return Err(SpecError::TextTooLong { bytes }),
            1..=MAX_STEPS => {}
            _ => return Err(SpecError::Steps { steps }),
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let later = |after: &&u16| usize::from(**after) >= step;
            match spec.after.iter().find(later) {
                Some(after) => {
                    return Err(SpecError::After {
                        step,
                        after: *after,
                    });
                }
                None if spec.count == 0 || spec.count > MAX_TASKS => {
                    return Err(SpecError::Tasks {
                        step,
                        count: spec.count,
                    });
                }
                None => {}
            }
        }
        Ok(())
    }
}
