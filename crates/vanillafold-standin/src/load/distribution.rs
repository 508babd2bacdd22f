//! Numbers that vary from request to request.

use std::str::FromStr;

use crate::process::Random;

/// How a number varies from request to request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Always the same.
    Constant(u64),
    /// Each from the first to the last alike.
    Uniform {
        /// The least.
        first: u64,
        /// The most.
        last: u64,
    },
    /// Exponential, rounded down.
    Exponential {
        /// The mean.
        mean: u64,
    },
}

impl Distribution {
    /// The next number.
    pub fn sample(&self, random: &mut Random) -> u64 {
        match *self {
            Self::Constant(value) => value,
            Self::Uniform { first, last } => first + random.next_u64() % (last - first + 1),
            Self::Exponential { mean } => (random.exponential() * mean as f64) as u64,
        }
    }
}

/// The text is no [`Distribution`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected N, FIRST..LAST or exp:MEAN, found {found:?}")]
pub struct ParseDistributionError {
    /// What was there.
    pub found: String,
}

impl FromStr for Distribution {
    type Err = ParseDistributionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseDistributionError {
            found: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<Distribution> {
    if let Some(mean) = text.strip_prefix("exp:") {
        let mean = mean.parse().ok()?;
        return Some(Distribution::Exponential { mean });
    }
    match text.split_once("..") {
        Some((first, last)) => {
            let (first, last) = (first.parse().ok()?, last.parse().ok()?);
            // The width must fit as well.
            (first <= last && last < u64::MAX).then_some(Distribution::Uniform { first, last })
        }
        None => text.parse().ok().map(Distribution::Constant),
    }
}
