//! Locality: whether a task waits for a place near its data or its group.

/// Factor, in thousandths, at which a remote run takes as long as a near one.
pub const NO_SLOWDOWN_PERMILLE: u64 = 1_000;

/// A waiting task, or group of tasks, for which there is room now, but not near its data or on one
/// rack.
#[derive(Debug, Clone, Copy)]
pub struct NearWaitInput {
    /// Expected time until there is room near, in milliseconds; `None` if none is expected.
    pub expected_wait_ms: Option<u64>,
    /// Expected duration of a near run, in milliseconds.
    pub near_run_ms: u64,
    /// Duration of a remote run as a multiple of that of a near one, in thousandths.
    pub remote_factor_permille: u64,
    /// How long the task has waited although it could have run remotely, in milliseconds.
    pub waited_ms: u64,
    /// Time until the job is late, in milliseconds; negative once it is late.
    pub until_late_ms: i64,
    /// Expected duration of the longest chain of steps that begins with a near run of the task, in
    /// milliseconds.
    pub remaining_ms: u64,
}

/// What to do with a waiting task for which there is room, but not near.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NearWait {
    /// The task waits for room near.
    Wait,
    /// The task starts where there is room.
    StartRemote,
}

/// Decides whether a task waits for room near its data or its group.
///
/// The load is a pool that is busy but not full: the rack with the data has no room at the moment,
/// and each of its workers ends some runs a second, while a run on another rack takes two or three
/// times as long and holds its CPU for that time. Waiting pays while all of the wait, past and
/// expected, is shorter than what a remote run takes longer. This bounds the wait also where the
/// expectation is wrong every time.
///
/// A job that would be late after the wait does not wait, whether or not it would be late after a
/// remote run too.
#[must_use]
pub fn near_wait(input: NearWaitInput) -> NearWait {
    let saved_permille = input
        .remote_factor_permille
        .saturating_sub(NO_SLOWDOWN_PERMILLE);
    let saved_ms = input.near_run_ms.saturating_mul(saved_permille) / 1_000;
    let is_late_after = |wait_ms: u64| {
        let done_ms = wait_ms.saturating_add(input.remaining_ms);
        i64::try_from(done_ms).unwrap_or(i64::MAX) > input.until_late_ms
    };
    match input.expected_wait_ms {
        None => NearWait::StartRemote,
        Some(wait_ms) if input.waited_ms.saturating_add(wait_ms) >= saved_ms => {
            NearWait::StartRemote
        }
        Some(wait_ms) if is_late_after(wait_ms) => NearWait::StartRemote,
        Some(_) => NearWait::Wait,
    }
}

/// Returns the expected time until a run ends that has lasted for `elapsed_ms`, in milliseconds.
///
/// A run that is overdue is expected to take as long again as it is overdue: the longer it has
/// exceeded its estimate, the less that estimate says.
#[must_use]
pub fn expected_remaining_ms(expected_ms: u64, elapsed_ms: u64) -> u64 {
    // Estimates are not exact to this part of the duration.
    const MIN_PART: u64 = 10;
    expected_ms
        .abs_diff(elapsed_ms)
        .max(expected_ms / MIN_PART)
        .max(1)
}
