//! Exponential backoff with jitter between connection attempts.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use vanillafold_types::{DaemonId, Millis};

use super::clock::BootClock;

/// Backoff whose step doubles up to a limit; each wait is drawn uniformly between half of the step
/// and the whole step ("equal jitter" in Brooker, "Exponential Backoff And Jitter", 2015).
#[derive(Debug)]
pub(crate) struct Backoff {
    min_ms: u64,
    max_ms: u64,
    step_ms: u64,
    rng_state: u64,
}

impl Backoff {
    /// Starts at the step `min`. The random seed depends on both daemons and on the time, so that
    /// daemons do not dial in step with each other.
    pub(crate) fn new(min: Millis, max: Millis, from: &DaemonId, to: &DaemonId) -> Self {
        let mut hasher = DefaultHasher::new();
        (from, to, BootClock::now()).hash(&mut hasher);
        Self {
            min_ms: min.get(),
            max_ms: max.get(),
            step_ms: min.get(),
            rng_state: hasher.finish() | 1,
        }
    }

    pub(crate) fn reset(&mut self) {
        self.step_ms = self.min_ms;
    }

    /// Returns the next wait, with jitter, and doubles the step up to the limit.
    pub(crate) fn next_wait(&mut self) -> Duration {
        let step_ms = self.step_ms;
        self.step_ms = step_ms.saturating_mul(2).min(self.max_ms);
        self.jitter(step_ms)
    }

    /// Returns a random wait between half of `step_ms` and `step_ms`.
    pub(crate) fn jitter(&mut self, step_ms: u64) -> Duration {
        let half_ms = step_ms / 2;
        let random_ms = self.next_random() % (step_ms - half_ms + 1);
        Duration::from_millis(half_ms + random_ms)
    }

    // Xorshift (Marsaglia, "Xorshift RNGs", 2003): random enough to spread out attempts.
    fn next_random(&mut self) -> u64 {
        let mut x = self.rng_state;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.rng_state = x;
        x
    }
}
