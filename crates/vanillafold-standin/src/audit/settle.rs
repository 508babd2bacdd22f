//! How long a change may take to be in force everywhere.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

const US_PER_MS: u64 = 1_000;
const DEFAULT_SETTLE_MS: u64 = 5_000;

/// How long a change may take to be in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleTime {
    us: u64,
}

impl SettleTime {
    /// A time in milliseconds.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self {
            us: ms.saturating_mul(US_PER_MS),
        }
    }

    /// The last time at which what was changed at `at_us` may still be in force.
    pub(crate) const fn end_us(self, at_us: u64) -> u64 {
        at_us.saturating_add(self.us)
    }

    /// The earliest change that may still be unknown somewhere at `at_us`.
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
