//! What is stored of jobs.

mod progress;
mod row;

pub use progress::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress};
pub use row::{Record, RecordError};
