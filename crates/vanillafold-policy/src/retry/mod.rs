//! Whether a failed send is repeated, and what the caller is told if not.

mod attempts;
mod budget;
mod failure;

pub use attempts::{
    MAX_REROUTES, MAX_SENDS, MIN_RETRY_REMAINING, RequestAttempts, RequestProperties,
    RetryDecision, RetryReason, StopReason,
};
pub use budget::{MIN_RETRIES_PER_SECOND, RETRY_BURST, RetryAllowance, RetryBudget};
pub use failure::AttemptFailure;
