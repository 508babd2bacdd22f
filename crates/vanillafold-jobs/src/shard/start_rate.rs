//! Rate at which tasks are started, and whether it limits the shard.

use vanillafold_policy::MonotonicMillis;

/// Period over which starts are counted, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// Counts starts by period, and whether the flow control of orders was the limit.
#[derive(Debug)]
pub(super) struct StartRate {
    period_began_at: MonotonicMillis,
    starts: u64,
    was_limited: bool,
    /// Starts per second of the last whole period in which flow control was the limit; `None` if it
    /// was not.
    limit_per_s: Option<u64>,
}

impl StartRate {
    pub(super) const fn new(now: MonotonicMillis) -> Self {
        Self {
            period_began_at: now,
            starts: 0,
            was_limited: false,
            limit_per_s: None,
        }
    }

    /// Records the result of a scheduling pass: the number of starts, and whether they used up what
    /// flow control allows.
    pub(super) fn record(&mut self, starts: u64, limited: bool, now: MonotonicMillis) {
        let elapsed_ms = now.since(self.period_began_at).get();
        if elapsed_ms >= PERIOD_MS {
            let per_s = self.starts * 1_000 / elapsed_ms;
            self.limit_per_s = self.was_limited.then_some(per_s.max(1));
            self.period_began_at = now;
            self.starts = 0;
            self.was_limited = false;
        }
        self.starts += starts;
        self.was_limited |= limited;
    }

    /// Returns the starts per second that flow control allows; `None` while it is not the limit.
    pub(super) const fn limit_per_s(&self) -> Option<u64> {
        self.limit_per_s
    }
}
