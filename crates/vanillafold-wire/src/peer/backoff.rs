//! Waits between attempts, with exponential growth and jitter.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use vanillafold_types::{DaemonId, Millis};

use super::clock::BootClock;

/// Waits that double up to a limit; each is drawn between half and the whole of its step
/// ("equal jitter" in Brooker, "Exponential Backoff And Jitter", 2015).
#[derive(Debug)]
pub(crate) struct Backoff {
    min_ms: u64,
    max_ms: u64,
    step_ms: u64,
    rng_state: u64,
}

impl Backoff {
    /// Starts at the shortest wait; the seed differs between pairs of daemons and starts.
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

    /// The next wait; the one after it is twice as long.
    pub(crate) fn next_wait(&mut self) -> Duration {
        let step_ms = self.step_ms;
        self.step_ms = step_ms.saturating_mul(2).min(self.max_ms);
        self.jitter(step_ms)
    }

    /// A wait between half and the whole of `step_ms`.
    pub(crate) fn jitter(&mut self, step_ms: u64) -> Duration {
        let half_ms = step_ms / 2;
        let random_ms = self.next_random() % (step_ms - half_ms + 1);
        Duration::from_millis(half_ms + random_ms)
    }

    // Marsaglia, "Xorshift RNGs", 2003: enough to spread attempts.
    fn next_random(&mut self) -> u64 {
        let mut x = self.rng_state;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.rng_state = x;
        x
    }
}
