//! Reports from workers, and the state that the owner keeps of each worker.

mod loss;
mod report;
mod state;

pub(crate) use loss::LossEvidence;
pub use report::{EndKind, ListedEnd, ListedRun, OrderAnswer, PollReport, WorkerEntry};
pub(crate) use state::{AckCondition, Run, RunPhase, UnacknowledgedEnd, Worker};
