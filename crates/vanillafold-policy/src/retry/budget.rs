//! The retry budget of one queue, a token bucket that bounds the load that retries add.

use vanillafold_types::Percent;

use crate::MonotonicMillis;

/// Retries per second that a queue may make whatever its traffic, so that a queue with few requests
/// can still recover from its failures.
pub const MIN_RETRIES_PER_SECOND: u64 = 1;
/// Capacity of the budget: the most retries that can be saved up and made at once.
pub const RETRY_BURST: u64 = 20;

/// One retry in the budget's unit, in which the share paid in per percent and per millisecond is a
/// whole number.
const RETRY_UNITS: u64 = 100_000;
const UNITS_PER_PERCENT: u64 = RETRY_UNITS / 100;
const MIN_UNITS_PER_MS: u64 = MIN_RETRIES_PER_SECOND * RETRY_UNITS / 1_000;
const MAX_UNITS: u64 = RETRY_BURST * RETRY_UNITS;

/// Limits how many retries are made.
pub trait RetryAllowance {
    /// Records the first send of a request.
    fn first_sent(&mut self, now: MonotonicMillis);

    /// Takes one retry and returns true, or returns false if none is available.
    fn try_spend(&mut self, now: MonotonicMillis) -> bool;
}

/// A token bucket: each first send adds a percentage of a retry, each retry removes one.
///
/// In any time window there are at most as many retries as the percentage of the window's first
/// sends, plus [`MIN_RETRIES_PER_SECOND`] for each second, plus [`RETRY_BURST`] that were saved up.
/// A percentage of 0 allows no retries at all.
#[derive(Debug)]
pub struct RetryBudget {
    percent: Percent,
    units: u64,
    refilled_at: Option<MonotonicMillis>,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` of the first sends, with the retries of one second at
    /// [`MIN_RETRIES_PER_SECOND`] already in it.
    #[must_use]
    pub const fn new(percent: Percent) -> Self {
        Self {
            percent,
            units: MIN_RETRIES_PER_SECOND * RETRY_UNITS,
            refilled_at: None,
        }
    }

    /// Sets the percentage from the catalogue. Retries that were saved up stay.
    pub const fn set_percent(&mut self, percent: Percent) {
        self.percent = percent;
    }

    /// Returns how many retries could be made at once.
    #[must_use]
    pub const fn available(&self) -> u64 {
        self.units / RETRY_UNITS
    }

    fn refill(&mut self, now: MonotonicMillis) {
        let last = self.refilled_at.unwrap_or(now);
        self.refilled_at = Some(last.max(now));
        self.deposit(now.since(last).get().saturating_mul(MIN_UNITS_PER_MS));
    }

    fn deposit(&mut self, units: u64) {
        self.units = self.units.saturating_add(units).min(MAX_UNITS);
    }
}

impl RetryAllowance for RetryBudget {
    fn first_sent(&mut self, now: MonotonicMillis) {
        self.refill(now);
        self.deposit(u64::from(self.percent.get()) * UNITS_PER_PERCENT);
    }

    fn try_spend(&mut self, now: MonotonicMillis) -> bool {
        self.refill(now);
        if self.percent == Percent::ZERO || self.units < RETRY_UNITS {
            return false;
        }
        self.units -= RETRY_UNITS;
        true
    }
}
