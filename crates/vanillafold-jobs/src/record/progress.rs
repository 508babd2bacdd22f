//! How far a job is.

use bincode::{Decode, Encode};

use crate::id::RunNumber;

/// How a job stands for good, or that it does not yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub enum JobOutcome {
    /// Work is left.
    #[default]
    Open,
    /// All tasks have ended done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobOutcome {
    /// Its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// How far a job is: all that must outlive its owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct JobProgress {
    /// Whether it is over.
    pub outcome: JobOutcome,
    /// When it was over, milliseconds since 1970; 0 before.
    pub ended_unix_ms: u64,
    /// Whether a task has ever started.
    pub started: bool,
    /// Occurrences that are done, sorted.
    pub completed: Vec<u32>,
    /// The others that have progress, sorted by number.
    pub occurrences: Vec<OccurrenceProgress>,
}

/// How far an occurrence is.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct OccurrenceProgress {
    /// Its number.
    pub number: u32,
    /// Its steps, in order.
    pub steps: Vec<StepProgress>,
}

/// How far a step is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StepProgress {
    /// Tasks that have ended done, one bit each.
    pub done_bits: Vec<u8>,
    /// Failed runs as task and run, sorted. The runs are named because a worker lists an end
    /// again to the next owner until it has been told to forget it.
    pub failed_runs: Vec<(u16, u64)>,
}

impl StepProgress {
    /// Whether a task has ended done.
    #[must_use]
    pub fn is_done(&self, index: u16) -> bool {
        let byte = self.done_bits.get(usize::from(index / 8));
        byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Notes that a task has ended done.
    pub fn set_done(&mut self, index: u16) {
        let at = usize::from(index / 8);
        if self.done_bits.len() <= at {
            self.done_bits.resize(at + 1, 0);
        }
        self.done_bits[at] |= 1 << (index % 8);
    }

    /// How many tasks have ended done.
    #[must_use]
    pub fn done_count(&self) -> u32 {
        self.done_bits.iter().map(|byte| byte.count_ones()).sum()
    }

    /// How many runs of a task have failed.
    #[must_use]
    pub fn failed_runs(&self, index: u16) -> u32 {
        let count = self.failed_runs.iter().filter(|row| row.0 == index).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Notes a failed run, unless it is known; true if it was not.
    pub fn add_failed_run(&mut self, index: u16, run: RunNumber) -> bool {
        match self.failed_runs.binary_search(&(index, run.get())) {
            Ok(_) => false,
            Err(at) => {
                self.failed_runs.insert(at, (index, run.get()));
                true
            }
        }
    }
}
