//! Task ids.

use std::fmt;
use std::str::FromStr;

use super::{IdError, JobId};

/// The id of a task, written as `job.occurrence.step.index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of a repeated job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u16,
    /// Position of the task within the step, from 0.
    pub index: u16,
}

impl TaskId {
    /// Returns the job, occurrence and step that the task belongs to.
    pub(crate) const fn step_id(&self) -> (JobId, u32, u16) {
        (self.job, self.occurrence, self.step)
    }

    /// Returns whether `other` is a different task of the same step and occurrence.
    pub(crate) fn is_sibling_of(&self, other: Self) -> bool {
        self.step_id() == other.step_id() && self.index != other.index
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid_id = || IdError {
            expected: "a task id",
            found: text.chars().take(64).collect(),
        };
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or_else(invalid_id);
        let id = Self {
            job: part()?.parse()?,
            occurrence: part()?.parse().map_err(|_| invalid_id())?,
            step: part()?.parse().map_err(|_| invalid_id())?,
            index: part()?.parse().map_err(|_| invalid_id())?,
        };
        match parts.next() {
            None => Ok(id),
            Some(_) => Err(invalid_id()),
        }
    }
}
