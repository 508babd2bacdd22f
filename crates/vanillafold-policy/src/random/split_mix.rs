//! The SplitMix64 random number generator.

use super::mix;

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A small seeded random number generator (SplitMix64) for sampling and jitter.
///
/// It must not be used for secrets, because its numbers can be predicted.
#[derive(Debug)]
pub struct SplitMix {
    state: u64,
}

impl SplitMix {
    /// Creates a generator whose numbers depend on `seed` alone.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next number.
    pub const fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix(self.state)
    }

    /// Returns a uniformly distributed number from 0 to `bound` - 1.
    ///
    /// # Panics
    ///
    /// Panics if `bound` is 0.
    pub const fn below(&mut self, bound: u64) -> u64 {
        assert!(bound > 0, "expected a bound of at least 1, found 0");
        // Multiply-shift keeps the bias below bound / 2^64.
        ((self.next_u64() as u128 * bound as u128) >> 64) as u64
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub const fn fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
