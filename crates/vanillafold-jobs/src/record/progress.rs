//! Stored progress of jobs.

use bincode::{Decode, Encode};

use crate::id::RunNumber;

/// The final outcome of a job, or `Open` while it has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub enum JobOutcome {
    /// The job has not finished.
    #[default]
    Open,
    /// All tasks have completed.
    Completed,
    /// A task failed as often as its queue allows, or crashed the workers that started it.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobOutcome {
    /// Returns the name used in log lines.
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

/// Progress of a job: all the state that must survive a change of owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct JobProgress {
    /// Final outcome, or `Open`.
    pub outcome: JobOutcome,
    /// When the job finished, in milliseconds since 1970; 0 while it is open.
    pub finished_unix_ms: u64,
    /// Whether any task has ever started.
    pub started: bool,
    /// Numbers of the completed occurrences, sorted.
    pub completed: Vec<u32>,
    /// Progress of the other occurrences that have any, sorted by number.
    pub occurrences: Vec<OccurrenceProgress>,
}

/// Progress of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct OccurrenceProgress {
    /// Number of the occurrence.
    pub number: u32,
    /// Progress of each step, in the order of the description.
    pub steps: Vec<StepProgress>,
}

/// Progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct StepProgress {
    /// Bit set of the completed tasks.
    pub done_bits: Vec<u8>,
    /// Failed runs as pairs of task index and run number, sorted. The runs are stored individually
    /// because a worker lists an end to the next owner again until it has been acknowledged.
    pub failed_runs: Vec<(u16, u64)>,
}

impl StepProgress {
    /// Returns whether a task has completed.
    #[must_use]
    pub fn is_done(&self, index: u16) -> bool {
        let byte = self.done_bits.get(usize::from(index / 8));
        byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Marks a task as completed.
    pub fn set_done(&mut self, index: u16) {
        let at = usize::from(index / 8);
        if self.done_bits.len() <= at {
            self.done_bits.resize(at + 1, 0);
        }
        self.done_bits[at] |= 1 << (index % 8);
    }

    /// Removes what a step with this number of tasks can't have, and sorts the failed runs.
    pub(crate) fn restrict_to(&mut self, count: u32) {
        let bytes = count.div_ceil(8) as usize;
        self.done_bits.truncate(bytes);
        if let Some(last) = self.done_bits.get_mut(bytes.saturating_sub(1)) {
            *last &= u8::MAX >> (bytes as u32 * 8 - count);
        }
        self.failed_runs.retain(|row| u32::from(row.0) < count);
        self.failed_runs.sort_unstable();
        self.failed_runs.dedup();
    }

    /// Returns the number of completed tasks.
    #[must_use]
    pub fn done_count(&self) -> u32 {
        self.done_bits.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Returns the number of failed runs of a task.
    #[must_use]
    pub fn failed_runs(&self, index: u16) -> u32 {
        let count = self.failed_runs.iter().filter(|row| row.0 == index).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Adds a failed run. Returns `false` if it was recorded before.
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
