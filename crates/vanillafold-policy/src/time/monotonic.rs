//! A point on a clock that never goes back.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use vanillafold_types::Millis;

/// Milliseconds since a start that is fixed for one process, on a monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonotonicMillis(u64);

impl MonotonicMillis {
    /// The clock's start.
    pub const ZERO: Self = Self(0);

    /// Wraps milliseconds since the clock's start.
    #[must_use]
    pub const fn new(since_start_ms: u64) -> Self {
        Self(since_start_ms)
    }

    /// Milliseconds since the clock's start.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to this point, zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis::new(self.0.saturating_sub(earlier.0))
    }

    /// The point that is `wait` later.
    #[must_use]
    pub const fn after(self, wait: Millis) -> Self {
        Self(self.0.saturating_add(wait.get()))
    }
}

impl fmt::Display for MonotonicMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for MonotonicMillis {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("ms").unwrap_or(text).parse().map(Self)
    }
}
