//! The decisions of vanillafold: routing, retries, jobs and capacity.
//!
//! | to choose a target | [`TargetTable`], [`PickOptions`], [`PickedTarget`], [`PickRefusal`] |
//! |---|---|
//! | to tell how a send ended | [`SendOutcome`], [`FailureKind`], [`NotRunReason`] |
//! | to split connections | [`connections_allowed`], [`connection_share`], [`is_assigned`] |
//! | to decide on a retry | [`RequestAttempts`], [`AttemptFailure`], [`RetryDecision`], [`RetryBudget`] |
//! | to order, admit and place jobs | [`jobs`] |
//! | to measure against | [`baseline`] |
//!
//! Plain data and plain functions: no I/O and no clock. Times come in as [`MonotonicMillis`],
//! random numbers as [`SplitMix`], so that a run with the same inputs gives the same decisions.

pub mod baseline;
pub mod jobs;
mod random;
mod retry;
mod routing;
mod time;

pub use random::SplitMix;
pub use retry::{
    AttemptFailure, MAX_REROUTES, MAX_SENDS, MIN_RETRIES_PER_SECOND, MIN_RETRY_REMAINING,
    RETRY_BURST, RequestAttempts, RequestProperties, RetryAllowance, RetryBudget, RetryDecision,
    RetryReason, StopReason,
};
pub use routing::{
    DaemonMember, FailureKind, HealthCheck, HealthCheckResult, Member, MemberState, NotRunReason,
    PANIC_PERCENT, PickOptions, PickRefusal, PickedTarget, SAMPLED_TARGETS, SendOutcome,
    TargetLimits, TargetStatus, TargetTable, TargetView, connection_share, connections_allowed,
    is_assigned,
};
pub use time::MonotonicMillis;
