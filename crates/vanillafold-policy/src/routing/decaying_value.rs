//! A value that decays exponentially with time.

use vanillafold_types::Millis;

use crate::MonotonicMillis;

/// A value that halves every `half_life_ms` after it was last set.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingValue {
    value: f64,
    at: MonotonicMillis,
    half_life_ms: Millis,
}

impl DecayingValue {
    pub(crate) const fn new(half_life_ms: Millis) -> Self {
        Self {
            value: 0.0,
            at: MonotonicMillis::ZERO,
            half_life_ms,
        }
    }

    pub(crate) fn get(&self, now: MonotonicMillis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let half_lives = now.since(self.at).get() as f64 / self.half_life_ms.get() as f64;
        self.value * (-half_lives).exp2()
    }

    pub(crate) fn set(&mut self, now: MonotonicMillis, value: f64) {
        self.value = value;
        self.at = now;
    }
}
