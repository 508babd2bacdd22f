//! The earliest time at which input that a process reads may have arrived.

use super::MonotonicMillis;

/// Time between two calls of [`ArrivalClock::tick`], in milliseconds.
pub const ARRIVAL_TICK_MS: u64 = 50;
/// Ticks that are remembered: input is accepted, read and handled within as many rounds of the
/// event loop, each of which lets a tick that is due pass.
const TICKS: usize = 3;

/// Dates the input of an event loop.
///
/// Input may have waited in the system's buffers while the process was suspended, or had more work
/// than processor time. Ticks of the same event loop are as late as the input, so that input is
/// surely not older than the last few ticks.
#[derive(Debug)]
pub struct ArrivalClock {
    /// The newest is the last.
    ticks: [MonotonicMillis; TICKS],
}

impl ArrivalClock {
    /// Creates the clock of a process that starts now.
    #[must_use]
    pub const fn new(now: MonotonicMillis) -> Self {
        Self {
            ticks: [now; TICKS],
        }
    }

    /// Notes that the event loop runs; to be called every [`ARRIVAL_TICK_MS`].
    pub fn tick(&mut self, now: MonotonicMillis) {
        self.ticks.rotate_left(1);
        self.ticks[TICKS - 1] = now;
    }

    /// Returns a time that is not later than the arrival of input that is read now.
    #[must_use]
    pub const fn earliest_arrival(&self) -> MonotonicMillis {
        self.ticks[0]
    }
}
