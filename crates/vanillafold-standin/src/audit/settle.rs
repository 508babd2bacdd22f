//! The time within which a change must take effect at every process.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

const US_PER_MS: u64 = 1_000;
const DEFAULT_SETTLE_MS: u64 = 5_000;

/// The time within which a change must take effect at every process, 5 s by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleTime {
    us: u64,
}

impl SettleTime {
    /// Creates a settle time from milliseconds.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self {
            us: ms.saturating_mul(US_PER_MS),
        }
    }

    /// Returns the last time at which a value that was replaced at `at_us` may still be in force.
    pub(crate) const fn end_us(self, at_us: u64) -> u64 {
        at_us.saturating_add(self.us)
    }

    /// Returns the time of the earliest change that may not have taken effect everywhere at
    /// `at_us`.
    pub(crate) const fn begin_us(self, at_us: u64) -> u64 {
        at_us.saturating_sub(self.us)
    }
}

impl Default for SettleTime {
    fn default() -> Self {
        Self::from_ms(DEFAULT_SETTLE_MS)
    }
}

impl fmt::Display for SettleTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.us / US_PER_MS)
    }
}

impl FromStr for SettleTime {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("ms").unwrap_or(text);
        digits.parse().map(Self::from_ms)
    }
}
