//! Queue order: which waiting step of a job is placed first.

/// A step of a job whose tasks wait to be placed.
#[derive(Debug, Clone, Copy)]
pub struct QueuedStep {
    /// Whether its tasks run until the job is cancelled.
    pub persistent: bool,
    /// Priority of the job's queue; 0 comes first.
    pub priority: u32,
    /// Whether other tasks of its job have run or are running.
    pub job_started: bool,
    /// Time until the job is late, in milliseconds; negative once it is late.
    pub until_late_ms: i64,
    /// Remaining duration of the job's longest chain of dependent steps, in milliseconds.
    pub remaining_ms: u64,
    /// Remaining work of all of the job's tasks, in core-milliseconds.
    pub remaining_core_ms: u64,
    /// Whether its organisation runs more than its share.
    pub over_share: bool,
}

/// The sort key of a waiting step; smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: u8,
    priority: u32,
    key: i64,
}

/// A job with less slack than this, in milliseconds, is not expected to finish in time. The margin
/// is the time that orders to workers and polls take.
const MIN_FEASIBLE_SLACK_MS: i64 = -50;

/// Returns the rank of a waiting step in the queue.
///
/// The order suits a queue that for some seconds asks for several times the capacity of its pool:
///
/// 1. Persistent steps, because they serve users all day.
/// 2. Jobs that have started and can still finish in time, so that the capacity already spent on
///    them is not wasted; the job with the least slack comes first.
/// 3. Other jobs that can finish in time, of organisations within their share; the job with the
///    least work comes first, because more callers are then served from the same capacity.
/// 4. Other jobs that can finish in time, of organisations over their share; the job with the least
///    work comes first.
/// 5. Jobs that can no longer finish in time, the longest overdue first.
///
/// Within each of these classes the queue's priority comes first.
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
