//! Evacuation of an availability zone: which runs are moved, and how fast work returns afterwards.

/// A checkpointing run in a zone that is being evacuated.
#[derive(Debug, Clone, Copy)]
pub struct CheckpointedRun {
    /// Expected time until the run ends by itself, in milliseconds.
    pub remaining_ms: u64,
    /// Time that stopping the run and resuming it from its checkpoint takes, in milliseconds.
    pub interruption_ms: u64,
    /// Time until the run's job is late if the run goes on, in milliseconds; negative once it is
    /// late.
    pub slack_ms: i64,
}

/// A run is moved only if it would stay in the zone for this many times its interruption.
const MIN_STAY_FACTOR: u64 = 4;

/// Returns whether a checkpointing run in an evacuated zone is stopped and resumed elsewhere.
///
/// Suits a zone whose long tasks would keep it in use for much longer than all others. An
/// interruption delays the job and costs CPU on both sides, so a run that ends soon stays, and so does
/// one whose job would become late by the interruption.
#[must_use]
pub fn is_resumed_elsewhere(run: CheckpointedRun) -> bool {
    let interruption = i64::try_from(run.interruption_ms).unwrap_or(i64::MAX);
    let makes_late = run.slack_ms >= 0 && run.slack_ms < interruption;
    let min_stay_ms = run.interruption_ms.saturating_mul(MIN_STAY_FACTOR);
    !makes_late && run.remaining_ms > min_stay_ms
}

/// Time over which the workers of a zone get back to their full load after an evacuation, in
/// milliseconds.
const RETURN_MS: u64 = 2_000;
/// Part of a worker's CPU that may be used right after an evacuation, or while the worker is cold,
/// in thousandths.
const COLD_PERMILLE: u64 = 250;

/// Returns the part of a worker's CPU that may be used `returned_ms` after the evacuation of its zone
/// ended, in thousandths.
///
/// Suits the end of an evacuation while a queue asks for more than the rest of the fleet has: all that
/// waits would start at once on workers that are cold, have lost their caches, and have not shown
/// yet that they work. The part grows evenly, and stays at its lowest while the worker says that it is
/// cold.
#[must_use]
pub const fn usable_permille(returned_ms: u64, is_cold: bool) -> u64 {
    match returned_ms {
        _ if is_cold => COLD_PERMILLE,
        RETURN_MS.. => 1_000,
        _ => COLD_PERMILLE + (1_000 - COLD_PERMILLE) * returned_ms / RETURN_MS,
    }
}
