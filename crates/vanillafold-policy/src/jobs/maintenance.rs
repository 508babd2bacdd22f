//! Which VM of a wave gets its upkeep next.

/// A VM of a wave whose upkeep has not begun.
#[derive(Debug, Clone, Copy)]
pub struct MaintenanceCandidate {
    /// It is in the spare pool or idle.
    pub empty: bool,
    /// Only persistent tasks run there, each has room elsewhere, and their steps allow that all of
    /// them are away now.
    pub evictable: bool,
    /// It gets no new work already.
    pub draining: bool,
    /// Work that would be lost or has to be waited for, in core-milliseconds.
    pub busy_core_ms: u64,
    /// Persistent tasks that would have to move.
    pub persistent_tasks: u32,
    /// One of these may not be away now.
    pub blocked: bool,
}

/// What to do with a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceChoice {
    /// Begin the upkeep of this one, as an index.
    Start(usize),
    /// Give this one no new work, as an index, so that it becomes empty.
    Drain(usize),
    /// Nothing can be done now.
    Wait,
}

/// Chooses for one free place of a wave.
///
/// Answers a wave over about half of a busy fleet with few places at a time: empty VMs go first,
/// as their upkeep costs nobody anything; then those where only persistent tasks run that may be away:
/// the upkeep ends them at once, which is sooner over than a stop before it, and the steps that may
/// miss few tasks at a time bound the whole wave. For the others the one with the least work gives up
/// new work early, so that a place is never left unused.
#[must_use]
pub fn choose_maintenance(candidates: &[MaintenanceCandidate]) -> MaintenanceChoice {
    let empty = candidates.iter().position(|candidate| candidate.empty);
    let ready = empty.or_else(|| candidates.iter().position(|candidate| candidate.evictable));
    let least = (0..candidates.len())
        .filter(|at| !candidates[*at].blocked)
        .min_by_key(|at| {
            let candidate = &candidates[*at];
            (
                !candidate.draining,
                candidate.persistent_tasks,
                candidate.busy_core_ms,
            )
        });
    match (ready, least) {
        (Some(at), _) => MaintenanceChoice::Start(at),
        (None, Some(at)) => MaintenanceChoice::Drain(at),
        (None, None) => MaintenanceChoice::Wait,
    }
}
