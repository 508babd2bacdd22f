//! Whether a failed send is retried, and which result code the caller gets if it is not.

mod attempts;
mod budget;
mod failure;

pub use attempts::{
    MAX_LOST_CONNECTIONS, MAX_REROUTES, MAX_SENDS, MIN_RETRY_REMAINING, RequestAttempts,
    RequestProperties, RetryDecision, RetryReason, StopReason,
};
pub use budget::{MIN_RETRIES_PER_SECOND, RETRY_BURST, RetryAllowance, RetryBudget};
pub use failure::AttemptFailure;
