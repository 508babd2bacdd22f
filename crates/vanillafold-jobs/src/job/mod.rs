//! A job while it is being worked on.

mod job;
mod state;

pub(crate) use job::{Job, Task, TaskStatus};
pub use state::JobState;
