//! Flow control of orders: how many may be unanswered, and how long to wait for an answer.

use crate::MonotonicMillis;

/// Weight of a new latency in the smoothed latency and its deviation. Hundreds of orders are
/// answered a second, a few of them by workers that are slow themselves.
const SMOOTHING: f64 = 1.0 / 32.0;
/// Multiple of the smoothed latency in the timeout. The window may double the latency before the
/// smoothed value has followed.
const LATENCIES: f64 = 2.0;
/// Multiple of the deviation that the timeout adds, as the retransmission timeout of TCP does
/// (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Minimum timeout in milliseconds: many times the usual latency of one or two. A start whose answer
/// is only late does no harm, as the next poll lists the run.
const MIN_TIMEOUT_MS: f64 = 120.0;
/// Maximum timeout in milliseconds. A poll that waits for it and is repeated twice must still renew
/// a lease in time.
const MAX_TIMEOUT_MS: f64 = 800.0;
/// Latency above which orders are waiting for this daemon's link or processor, in milliseconds.
const MAX_QUEUEING_MS: u64 = 150;
/// Window in orders before any latency is known.
const INITIAL_WINDOW: f64 = 256.0;
/// Minimum window in orders. With the usual latency it still carries thousands of orders a second.
const MIN_WINDOW: f64 = 16.0;
/// Maximum window in orders.
const MAX_WINDOW: f64 = 4_096.0;
/// Factor by which the window shrinks when orders wait too long.
const DECREASE: f64 = 0.7;
/// Growth of the window, in orders, while one window of orders is answered without delay.
const INCREASE: f64 = 16.0;
/// Smoothed latency, in milliseconds, above which polls of one worker become rarer.
const POLL_SPREAD_FROM_MS: f64 = 25.0;
/// Maximum time between two polls of one worker, in milliseconds. The end of a run is seen this
/// much later.
const MAX_POLL_INTERVAL_MS: f64 = 400.0;

/// Flow control of the orders to all workers of an owner.
///
/// Suits a burst that asks for more starts than the owner's link or processor carries. Without a
/// bound its orders wait for the link, together with the polls that renew leases; answers come
/// after their timeout, workers count as silent although only the owner is slow, and orders are
/// sent again. Here the window shrinks until orders wait no longer than [`MAX_QUEUEING_MS`], and
/// the remaining tasks wait in order of rank, where the most useful is started next. The timeout
/// follows the latencies, so that a slow answer is not taken for none.
#[derive(Debug, Clone, Copy)]
pub struct OrderFlow {
    smoothed_ms: f64,
    deviation_ms: f64,
    window: f64,
    /// When the window may shrink again: orders sent before it shrank are answered by then.
    decrease_after: MonotonicMillis,
    /// When an order was last answered.
    answered_at: MonotonicMillis,
}

impl Default for OrderFlow {
    fn default() -> Self {
        Self {
            smoothed_ms: 0.0,
            deviation_ms: 0.0,
            window: INITIAL_WINDOW,
            decrease_after: MonotonicMillis::ZERO,
            answered_at: MonotonicMillis::ZERO,
        }
    }
}

impl OrderFlow {
    /// Records that an order was answered after `latency_ms`.
    pub fn answered(&mut self, latency_ms: u64, now: MonotonicMillis) {
        self.answered_at = now;
        self.observe(latency_ms);
        match latency_ms {
            ..=MAX_QUEUEING_MS => {
                self.window = (self.window + INCREASE / self.window).min(MAX_WINDOW);
            }
            _ => self.decrease(latency_ms, now),
        }
    }

    /// Records that an order got no answer within `waited_ms`. If others were answered meanwhile, the
    /// worker is silent or the answer is lost, which says nothing about the owner's link. If none
    /// was, all may be late: the timeout grows and the window shrinks.
    pub fn unanswered(&mut self, waited_ms: u64, now: MonotonicMillis) {
        if self.answered_at.get() + waited_ms < now.get() {
            self.observe(waited_ms);
            self.decrease(waited_ms, now);
        }
    }

    #[allow(clippy::cast_precision_loss)] // latencies of seconds
    fn observe(&mut self, latency_ms: u64) {
        let latency_ms = (latency_ms as f64).min(MAX_TIMEOUT_MS);
        let difference_ms = latency_ms - self.smoothed_ms;
        self.smoothed_ms += difference_ms * SMOOTHING;
        self.deviation_ms += (difference_ms.abs() - self.deviation_ms) * SMOOTHING;
    }

    fn decrease(&mut self, latency_ms: u64, now: MonotonicMillis) {
        if now >= self.decrease_after {
            self.window = (self.window * DECREASE).max(MIN_WINDOW);
            self.decrease_after = MonotonicMillis::new(now.get() + latency_ms);
        }
    }

    /// Returns how many orders may be unanswered.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // within MAX_WINDOW
    pub const fn window(&self) -> usize {
        self.window as usize
    }

    /// Returns how long to wait for the answer to an order, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // within MAX_TIMEOUT_MS
    pub const fn timeout_ms(&self) -> u64 {
        let timeout_ms = self.smoothed_ms * LATENCIES + self.deviation_ms * DEVIATIONS;
        timeout_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) as u64
    }

    /// Returns the minimum time between two polls of one worker, in milliseconds: `idle_ms` while
    /// orders are answered at once, and longer the longer they wait, so that fewer polls report more
    /// ends each.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // within its maximum
    #[allow(clippy::cast_precision_loss)] // an interval below a second
    pub fn poll_interval_ms(&self, idle_ms: u64) -> u64 {
        let added_ms = (self.smoothed_ms - POLL_SPREAD_FROM_MS).max(0.0) * 2.0;
        (idle_ms as f64 + added_ms).min(MAX_POLL_INTERVAL_MS) as u64
    }
}
