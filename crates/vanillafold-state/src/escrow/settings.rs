//! Times and shares, the same in every daemon of the fleet.

use vanillafold_types::{Millis, Percent};

/// Times and shares. `fence_ms`, `longest_work_ms`, `clock_drift` and `floor` must be the same in
/// every daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EscrowSettings {
    /// How long a read of both streams up to their tails lets a daemon use more than its floor.
    pub fence_ms: Millis,
    /// The longest time from the start of work to the moment at which no target runs it any
    /// more: the longest deadline and the linger time.
    pub longest_work_ms: Millis,
    /// The most by which the clocks of two VMs differ in rate.
    pub clock_drift: Percent,
    /// The part of the home units that stays usable without fresh word; rounded down.
    pub floor: Percent,
    /// How long a line waits for its acknowledgement before it is sent again.
    pub resend_ms: Millis,
    /// How long a borrower may keep a unit before its lender asks for it back.
    pub min_hold_ms: Millis,
    /// How long a borrowed unit stays unused before it goes back.
    pub idle_ms: Millis,
    /// How long a wish for units counts. Asks are repeated after that time, then after twice,
    /// four times and so on, up to 16 times that time; a lender forgets them after 32 times.
    pub borrow_retry_ms: Millis,
    /// The least number of peers that are asked in one tick.
    pub borrow_fanout: usize,
}

impl Default for EscrowSettings {
    fn default() -> Self {
        Self {
            fence_ms: Millis::new(600_000),
            longest_work_ms: Millis::new(120_000),
            clock_drift: Percent::new(3),
            floor: Percent::new(50),
            resend_ms: Millis::new(500),
            min_hold_ms: Millis::new(500),
            idle_ms: Millis::new(300),
            borrow_retry_ms: Millis::new(2_000),
            borrow_fanout: 3,
        }
    }
}

impl EscrowSettings {
    /// How long after a start is superseded or fenced its work and its loans may go on, measured
    /// on any daemon's clock from the moment that daemon read the record.
    #[must_use]
    pub fn handover_ms(&self) -> Millis {
        self.with_drift(self.fence_ms.get() + self.longest_work_ms.get())
    }

    /// How long the work of a dead process may go on, measured on any daemon's clock.
    #[must_use]
    pub fn drain_ms(&self) -> Millis {
        self.with_drift(self.longest_work_ms.get())
    }

    /// The longest that `span_ms` of another VM's clock may take on this one's, or the other way.
    pub(super) fn with_drift(&self, span_ms: u64) -> Millis {
        Millis::new(span_ms + self.clock_drift.of_rounded_up(span_ms))
    }
}
