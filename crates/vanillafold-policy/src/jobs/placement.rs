//! On which worker a task runs.

/// A worker that has room for a task and may run it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Free processor time before the task is placed, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// It stands on the rack of the step's data, or the step has none.
    pub near_data: bool,
    /// It stands on the rack where most of the step runs, or the step does not care.
    pub same_rack: bool,
    /// Persistent tasks of its own kind of work that run there.
    pub persistent: u32,
    /// Tasks that fill what others leave over.
    pub filling: u32,
    /// Tasks that serve with a target.
    pub serving: u32,
    /// Recent failures that are the worker's own, decayed.
    pub faults: f64,
    /// A persistent task would soon have to leave it, for its upkeep.
    pub leaves: bool,
    /// The task has failed there before.
    pub failed_here: bool,
}

/// What is placed.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// The task runs until its job is cancelled.
    pub persistent: bool,
    /// It fills what others leave over.
    pub fills: bool,
    /// It serves with a target.
    pub serves: bool,
}

/// Chooses among candidates; `None` if there are none.
///
/// Answers a fleet that is half idle while one pool is short: batch work is packed onto the VMs
/// that are fullest, so that others become empty and can change their pool; persistent work that
/// disturbs each other is spread, and kept off VMs that are due for upkeep, as a wave waits for each such
/// task to be at work again elsewhere; data on another rack makes a task several times slower, so the
/// right rack goes before packing; a worker that fails what it is given comes last.
#[must_use]
pub fn place(candidates: &[Candidate], task: Placement) -> Option<usize> {
    let key = |candidate: &Candidate| {
        let disturbed = match task {
            _ if task.fills => candidate.serving + candidate.filling,
            _ if task.serves => candidate.filling,
            _ => 0,
        };
        (
            candidate.failed_here,
            candidate.faults >= 1.0,
            candidate.leaves,
            !candidate.near_data,
            !candidate.same_rack,
            disturbed,
            task.persistent && candidate.persistent == 0,
            candidate.free_cpu_millis,
        )
    };
    (0..candidates.len()).min_by_key(|at| key(&candidates[*at]))
}
