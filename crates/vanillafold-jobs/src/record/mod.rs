//! What is stored of jobs.

mod progress;
mod record;

pub use progress::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress};
pub use record::{Record, RecordError};
