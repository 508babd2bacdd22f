//! The SplitMix64 generator.

use super::mix;

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A small seeded generator (SplitMix64), good enough for sampling and jitter.
///
/// Not for secrets: its numbers can be predicted.
#[derive(Debug)]
pub struct SplitMix {
    state: u64,
}

impl SplitMix {
    /// A generator whose numbers depend on `seed` alone.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next number.
    pub const fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix(self.state)
    }

    /// A number from 0 to `bound` - 1.
    ///
    /// # Panics
    ///
    /// If `bound` is 0.
    pub const fn below(&mut self, bound: u64) -> u64 {
        assert!(bound > 0, "expected a bound of at least 1, found 0");
        // Multiply-shift keeps the bias below bound / 2^64.
        ((self.next_u64() as u128 * bound as u128) >> 64) as u64
    }

    /// A number from 0 up to, but without, 1.
    pub const fn fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
