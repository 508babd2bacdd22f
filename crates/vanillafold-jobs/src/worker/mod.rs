//! What is known of workers.

mod report;
mod state;

pub use report::{EndKind, ListedEnd, ListedRun, OrderAnswer, PollReport, WorkerEntry};
pub(crate) use state::{AckCondition, Run, RunPhase, UnacknowledgedEnd, Worker};
