//! Decision logic of vanillafold: routing to targets, retries, and scheduling of jobs and VMs.
//!
//! | To choose a target | [`TargetTable`], [`PickOptions`], [`PickedTarget`], [`PickRefusal`] |
//! |---|---|
//! | To report the outcome of a send | [`SendOutcome`], [`FailureKind`], [`NotRunReason`] |
//! | To split a VM's connections between daemons | [`connections_allowed`], [`connection_share`], [`is_assigned`] |
//! | To decide on a retry | [`RequestAttempts`], [`AttemptFailure`], [`RetryDecision`], [`RetryBudget`] |
//! | To admit, order and place jobs, and to plan VM moves and maintenance | [`jobs`] |
//! | To date the input of an event loop | [`ArrivalClock`], [`ConnectionClock`] |
//! | Baselines for comparison | [`baseline`] |
//!
//! The crate does no I/O and reads no clock. Callers pass the time as [`MonotonicMillis`] and
//! random numbers as [`SplitMix`], so that the same inputs always give the same decisions.

pub mod baseline;
pub mod jobs;
mod random;
mod retry;
mod routing;
mod time;

pub use random::SplitMix;
pub use retry::{
    AttemptFailure, MAX_LOST_CONNECTIONS, MAX_REROUTES, MAX_SENDS, MIN_RETRIES_PER_SECOND,
    MIN_RETRY_REMAINING, RETRY_BURST, RequestAttempts, RequestProperties, RetryAllowance,
    RetryBudget, RetryDecision, RetryReason, StopReason,
};
pub use routing::{
    DaemonMember, FailureKind, HealthCheck, HealthCheckResult, Member, MemberState, NotRunReason,
    PANIC_PERCENT, PickOptions, PickRefusal, PickedTarget, SAMPLED_TARGETS, SendOutcome,
    TargetLimits, TargetStatus, TargetTable, TargetView, connection_share, connections_allowed,
    is_assigned,
};
pub use time::{ARRIVAL_TICK_MS, ArrivalClock, ConnectionClock, MonotonicMillis};
