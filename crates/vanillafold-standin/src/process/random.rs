//! Seeded pseudorandom numbers.

use std::ops::RangeInclusive;

/// A pseudorandom number generator: SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom
/// number generators", 2014).
#[derive(Debug, Clone)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator whose sequence depends only on `seed`.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next number, uniform over all `u64` values.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns the next number, uniform from 0 (included) to 1 (excluded).
    pub fn next_f64(&mut self) -> f64 {
        // An f64 holds integers of up to 53 bits exactly.
        const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
        (self.next_u64() >> 11) as f64 * SCALE
    }

    /// Returns the next number of an exponential distribution with mean 1.
    pub fn exponential(&mut self) -> f64 {
        -(1.0 - self.next_f64()).ln()
    }

    /// Returns the next number, uniform over `range`.
    pub fn between(&mut self, range: RangeInclusive<u64>) -> u64 {
        let values = (range.end() - range.start()).saturating_add(1);
        range.start() + self.next_u64() % values
    }

    /// Returns `true` with the given probability.
    pub fn next_bool(&mut self, probability: f64) -> bool {
        self.next_f64() < probability
    }
}
