//! Rate at which work is submitted to a pool.

use vanillafold_policy::MonotonicMillis;

/// Half-life of the weight of submitted work, in milliseconds. With this value a burst shows within
/// a few tenths of a second, and a single large job does not look like one.
const HALF_LIFE_MS: f64 = 250.0;

/// Recently submitted work of a pool, decayed exponentially.
#[derive(Debug)]
pub(super) struct Arrivals {
    pub(super) pool: String,
    /// Decayed sum in core-milliseconds, as of `at`.
    work: f64,
    at: MonotonicMillis,
}

impl Arrivals {
    pub(super) const fn new(pool: String, now: MonotonicMillis) -> Self {
        Self {
            pool,
            work: 0.0,
            at: now,
        }
    }

    #[allow(clippy::cast_precision_loss)] // sums far below 2^52
    pub(super) fn add(&mut self, core_ms: u64, now: MonotonicMillis) {
        self.work = self.decayed(now) + core_ms as f64;
        self.at = now;
    }

    #[allow(clippy::cast_precision_loss)] // durations far below 2^52
    fn decayed(&self, now: MonotonicMillis) -> f64 {
        self.work * 0.5_f64.powf(now.since(self.at).get() as f64 / HALF_LIFE_MS)
    }

    /// Returns the CPU that work arriving at this rate keeps busy, in thousandths of a core.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a small positive number
    pub(super) fn cpu_millis(&self, now: MonotonicMillis) -> u64 {
        let window_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        (self.decayed(now) / window_ms * 1_000.0) as u64
    }
}
