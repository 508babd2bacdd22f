//! A limit on appends a second.

use std::time::Instant;

/// The share of a second's appends that may come at once.
const BURST_SHARE: f64 = 0.25;

/// A token bucket.
#[derive(Debug)]
pub(crate) struct RateLimit {
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: f64::INFINITY,
            filled_at: now,
        }
    }

    /// Whether one more append is within `rate` a second.
    pub(crate) fn take(&mut self, rate: u32, now: Instant) -> bool {
        let rate = f64::from(rate);
        let earned = rate * now.duration_since(self.filled_at).as_secs_f64();
        let room = match rate {
            0.0 => 0.0,
            rate => (rate * BURST_SHARE).max(1.0),
        };
        self.filled_at = now;
        self.tokens = (self.tokens + earned).min(room);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
