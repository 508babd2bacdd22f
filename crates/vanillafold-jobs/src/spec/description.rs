//! Descriptions of jobs and their steps.

use bincode::{Decode, Encode};

use super::Resources;

/// Maximum length of a job's text in bytes, as stated in the interface for callers.
const MAX_SPEC_BYTES: usize = 4_000;
/// Maximum number of steps in a job. Bounds the work that one request causes.
const MAX_STEPS: usize = 64;
/// Maximum number of tasks in a step. Task indexes have 16 bits, and a step must fit into a pool.
const MAX_TASKS: u32 = 10_000;
/// Maximum size of a submitted description in the store, in bytes. The store takes no record above a
/// size of its own, and one that it does not take would hold up all that are written after it.
const MAX_STORED_BYTES: usize = 128 * 1024;
/// Upper bound for what a number takes in the store, in bytes.
const NUMBER_BYTES: usize = 9;
/// Number of the fields of a step whose size in the store is bounded.
const STEP_NUMBERS: usize = 20;

/// A job as described by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobSpec {
    /// Name of the queue.
    pub queue: String,
    /// Pool that ran the queue's tasks when the job was submitted.
    pub pool: String,
    /// Organisation that submitted the job; empty on a queue that is open to all.
    pub organisation: String,
    /// Opaque text that each task receives.
    pub text: String,
    /// Steps; their positions are the step numbers used in dependencies.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeated job; `None` if the job runs once, at once.
    pub repeat: Option<Repeat>,
    /// When the job was submitted, in milliseconds since 1970.
    pub submitted_unix_ms: u64,
}

/// Schedule of the occurrences of a repeated job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub start_unix_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// A step of a job: a number of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Estimated duration of a task, in milliseconds; 0 if the caller gave none.
    pub estimate_ms: u64,
    /// Numbers of the earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints from which a later run can resume.
    pub checkpointing: bool,
    /// Whether all tasks must run at the same time (gang scheduling).
    pub gang: bool,
    /// Whether the tasks are fast only if all run on one rack.
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks; empty if none is required.
    pub required_label: String,
    /// Rack that holds the tasks' data; empty if none.
    pub data_rack: String,
    /// Maximum number of tasks of one occurrence on one worker; 0 means no limit.
    pub anti_affinity: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub persistent: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Upper bound for the tail latency of the tasks, in milliseconds; 0 if they serve no requests.
    pub latency_target_ms: u64,
    /// Whether the tasks use only the CPU that other tasks leave idle. No CPU is reserved for them.
    pub best_effort: bool,
    /// Maximum number of tasks that the scheduler itself may make unavailable at one time; `None`
    /// if the caller set no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns what a task reserves of a worker's capacity.
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

/// Why a job description is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SpecError {
    /// The text is too long.
    #[error("expected a text of at most {MAX_SPEC_BYTES} bytes, found {bytes}")]
    TextTooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// There are no steps, or too many.
    #[error("expected 1 to {MAX_STEPS} steps, found {steps}")]
    Steps {
        /// Number of steps found.
        steps: usize,
    },
    /// A step has no tasks or too many.
    #[error("step {step}: expected 1 to {MAX_TASKS} tasks, found {count}")]
    Tasks {
        /// Number of the step.
        step: usize,
        /// Number of tasks found.
        count: u32,
    },
    /// The description is too large.
    #[error("expected a description of at most {MAX_STORED_BYTES} bytes, found {bytes}")]
    TooLarge {
        /// Upper bound for its size in the store, in bytes.
        bytes: usize,
    },
    /// A step depends on itself or on a later step.
    #[error("step {step}: expected steps before it in its dependencies, found {after}")]
    After {
        /// Number of the step.
        step: usize,
        /// Number of the step that it depends on.
        after: u16,
    },
}

impl JobSpec {
    /// Checks a description that a caller submits: the limits of [`check`](Self::check), and that it
    /// can be stored.
    ///
    /// # Errors
    ///
    /// Returns the first [`SpecError`] that is found.
    pub fn check_submission(&self) -> Result<(), SpecError> {
        self.check()?;
        match self.stored_bytes() {
            ..=MAX_STORED_BYTES => Ok(()),
            bytes => Err(SpecError::TooLarge { bytes }),
        }
    }

    /// Returns an upper bound for the size of the description in the store, in bytes.
    fn stored_bytes(&self) -> usize {
        let of_step = |step: &StepSpec| {
            let texts = step.required_label.len() + step.data_rack.len() + step.image.len();
            texts + NUMBER_BYTES * (step.after.len() + STEP_NUMBERS)
        };
        let names = self.queue.len() + self.pool.len() + self.organisation.len();
        let steps: usize = self.steps.iter().map(of_step).sum();
        names + self.text.len() + steps + NUMBER_BYTES * STEP_NUMBERS
    }

    /// Returns an empty description, which replaces that of a finished job in memory.
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

    /// Checks the limits and dependencies that the types don't enforce.
    ///
    /// # Errors
    ///
    /// Returns the first [`SpecError`] that is found.
    pub fn check(&self) -> Result<(), SpecError> {
        let bytes = self.text.len();
        let steps = self.steps.len();
        match steps {
            _ if bytes > MAX_SPEC_BYTES => return Err(SpecError::TextTooLong { bytes }),
            1..=MAX_STEPS => {}
            _ => return Err(SpecError::Steps { steps }),
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let is_not_earlier = |after: &&u16| usize::from(**after) >= step;
            match spec.after.iter().find(is_not_earlier) {
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
