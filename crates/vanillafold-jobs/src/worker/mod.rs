//! Reports from workers, and the state that the owner keeps of each worker.

mod report;
mod state;

pub use report::{EndKind, ListedEnd, ListedRun, OrderAnswer, PollReport, WorkerEntry};
pub(crate) use state::{AckCondition, Run, RunPhase, UnacknowledgedEnd, Worker};
