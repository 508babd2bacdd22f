//! A job while it is being worked on.

mod live;
mod state;

pub(crate) use live::{Job, Step, Task, TaskStatus};
pub use state::JobState;
