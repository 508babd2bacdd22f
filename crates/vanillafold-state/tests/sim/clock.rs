//! A VM's clock: it counts suspended time, at a rate that is a little off.

use vanillafold_state::BootMillis;

use super::random::Random;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    booted_before_ms: u64,
    /// How many of its milliseconds go by in 1000 true ones.
    per_mille: u64,
}

impl Clock {
    pub(crate) fn new(random: &mut Random) -> Self {
        Self {
            booted_before_ms: random.between(1_000_000, 2_000_000),
            per_mille: random.between(990, 1_010),
        }
    }

    pub(crate) fn at(&self, true_ms: u64) -> BootMillis {
        BootMillis::new(self.booted_before_ms + true_ms * self.per_mille / 1_000)
    }
}
