//! Percentiles of answer latency.

use std::fmt;

use serde::Serialize;

use crate::audit::recording::{Recording, exchanges};
use crate::trace::ReceivedOutcome;

/// Percentiles of the time from the send to the last byte of the answer, by nearest rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// The median, in microseconds.
    pub p50_us: u64,
    /// The 99th percentile, in microseconds.
    pub p99_us: u64,
}

impl Latency {
    /// Returns the percentiles over all answers; `None` if there are none.
    pub(super) fn of(recording: &Recording) -> Option<Self> {
        let answers = exchanges(recording).filter(|it| {
            let outcome = it.received.outcome;
            outcome == ReceivedOutcome::Answer
        });
        let times = answers.map(|it| it.received.at_us.saturating_sub(it.sent.at_us));
        let mut times_us: Vec<u64> = times.collect();
        times_us.sort_unstable();
        Some(Self {
            p50_us: percentile(&times_us, 50)?,
            p99_us: percentile(&times_us, 99)?,
        })
    }
}

fn percentile(sorted: &[u64], percent: usize) -> Option<u64> {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.checked_sub(1)?).copied()
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p50_us={} p99_us={}", self.p50_us, self.p99_us)
    }
}
