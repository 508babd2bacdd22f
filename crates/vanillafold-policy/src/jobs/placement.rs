//! On which worker a task runs.

/// A worker that has room for a task and may run it.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate {
    /// Free processor time before the task is placed, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// It stands on the rack of the step's data, or the step has none.
    pub near_data: bool,
    /// It stands on the rack where most of the step runs, or the step does not care.
    pub same_rack: bool,
    /// Persistent tasks of its own kind of work that run there.
    pub persistent_tasks: u32,
    /// Tasks that fill what others leave over.
    pub best_effort_tasks: u32,
    /// Tasks that serve with a target.
    pub latency_sensitive_tasks: u32,
    /// Recent failures that are the worker's own, decayed.
    pub fault_score: f64,
    /// A persistent task would soon have to leave it, for its upkeep.
    pub maintenance_due: bool,
    /// The task has failed there before.
    pub failed_here: bool,
}

/// What is placed.
#[derive(Debug, Clone, Copy)]
pub struct TaskProfile {
    /// The task runs until its job is cancelled.
    pub persistent: bool,
    /// It fills what others leave over.
    pub best_effort: bool,
    /// It serves with a target.
    pub latency_sensitive: bool,
}

/// Chooses among candidates; `None` if there are none.
///
/// Answers a fleet that is half idle while one pool is short: batch work is packed onto the VMs
/// that are fullest, so that others become empty and can change their pool; persistent work that
/// disturbs each other is spread, and kept off VMs that are due for upkeep, as a wave waits for each such
/// task to be at work again elsewhere; data on another rack makes a task several times slower, so the
/// right rack goes before packing; a worker that fails what it is given comes last.
#[must_use]
pub fn choose_worker(candidates: &[PlacementCandidate], task: TaskProfile) -> Option<usize> {
    let key = |candidate: &PlacementCandidate| {
        let disturbed = match task {
            _ if task.best_effort => {
                candidate.latency_sensitive_tasks + candidate.best_effort_tasks
            }
            _ if task.latency_sensitive => candidate.best_effort_tasks,
            _ => 0,
        };
        (
            candidate.failed_here,
            candidate.fault_score >= 1.0,
            candidate.maintenance_due,
            !candidate.near_data,
            !candidate.same_rack,
            disturbed,
            task.persistent && candidate.persistent_tasks == 0,
            candidate.free_cpu_millis,
        )
    };
    (0..candidates.len()).min_by_key(|at| key(&candidates[*at]))
}
