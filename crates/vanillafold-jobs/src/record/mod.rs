//! Stored records of jobs, of runs that may crash workers, of queues and of maintenance waves.

mod attempt_limit;
mod progress;
mod row;
mod suspect;

pub use attempt_limit::AttemptLimit;
pub use progress::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress};
pub use row::{Record, RecordError};
pub use suspect::{SuspectRun, SuspectState};
