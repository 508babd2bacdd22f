//! Stored records of jobs and maintenance waves.

mod progress;
mod row;

pub use progress::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress};
pub use row::{Record, RecordError};
