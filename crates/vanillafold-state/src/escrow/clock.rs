//! The clock of the escrow: milliseconds since boot.

use std::fmt;

use vanillafold_types::Millis;

/// Milliseconds since the VM booted, suspended time included (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootMillis(u64);

impl BootMillis {
    /// Creates a time from milliseconds since boot.
    #[must_use]
    pub const fn new(since_boot_ms: u64) -> Self {
        Self(since_boot_ms)
    }

    /// Returns the milliseconds since boot.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time `span` before this one, or `None` if that is before the boot.
    #[must_use]
    pub const fn before(self, span: Millis) -> Option<Self> {
        match self.0.checked_sub(span.get()) {
            Some(since_boot_ms) => Some(Self(since_boot_ms)),
            None => None,
        }
    }

    /// Returns the time elapsed since `earlier`; 0 if `earlier` is later than this time.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis::new(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for BootMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
