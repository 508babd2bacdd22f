//! Orders to workers and polls of workers.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;

use crate::id::{RunNumber, TaskId};
use crate::spec::JobSpec;

/// An order to a worker.
#[derive(Debug, Clone)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Task to run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Description of the job, which holds the task's text.
        spec: Rc<JobSpec>,
        /// End of the run's lease on the worker's clock, in milliseconds. The worker rejects an
        /// order that arrives later.
        deadline_ms: u64,
        /// Checkpoint from which the run resumes; empty if it starts from the beginning.
        checkpoint: String,
        /// Ticket of the placement advice; empty if the queue needs none.
        ticket: String,
        /// How long the task waited for a worker, in milliseconds.
        waited_ms: u64,
        /// Incarnation of the worker on whose clock the deadline is: when it started, in
        /// milliseconds since 1970.
        worker_started_unix_ms: Option<u64>,
    },
    /// Stops a run, or prevents it from starting.
    Stop {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
    },
    /// Limits a run to a share of its CPU.
    Pace {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// CPU share that the run may use, in percent.
        percent: u32,
    },
}

impl Order {
    /// Returns whether the order may be sent to any incarnation of its worker, as it grants no lease.
    #[must_use]
    pub const fn is_for_any(&self) -> bool {
        matches!(self, Self::Stop { .. } | Self::Pace { .. })
    }

    /// Returns whether the order may be sent to the incarnation of its worker that started at
    /// `started_unix_ms`.
    #[must_use]
    pub fn is_for(&self, started_unix_ms: Option<u64>) -> bool {
        match self {
            Self::Start {
                worker_started_unix_ms,
                ..
            } => *worker_started_unix_ms == started_unix_ms,
            Self::Stop { .. } | Self::Pace { .. } => true,
        }
    }
}

/// Whether, and with which parameters, to poll a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollPlan {
    /// Poll the worker now.
    Poll {
        /// New end of the leases of the worker's runs, on the worker's clock; `None` renews
        /// nothing.
        deadline_ms: Option<u64>,
        /// Highest sequence number of an end that the worker may forget.
        acknowledged_end: u64,
        /// How long the worker may wait for an end before it answers, in milliseconds.
        wait_ms: u64,
    },
    /// Plan again at that time.
    Later(MonotonicMillis),
    /// The worker has nothing to poll for; plan again after the next order to it.
    Idle,
    /// The worker is no longer tracked; don't poll it again.
    Gone,
}
