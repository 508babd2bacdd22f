//! Settings of the escrow: time spans, the floor and the request fan-out.

use vanillafold_types::{Millis, Percent};

/// Time spans, floor and request fan-out of the escrow. `fence_ms`, `longest_work_ms`,
/// `clock_drift` and `floor` must be the same in every daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EscrowSettings {
    /// How long after reading both streams up to their tails a daemon may use more than its floor.
    pub fence_ms: Millis,
    /// The longest time for which a target may run work after its start: the longest deadline plus
    /// the linger time.
    pub longest_work_ms: Millis,
    /// The largest difference in rate between the clocks of two VMs.
    pub clock_drift: Percent,
    /// The part of the home units that stays usable without a recent read of the log; rounded down
    /// to whole units.
    pub floor: Percent,
    /// How long a line waits for its acknowledgement before it is sent again.
    pub resend_ms: Millis,
    /// How long a borrower may keep units before its lender may recall them.
    pub min_hold_ms: Millis,
    /// How long a borrowed unit stays unused before it is returned.
    pub idle_ms: Millis,
    /// How long a reported demand stays valid, and the first interval after which a borrow request
    /// is repeated. The interval doubles with each repetition up to 16 times this value; a lender
    /// drops a request that was not renewed for 32 times this value.
    pub borrow_retry_ms: Millis,
    /// The least number of peers that get a borrow request in one tick.
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
    /// Returns how long the work and the loans of an incarnation may go on after it was superseded
    /// or fenced, measured on any daemon's clock from the moment when that daemon read the record.
    #[must_use]
    pub fn handover_ms(&self) -> Millis {
        self.with_drift(self.fence_ms.get() + self.longest_work_ms.get())
    }

    /// Returns how long the work of a dead process may go on, measured on any daemon's clock.
    #[must_use]
    pub fn drain_ms(&self) -> Millis {
        self.with_drift(self.longest_work_ms.get())
    }

    /// Returns the longest time that this VM's clock may show while another VM's clock advances by
    /// `span_ms`, or the other way round.
    pub(super) fn with_drift(&self, span_ms: u64) -> Millis {
        Millis::new(span_ms + self.clock_drift.of_rounded_up(span_ms))
    }
}
