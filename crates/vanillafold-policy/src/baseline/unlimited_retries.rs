//! No retry budget.

use crate::{MonotonicMillis, RetryAllowance};

/// Baseline: every retry is allowed, up to the sends of one request.
#[derive(Debug)]
pub struct UnlimitedRetries;

impl RetryAllowance for UnlimitedRetries {
    fn first_sent(&mut self, _now: MonotonicMillis) {}

    fn try_spend(&mut self, _now: MonotonicMillis) -> bool {
        true
    }
}
