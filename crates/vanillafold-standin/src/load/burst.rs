//! Intervals in which the request rate is multiplied by a factor.

use std::str::FromStr;

use vanillafold_types::QueueId;

const MS_PER_S: f64 = 1_000.0;

/// An interval in which the rate of one queue, or of each queue, is multiplied by a factor. It is
/// parsed from `[QUEUE:]FACTOR@START_MS+LENGTH_MS`.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// The queue that it applies to; `None` for all queues.
    pub queue: Option<QueueId>,
    /// The factor, 0 or more; below 1 the rate is lower than usual.
    pub factor: f64,
    /// The start, in milliseconds since the start of the run.
    pub start_ms: u64,
    /// The length, in milliseconds.
    pub length_ms: u64,
}

impl Burst {
    /// Returns the start and the end of the interval, in seconds since the start of the run; the end
    /// is exclusive.
    pub(crate) fn span_s(&self) -> (f64, f64) {
        let start = self.start_ms as f64;
        let end = start + self.length_ms as f64;
        (start / MS_PER_S, end / MS_PER_S)
    }
}

/// The error for a text that is not a valid [`Burst`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected [QUEUE:]FACTOR@START_MS+LENGTH_MS such as 5@1000+3000, found {found:?}")]
pub struct ParseBurstError {
    /// The text that was parsed.
    pub found: String,
}

impl FromStr for Burst {
    type Err = ParseBurstError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseBurstError {
            found: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<Burst> {
    let (queue, rest) = match text.split_once(':') {
        Some((queue, rest)) => (Some(queue.parse().ok()?), rest),
        None => (None, text),
    };
    let (factor, span) = rest.split_once('@')?;
    let (start_ms, length_ms) = span.split_once('+')?;
    let factor: f64 = factor.parse().ok()?;
    if !factor.is_finite() || factor < 0.0 {
        return None;
    }
    Some(Burst {
        queue,
        factor,
        start_ms: start_ms.parse().ok()?,
        length_ms: length_ms.parse().ok()?,
    })
}
