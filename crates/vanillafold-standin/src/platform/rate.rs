//! The limit on the rate of appends.

use std::time::Instant;

/// The capacity of the token bucket, the largest burst, as a share of the appends of one second.
const BURST_SHARE: f64 = 0.25;

/// A token bucket; each append takes a token.
#[derive(Debug)]
pub(crate) struct RateLimit {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: f64::INFINITY,
            refilled_at: now,
        }
    }

    /// Takes a token; returns `false` if an append now would exceed `appends_per_s`.
    pub(crate) fn try_take(&mut self, appends_per_s: u32, now: Instant) -> bool {
        let rate = f64::from(appends_per_s);
        let refilled = rate * now.duration_since(self.refilled_at).as_secs_f64();
        let capacity = match rate {
            0.0 => 0.0,
            rate => (rate * BURST_SHARE).max(1.0),
        };
        self.refilled_at = now;
        self.tokens = (self.tokens + refilled).min(capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
