//! The retry budget of one queue.

use vanillafold_types::Percent;

use crate::MonotonicMillis;

/// Retries that a quiet queue may make each second, so that its few failures can be mended.
pub const MIN_RETRIES_PER_SECOND: u64 = 1;
/// Retries that may be saved up and made at once.
pub const RETRY_BURST: u64 = 20;

/// One retry in the budget's unit, which makes a percentage and a millisecond whole numbers.
const RETRY_UNITS: u64 = 100_000;
const UNITS_PER_PERCENT: u64 = RETRY_UNITS / 100;
const MIN_UNITS_PER_MS: u64 = MIN_RETRIES_PER_SECOND * RETRY_UNITS / 1_000;
const MAX_UNITS: u64 = RETRY_BURST * RETRY_UNITS;

/// Says whether one more retry may be made.
pub trait RetryAllowance {
    /// Notes the first send of a request.
    fn first_sent(&mut self, now: MonotonicMillis);

    /// Takes one retry if there is one.
    fn try_spend(&mut self, now: MonotonicMillis) -> bool;
}

/// A token bucket: each first send pays in a percentage of a retry, each retry takes one out.
///
/// In any window, retries are at most the percentage of the first sends in it, plus
/// [`MIN_RETRIES_PER_SECOND`], plus [`RETRY_BURST`] that were saved up. A percentage of 0 allows
/// none at all.
#[derive(Debug)]
pub struct RetryBudget {
    percent: Percent,
    units: u64,
    filled_at: Option<MonotonicMillis>,
}

impl RetryBudget {
    /// A budget that allows `percent` of the first sends, with a quiet second's retries in it.
    #[must_use]
    pub const fn new(percent: Percent) -> Self {
        Self {
            percent,
            units: MIN_RETRIES_PER_SECOND * RETRY_UNITS,
            filled_at: None,
        }
    }

    /// Takes the percentage from the catalogue; what was saved up stays.
    pub const fn set_percent(&mut self, percent: Percent) {
        self.percent = percent;
    }

    /// The retries that could be made at once.
    #[must_use]
    pub const fn available(&self) -> u64 {
        self.units / RETRY_UNITS
    }

    fn fill(&mut self, now: MonotonicMillis) {
        let since = self.filled_at.unwrap_or(now);
        self.filled_at = Some(since.max(now));
        self.pay_in(now.since(since).get().saturating_mul(MIN_UNITS_PER_MS));
    }

    fn pay_in(&mut self, units: u64) {
        self.units = self.units.saturating_add(units).min(MAX_UNITS);
    }
}

impl RetryAllowance for RetryBudget {
    fn first_sent(&mut self, now: MonotonicMillis) {
        self.fill(now);
        self.pay_in(u64::from(self.percent.get()) * UNITS_PER_PERCENT);
    }

    fn try_spend(&mut self, now: MonotonicMillis) -> bool {
        self.fill(now);
        if self.percent == Percent::ZERO || self.units < RETRY_UNITS {
            return false;
        }
        self.units -= RETRY_UNITS;
        true
    }
}
