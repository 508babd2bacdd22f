//! Seeded numbers.

/// SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
#[derive(Debug, Clone)]
pub struct Random {
    state: u64,
}

impl Random {
    /// A sequence that depends on the seed only.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// The next number, at least 0 and below 1.
    pub fn next_f64(&mut self) -> f64 {
        // The 53 bits that an f64 holds exactly.
        const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
        (self.next_u64() >> 11) as f64 * SCALE
    }

    /// The next number of an exponential distribution of mean 1.
    pub fn exponential(&mut self) -> f64 {
        -(1.0 - self.next_f64()).ln()
    }

    /// Whether an event of this probability happens now.
    pub fn next_bool(&mut self, probability: f64) -> bool {
        self.next_f64() < probability
    }
}
