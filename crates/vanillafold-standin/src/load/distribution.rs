//! Distributions of numbers that vary from request to request, such as body sizes.

use std::str::FromStr;

use crate::process::Random;

/// The distribution of a number that varies from request to request. It is parsed from `N`,
/// `FIRST..LAST` or `exp:MEAN`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Always the same number.
    Constant(u64),
    /// Each number from `first` to `last`, both included, with the same probability.
    Uniform {
        /// The smallest number.
        first: u64,
        /// The largest number.
        last: u64,
    },
    /// Exponentially distributed, rounded down to a whole number.
    Exponential {
        /// The mean before rounding.
        mean: u64,
    },
}

impl Distribution {
    /// Draws a number.
    pub fn sample(&self, random: &mut Random) -> u64 {
        match *self {
            Self::Constant(value) => value,
            Self::Uniform { first, last } => first + random.next_u64() % (last - first + 1),
            Self::Exponential { mean } => (random.exponential() * mean as f64) as u64,
        }
    }
}

/// The error for a text that is not a valid [`Distribution`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected N, FIRST..LAST or exp:MEAN, found {found:?}")]
pub struct ParseDistributionError {
    /// The text that was parsed.
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
            // The number of values, `last - first + 1`, must not overflow.
            (first <= last && last < u64::MAX).then_some(Distribution::Uniform { first, last })
        }
        None => text.parse().ok().map(Distribution::Constant),
    }
}
