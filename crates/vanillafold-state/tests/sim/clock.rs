//! A VM's boot-time clock: it counts suspended time and runs up to 1 % too fast or too slow.

use vanillafold_state::BootMillis;

use super::random::Random;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    /// The clock's value when the simulation's time is 0.
    initial_ms: u64,
    /// Milliseconds that the clock advances in 1000 ms of true time.
    rate_per_mille: u64,
}

impl Clock {
    pub(crate) fn new(random: &mut Random) -> Self {
        Self {
            initial_ms: random.between(1_000_000, 2_000_000),
            rate_per_mille: random.between(990, 1_010),
        }
    }

    pub(crate) fn at(&self, true_ms: u64) -> BootMillis {
        BootMillis::new(self.initial_ms + true_ms * self.rate_per_mille / 1_000)
    }
}
