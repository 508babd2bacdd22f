//! Retries without a budget.

use crate::{MonotonicMillis, RetryAllowance};

/// Baseline that allows every retry; only the maximum number of sends of a request applies.
#[derive(Debug)]
pub struct UnlimitedRetries;

impl RetryAllowance for UnlimitedRetries {
    fn first_sent(&mut self, _now: MonotonicMillis) {}

    fn try_spend(&mut self, _now: MonotonicMillis) -> bool {
        true
    }
}
