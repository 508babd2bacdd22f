//! The violations of invariants that a simulation can find.

use vanillafold_jobs::{JobId, TaskId};

/// An invariant of the scheduler that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Violation {
    /// Two runs of one task were running at the same time.
    #[error("{at_ms} ms: two runs of {task} at the same time")]
    ConcurrentRuns {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
    /// A task was started again after the owner had acknowledged its successful end.
    #[error("{at_ms} ms: {task} started again after its completion was acknowledged")]
    StartAfterCompletion {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
    /// A task was started before the steps that it depends on were done.
    #[error("{at_ms} ms: {task} started before the steps that it depends on were done")]
    StartBeforeDependencies {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
    /// A start took a worker beyond its CPU capacity.
    #[error(
        "{at_ms} ms: tasks on worker {worker} need {cpu_millis} of {capacity_millis} millicores"
    )]
    CapacityExceeded {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The worker's id.
        worker: String,
        /// The CPU that its running tasks need, in thousandths of a core.
        cpu_millis: u64,
        /// The worker's CPU capacity, in thousandths of a core.
        capacity_millis: u64,
    },
    /// A task was started after the owner had acknowledged as many failed runs as its queue allows.
    #[error("{at_ms} ms: {task} started although its failed runs reached the limit")]
    AttemptsExceeded {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
    /// A task that crashes its workers was started three times more after three had crashed.
    #[error("{at_ms} ms: {task} started three times more after three workers had crashed under it")]
    CrashesExceeded {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
    /// A job failed, though no task of it crashes workers or has failed as often as allowed, and no
    /// two workers have crashed by themselves under one of its tasks.
    #[error(
        "job {job} failed, though none of its tasks crashes workers or failed as often as allowed"
    )]
    GivenUpWithoutCause {
        /// The job's id.
        job: JobId,
    },
    /// A task was started more than 3 s after the cancellation of its job was acknowledged.
    #[error("{at_ms} ms: {task} started after its job was cancelled")]
    StartAfterCancellation {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
    /// A task was started in a zone that its owner knew to be evacuated, or by an owner that did not
    /// know yet which zones are.
    #[error("{at_ms} ms: {task} started in {zone}, which may be evacuated by what its owner knew")]
    StartInEvacuatedZone {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
        /// The zone's name.
        zone: String,
    },
    /// A task of a refused job was started.
    #[error("{at_ms} ms: {task} started although its job was refused")]
    StartAfterRefusal {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
    /// An accepted job had not ended as expected when the simulation ended.
    #[error("job {job} was accepted but is {state} at the end of the simulation")]
    UnfinishedJob {
        /// The job's id.
        job: JobId,
        /// The job's state when the simulation ended.
        state: String,
    },
    /// A task of an ended job was still running when the simulation ended.
    #[error("{task} still runs at the end of the simulation although its job has ended")]
    RunAfterJobEnd {
        /// The task concerned.
        task: TaskId,
    },
    /// A gang member gave up waiting for the other members in a simulation without faults.
    #[error("{at_ms} ms: {task} timed out waiting for the other members of its gang")]
    IncompleteGang {
        /// The simulated time of the violation.
        at_ms: u64,
        /// The task concerned.
        task: TaskId,
    },
}
