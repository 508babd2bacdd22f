//! A point in time on a monotonic clock.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use vanillafold_types::Millis;

/// Milliseconds on a monotonic clock since an origin that is fixed for one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonotonicMillis(u64);

impl MonotonicMillis {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates the point that is this many milliseconds after the clock's origin.
    #[must_use]
    pub const fn new(since_origin_ms: u64) -> Self {
        Self(since_origin_ms)
    }

    /// Returns the milliseconds since the clock's origin.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis::new(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point that is `wait` later.
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
