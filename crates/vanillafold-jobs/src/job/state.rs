//! The state of a job as shown to callers.

use std::fmt;

/// The state of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}
