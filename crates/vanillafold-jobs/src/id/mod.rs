//! Ids of jobs, tasks and workers, and the numbers of runs and ownerships.

mod job;
mod number;
mod task;
mod worker;

pub use job::{IdError, JobId};
pub use number::{Epoch, RunNumber};
pub use task::TaskId;
pub use worker::WorkerId;
