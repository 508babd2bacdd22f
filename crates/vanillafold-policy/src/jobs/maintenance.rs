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

/// Progress of a maintenance wave.
#[derive(Debug, Clone, Copy)]
pub struct WaveProgress {
    /// VMs whose maintenance has not started.
    pub remaining: u64,
    /// Maximum number of VMs that may be unavailable at one time.
    pub max_unavailable: u32,
    /// Time for which the maintenance makes one VM unavailable, in milliseconds.
    pub vm_unavailable_ms: u64,
    /// Time within which the wave should complete, in milliseconds.
    pub duration_ms: u64,
    /// Time since the wave began, in milliseconds.
    pub elapsed_ms: u64,
}

/// Part of a wave's time in which its VMs should all have been started, in percent. The rest is for
/// VMs that wait for persistent tasks to move.
const PACED_PERCENT: u64 = 80;
/// Number of VMs that are always maintained at one time, if the wave's limit allows it.
const MIN_PACED_VMS: u64 = 8;

/// Returns how many VMs a wave should have unavailable at one time.
///
/// Suits a wave over half of a fleet that begins while a queue asks for five times its mean. The
/// wave's limit would allow to take a fifth of all VMs out of service at once, nearly all idle ones
/// among them, when the queue needs them. Evenly spread over its time the wave needs fewer. A wave
/// that falls behind uses more, up to its limit.
#[must_use]
pub fn paced_unavailable(wave: WaveProgress) -> u32 {
    let paced_ms = wave.duration_ms.saturating_mul(PACED_PERCENT) / 100;
    let left_ms = paced_ms.saturating_sub(wave.elapsed_ms);
    let needed = match left_ms {
        0 => return wave.max_unavailable,
        left_ms => wave
            .remaining
            .saturating_mul(wave.vm_unavailable_ms)
            .div_ceil(left_ms),
    };
    let paced = u32::try_from(needed.max(MIN_PACED_VMS)).unwrap_or(u32::MAX);
    paced.min(wave.max_unavailable)
}
