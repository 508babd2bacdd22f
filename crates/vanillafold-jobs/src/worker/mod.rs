//! What is known of workers.

mod book;
mod report;

pub(crate) use book::{EndNeeds, Run, RunPhase, UnnotedEnd, Worker};
pub use report::{EndKind, ListedEnd, ListedRun, OrderAnswer, PollReport, WorkerEntry};
