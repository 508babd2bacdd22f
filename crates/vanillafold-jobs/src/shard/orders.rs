//! What a shard wants done.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;

use crate::id::{RunNumber, TaskId};
use crate::spec::JobSpec;

/// An order to a worker.
#[derive(Debug, Clone)]
pub enum Order {
    /// Start a run.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Whose text the task gets.
        spec: Rc<JobSpec>,
        /// On the worker's clock.
        deadline_ms: u64,
        /// Where it resumes; empty for the start.
        checkpoint: String,
        /// The ticket of the placement advice; empty if there is none.
        ticket: String,
        /// How long the task has waited for room, in milliseconds.
        waited_ms: u64,
    },
    /// Stop a run, or keep it from starting.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
    },
    /// Let a run use a share of the processor.
    Pace {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The share.
        percent: u32,
    },
}

/// Whether and how to look at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollPlan {
    /// Look now.
    Poll {
        /// Renews what runs until then, on the worker's clock.
        deadline_ms: Option<u64>,
        /// Ends up to here may be deleted.
        acknowledged_end: u64,
        /// How long the worker may wait for an end.
        wait_ms: u64,
    },
    /// Ask again then.
    Later(MonotonicMillis),
    /// Nothing runs there: ask again when an order has gone there.
    Idle,
    /// The worker is not known any more.
    Gone,
}
