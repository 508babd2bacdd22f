//! Stored records of jobs, of runs that may crash workers, and of maintenance waves.

mod progress;
mod row;
mod suspect;

pub use progress::{JobOutcome, JobProgress, OccurrenceProgress, StepProgress};
pub use row::{Record, RecordError};
pub use suspect::{SuspectRun, SuspectState};
