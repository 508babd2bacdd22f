//! Which waiting step gets room first.

/// A step that waits for room.
#[derive(Debug, Clone, Copy)]
pub struct QueuedStep {
    /// Its tasks run until the job is cancelled.
    pub persistent: bool,
    /// The queue's priority; 0 comes first.
    pub priority: u32,
    /// Other tasks of its job have run or are running.
    pub job_started: bool,
    /// Until the job counts as late, in milliseconds; negative once it is.
    pub until_late_ms: i64,
    /// What the job's longest chain of work still takes, in milliseconds.
    pub remaining_ms: u64,
    /// What the job's tasks still take, in core-milliseconds.
    pub remaining_core_ms: u64,
    /// Its organisation has more running than its share.
    pub over_share: bool,
}

/// A place in the order; smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: u8,
    priority: u32,
    key: i64,
}

/// Slack below which a job is not expected to end in time any more, in milliseconds: the time
/// that orders and looks take.
const MIN_FEASIBLE_SLACK_MS: i64 = -50;

/// Orders waiting steps.
///
/// Answers a queue that asks for several times its room for some seconds: persistent work first,
/// as it serves users all day; then jobs that have begun and can still end in time, so that room
/// already spent on them is not wasted; then the other jobs that can end in time, those of
/// organisations within their share before the others, and those with the least work first, as
/// more callers are served from the same room; late jobs last, oldest first.
#[must_use]
pub fn rank(step: &QueuedStep) -> Rank {
    let remaining = i64::try_from(step.remaining_ms).unwrap_or(i64::MAX);
    let slack = step.until_late_ms.saturating_sub(remaining);
    let work = i64::try_from(step.remaining_core_ms).unwrap_or(i64::MAX);
    let (class, key) = match step {
        _ if step.persistent => (0, 0),
        _ if slack < MIN_FEASIBLE_SLACK_MS => (4, step.until_late_ms),
        _ if step.job_started => (1, slack),
        _ if step.over_share => (3, work),
        _ => (2, work),
    };
    Rank {
        class,
        priority: step.priority,
        key,
    }
}
