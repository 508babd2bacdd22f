//! How much a filling task may use beside a serving one.

/// Above this share of its target a tail leaves no room for a filling task to grow, in percent.
const GROW_BELOW_PERCENT: u64 = 70;
/// From this share of its target on, filling tasks beside it shrink, in percent.
const SHRINK_FROM_PERCENT: u64 = 90;
/// By how much a filling task grows at a time, in percent of a core's share.
const GROW_STEP_PERCENT: u32 = 10;
/// What a filling task never shrinks below unless the target is missed, in percent.
const LOWEST_PERCENT: u32 = 10;

/// What the next share is decided from.
#[derive(Debug, Clone, Copy)]
pub struct PaceInput {
    /// The share that the filling task has, in percent.
    pub percent: u32,
    /// The worst serving task beside it: its tail as a share of its target, in percent.
    pub worst_tail_percent: u64,
}

/// The share that a filling task gets next, in percent.
///
/// Answers disturbance that changes within seconds and by amounts nobody states: shrink by half
/// as soon as a tail comes near its target, stop where it is missed, grow back step by step.
#[must_use]
pub fn next_pace(input: PaceInput) -> u32 {
    match input.worst_tail_percent {
        100.. => 0,
        SHRINK_FROM_PERCENT.. => (input.percent / 2).max(LOWEST_PERCENT),
        GROW_BELOW_PERCENT.. => input.percent,
        _ => (input.percent + GROW_STEP_PERCENT).min(100),
    }
}
