//! Maintenance waves: which VM gets its maintenance next.

/// A VM of a wave whose maintenance has not started.
#[derive(Debug, Clone, Copy)]
pub struct MaintenanceCandidate {
    /// Whether nothing runs on the VM, because it is idle or in the spare pool.
    pub empty: bool,
    /// Whether the VM is already being drained: it gets no new work, so that it becomes empty.
    pub draining: bool,
    /// CPU reserved by the runs on the VM, in thousandths of a core: a measure of the work that
    /// would be lost or has to be waited for.
    pub used_cpu_millis: u64,
    /// Number of persistent tasks that would have to move.
    pub persistent_tasks: u32,
    /// Whether the VM may not be drained now, for example because one of its persistent tasks may
    /// not be unavailable.
    pub blocked: bool,
}

/// What to do next for a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceChoice {
    /// Start the maintenance of the candidate at this index.
    Start(usize),
    /// Drain the candidate at this index: it gets no new work, so that it becomes empty.
    Drain(usize),
    /// No candidate can be started or drained now.
    Wait,
}

/// Chooses what to do when a wave may make one more VM unavailable. `is_evictable` tells whether
/// only persistent tasks run on the candidate at an index, another worker has capacity for each of
/// them, and their steps allow all of them to be unavailable now.
///
/// The rules suit a wave over about half of a busy fleet of which only few VMs may be unavailable
/// at a time:
///
/// - Empty VMs go first, because their maintenance interrupts nothing.
/// - VMs that run only evictable persistent tasks come next. The maintenance ends these tasks at
///   once, which is faster than stopping them before, and steps that allow few unavailable tasks
///   at a time determine the duration of the whole wave.
/// - Of the other VMs, one that is already draining, or else the one with the fewest persistent
///   tasks and then the least reserved CPU, is drained early, so that the wave always has as many
///   VMs in maintenance as it may.
///
/// Whether a VM is evictable takes a search for other workers, so it is asked only while no VM is
/// empty, and no further than the first that is.
#[must_use]
pub fn choose_maintenance(
    candidates: &[MaintenanceCandidate],
    mut is_evictable: impl FnMut(usize) -> bool,
) -> MaintenanceChoice {
    let empty = candidates.iter().position(|candidate| candidate.empty);
    let ready = empty.or_else(|| (0..candidates.len()).find(|index| is_evictable(*index)));
    let least = (0..candidates.len())
        .filter(|index| !candidates[*index].blocked)
        .min_by_key(|index| {
            let candidate = &candidates[*index];
            (
                !candidate.draining,
                candidate.persistent_tasks,
                candidate.used_cpu_millis,
            )
        });
    match (ready, least) {
        (Some(index), _) => MaintenanceChoice::Start(index),
        (None, Some(index)) => MaintenanceChoice::Drain(index),
        (None, None) => MaintenanceChoice::Wait,
    }
}
