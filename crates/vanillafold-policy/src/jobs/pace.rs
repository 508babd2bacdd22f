//! Pace of best-effort tasks: the CPU share that they may use beside latency-sensitive tasks.

/// The CPU share grows only while the worst tail latency is below this percentage of its target.
const GROW_BELOW_PERCENT: u64 = 70;
/// The CPU share is halved when the worst tail latency reaches this percentage of its target.
const SHRINK_FROM_PERCENT: u64 = 90;
/// Growth of the CPU share at each adjustment, in percentage points.
const GROW_STEP_PERCENT: u32 = 10;
/// Lower bound for halving the CPU share, in percent. Only a missed latency target sets the share
/// to 0.
const MIN_PERCENT: u32 = 10;

/// The current pace of a best-effort task and the latency of the tasks beside it.
#[derive(Debug, Clone, Copy)]
pub struct PaceInput {
    /// The current CPU share of the best-effort task, in percent.
    pub percent: u32,
    /// Tail latency of the worst latency-sensitive task on the same worker, in percent of its
    /// latency target.
    pub worst_tail_percent: u64,
}

/// Returns the next CPU share of a best-effort task, in percent.
///
/// Interference between tasks changes within seconds and its size is not known in advance. The
/// share is therefore halved as soon as a tail latency comes near its target, set to 0 when the
/// target is missed, and raised again step by step.
#[must_use]
pub fn next_pace(input: PaceInput) -> u32 {
    match input.worst_tail_percent {
        100.. => 0,
        SHRINK_FROM_PERCENT.. => (input.percent / 2).max(MIN_PERCENT),
        GROW_BELOW_PERCENT.. => input.percent,
        _ => input.percent.saturating_add(GROW_STEP_PERCENT).min(100),
    }
}
