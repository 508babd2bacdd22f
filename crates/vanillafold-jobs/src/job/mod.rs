//! Jobs in memory and the state that callers see.

mod live;
mod state;

pub(crate) use live::{Job, JobPlan, Step, Task, TaskStatus};
pub use state::JobState;
