//! How much work comes to a pool.

use vanillafold_policy::MonotonicMillis;

/// Work counts by half after this time, in milliseconds: a burst is known within a few of its
/// tenths of a second, and single large jobs do not look like one.
const HALF_LIFE_MS: f64 = 250.0;

/// Work that has come to a pool lately.
#[derive(Debug)]
pub(super) struct Arrivals {
    pub(super) pool: String,
    /// Core-milliseconds, decayed.
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

    #[allow(clippy::cast_precision_loss)] // core-milliseconds of some jobs
    pub(super) fn add(&mut self, core_ms: u64, now: MonotonicMillis) {
        self.work = self.decayed(now) + core_ms as f64;
        self.at = now;
    }

    #[allow(clippy::cast_precision_loss)] // times of seconds
    fn decayed(&self, now: MonotonicMillis) -> f64 {
        self.work * 0.5_f64.powf(now.since(self.at).get() as f64 / HALF_LIFE_MS)
    }

    /// The processor time that work coming at this rate keeps busy, in thousandths of a core.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
    pub(super) fn cpu_millis(&self, now: MonotonicMillis) -> u64 {
        let window_ms = HALF_LIFE_MS / std::f64::consts::LN_2;
        (self.decayed(now) / window_ms * 1_000.0) as u64
    }
}
