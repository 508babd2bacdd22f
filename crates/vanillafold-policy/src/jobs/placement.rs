//! Placement: on which worker a task runs.

/// A worker that has capacity for the task and is allowed to run it.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate {
    /// Whether the worker is on the rack of the step's data, or the step has no data rack.
    pub near_data: bool,
    /// Whether the worker is on the rack where other tasks of the step run. True also if no other
    /// task runs or the step does not require one rack.
    pub same_rack: bool,
    /// Number of persistent tasks that run on the worker.
    pub persistent_tasks: u32,
    /// Number of best-effort tasks on the worker, which use only the CPU that other tasks leave
    /// idle.
    pub best_effort_tasks: u32,
    /// Number of tasks with a latency target on the worker.
    pub latency_sensitive_tasks: u32,
    /// Number of recent failures that are attributed to the worker itself, decayed exponentially.
    pub fault_score: f64,
    /// Number of fresh runs on the worker whose tasks may crash it, because workers were lost under
    /// them before.
    pub fresh_suspects: u32,
    /// Number of persistent and fresh tasks on the worker that would be lost with it, if the task may
    /// crash it; 0 for any other task.
    pub exposed_tasks: u32,
    /// Whether the VM is due for maintenance, so that a persistent task would soon have to leave
    /// it.
    pub maintenance_due: bool,
    /// Whether a run of the task's job has failed on the worker before, or a worker on the same VM was
    /// lost under the task.
    pub failed_here: bool,
}

/// The properties of a task that matter for its placement.
#[derive(Debug, Clone, Copy)]
pub struct TaskProfile {
    /// Whether the task runs until its job is cancelled.
    pub persistent: bool,
    /// Whether the task uses only the CPU that other tasks leave idle.
    pub best_effort: bool,
    /// Whether the task has a latency target.
    pub latency_sensitive: bool,
}

/// Returns the index of the best candidate, or `None` if there are no candidates. The candidates must
/// come in ascending order of free CPU.
///
/// The rules suit a fleet that is half idle while one pool is short of VMs:
///
/// - A worker where a run of the task's job has failed, or with a high fault score, comes last.
/// - Tasks that may crash their workers are kept apart from each other, from persistent tasks and
///   from new ones, so that the next loss harms few tasks and shows its cause.
/// - Persistent tasks are kept off VMs that are due for maintenance, because a maintenance wave
///   waits until each such task runs again elsewhere.
/// - The right rack goes before packing, because data on another rack makes a task several times
///   slower.
/// - Tasks that disturb each other, best-effort and latency-sensitive ones, are spread.
/// - Other work is packed onto the fullest VMs, so that others become empty and can move to another
///   pool.
///
/// While one pool gets thousands of tasks a second, most workers have nothing against them. The
/// search ends at the first such candidate, so that its cost doesn't grow with the pool.
#[must_use]
pub fn choose_worker(
    candidates: impl IntoIterator<Item = PlacementCandidate>,
    task: TaskProfile,
) -> Option<usize> {
    let drawbacks = |candidate: &PlacementCandidate| {
        let interfering_tasks = match task {
            _ if task.best_effort => {
                candidate.latency_sensitive_tasks + candidate.best_effort_tasks
            }
            _ if task.latency_sensitive => candidate.best_effort_tasks,
            _ => 0,
        };
        (
            candidate.failed_here,
            candidate.fault_score >= 1.0,
            candidate.fresh_suspects,
            candidate.exposed_tasks,
            candidate.maintenance_due,
            !candidate.near_data,
            !candidate.same_rack,
            interfering_tasks,
            task.persistent && candidate.persistent_tasks == 0,
        )
    };
    const NO_DRAWBACKS: (bool, bool, u32, u32, bool, bool, bool, u32, bool) =
        (false, false, 0, 0, false, false, false, 0, false);
    let mut best = None;
    for (index, candidate) in candidates.into_iter().enumerate() {
        match (drawbacks(&candidate), &best) {
            (NO_DRAWBACKS, _) => return Some(index),
            (found, Some((least, _))) if found >= *least => {}
            (found, _) => best = Some((found, index)),
        }
    }
    best.map(|(_, index)| index)
}
