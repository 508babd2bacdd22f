//! Stored runs of tasks under which workers were lost.

use bincode::{Decode, Encode};

use crate::id::TaskId;

/// What became of the worker of a [`SuspectRun`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum SuspectState {
    /// The run has not ended as far as known. It follows an earlier loss and is stored when it is
    /// started, so that the next owner counts it if the worker is lost together with this owner.
    InProgress,
    /// The worker's leases have expired without an answer: it has crashed or is cut off.
    WorkerSilent,
    /// The worker has crashed.
    WorkerCrashed,
}

/// A run of a task under which a worker was lost, now or in an earlier run.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SuspectRun {
    /// Occurrence of the task.
    pub occurrence: u32,
    /// Step of the task.
    pub step: u16,
    /// Index of the task; 0 for a gang, whose members count as one.
    pub index: u16,
    /// Number of the run.
    pub run: u64,
    /// When the run was recorded, in milliseconds since 1970.
    pub recorded_unix_ms: u64,
    /// Id of the worker.
    pub worker: String,
    /// When the worker started, in milliseconds since 1970.
    pub worker_started_unix_ms: Option<u64>,
    /// Name of the worker's VM; empty if not known.
    pub vm: String,
    /// Whether no other run can have caused the loss of the worker.
    pub alone: bool,
    /// Whether the worker stopped answering right after the start of the run.
    pub prompt: bool,
    /// What became of the worker.
    pub state: SuspectState,
}

impl SuspectRun {
    /// Returns whether the run is of this task, or of a gang with this task as its first member.
    #[must_use]
    pub fn is_of(&self, task: TaskId) -> bool {
        (self.occurrence, self.step, self.index) == (task.occurrence, task.step, task.index)
    }

    /// Returns the name of the worker's VM, or the worker's id if the VM is not known.
    #[must_use]
    pub fn place(&self) -> &str {
        match self.vm.as_str() {
            "" => &self.worker,
            vm => vm,
        }
    }

    /// Returns whether the run's worker was lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        !matches!(self.state, SuspectState::InProgress)
    }
}
