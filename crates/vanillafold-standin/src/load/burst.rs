//! Times of another rate.

use std::str::FromStr;

use vanillafold_types::QueueId;

const MS_PER_S: f64 = 1_000.0;

/// A time in which a queue, or each queue, gets a multiple of its rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// The queue; all of them without it.
    pub queue: Option<QueueId>,
    /// The multiple.
    pub factor: f64,
    /// From when, in milliseconds of the run.
    pub start_ms: u64,
    /// For how long.
    pub length_ms: u64,
}

impl Burst {
    /// The first second of the run that is in it, and the first that no longer is.
    pub(crate) fn span_s(&self) -> (f64, f64) {
        let start = self.start_ms as f64;
        let end = start + self.length_ms as f64;
        (start / MS_PER_S, end / MS_PER_S)
    }
}

/// The text is no [`Burst`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected [QUEUE:]FACTOR@START_MS+LENGTH_MS such as 5@1000+3000, found {found:?}")]
pub struct ParseBurstError {
    /// What was there.
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
