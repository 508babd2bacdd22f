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
    /// Rank of the worker's zone for the task, 0 for the preferred one; 0 for all workers if the zone
    /// does not matter.
    pub zone_rank: u32,
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
/// come in ascending order of free CPU; unless the task is persistent, in ascending order of the
/// rank of their zones, and of free CPU within a zone. Those near the data, and then those on the
/// rack of the step, may come before all others.
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
/// - The job's zone comes next, also before packing, so that a partition of one zone delays few
///   jobs. A worker elsewhere without faults is better than a faulty one in the zone, where the job
///   might use up its attempts.
/// - Tasks that disturb each other, best-effort and latency-sensitive ones, are spread.
/// - Other work is packed onto the fullest VMs, so that others become empty and can move to another
///   pool.
/// - Persistent tasks that are spread over the zones rank them last, so that this takes no further
///   VMs.
///
/// While one pool gets thousands of tasks a second, most workers have nothing against them. The
/// search ends at the first such candidate, so that its cost doesn't grow with the pool.
#[must_use]
pub fn choose_worker(
    candidates: impl IntoIterator<Item = PlacementCandidate>,
    task: TaskProfile,
) -> Option<usize> {
    let mut best = None;
    for (index, candidate) in candidates.into_iter().enumerate() {
        let found = Drawbacks::of(&candidate, task);
        // The zones of all further candidates on these racks rank the same or lower.
        let is_best_from_here = found
            == Drawbacks {
                zone_rank: found.zone_rank,
                ..Drawbacks::default()
            };
        match &best {
            Some((least, _)) if found >= *least => {}
            _ => best = Some((found, index)),
        }
        if is_best_from_here {
            break;
        }
    }
    best.map(|(_, index)| index)
}

/// What is against a candidate, in descending order of importance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Drawbacks {
    failed_here: bool,
    is_faulty: bool,
    fresh_suspects: u32,
    exposed_tasks: u32,
    maintenance_due: bool,
    far_from_data: bool,
    other_rack: bool,
    zone_rank: u32,
    interfering_tasks: u32,
    has_no_persistent_tasks: bool,
    spread_rank: u32,
}

impl Drawbacks {
    fn of(candidate: &PlacementCandidate, task: TaskProfile) -> Self {
        let (zone_rank, spread_rank) = match task.persistent {
            true => (0, candidate.zone_rank),
            false => (candidate.zone_rank, 0),
        };
        Self {
            failed_here: candidate.failed_here,
            is_faulty: candidate.fault_score >= 1.0,
            fresh_suspects: candidate.fresh_suspects,
            exposed_tasks: candidate.exposed_tasks,
            maintenance_due: candidate.maintenance_due,
            far_from_data: !candidate.near_data,
            other_rack: !candidate.same_rack,
            zone_rank,
            interfering_tasks: match task {
                _ if task.best_effort => {
                    candidate.latency_sensitive_tasks + candidate.best_effort_tasks
                }
                _ if task.latency_sensitive => candidate.best_effort_tasks,
                _ => 0,
            },
            has_no_persistent_tasks: task.persistent && candidate.persistent_tasks == 0,
            spread_rank,
        }
    }
}
