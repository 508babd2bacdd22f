//! Incarnations of workers.

use crate::id::WorkerId;
use crate::worker::Worker;

/// An incarnation of a worker. A later one with the same id is another worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WorkerIncarnation {
    pub(super) id: WorkerId,
    /// When the incarnation started, in milliseconds since 1970.
    pub(super) started_unix_ms: Option<u64>,
}

impl WorkerIncarnation {
    /// Returns the incarnation of a worker that is known.
    pub(super) fn of(worker: &Worker) -> Self {
        Self {
            id: worker.entry.id.clone(),
            started_unix_ms: worker.started_unix_ms(),
        }
    }
}
