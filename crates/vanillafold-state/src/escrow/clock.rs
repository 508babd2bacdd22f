//! Time as the escrow counts it.

use std::fmt;

use vanillafold_types::Millis;

/// Milliseconds since the VM booted, suspended time included (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootMillis(u64);

impl BootMillis {
    /// Wraps a number of milliseconds.
    #[must_use]
    pub const fn new(since_boot_ms: u64) -> Self {
        Self(since_boot_ms)
    }

    /// The number of milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The moment `span` before this one; `None` if the VM hadn't booted then.
    #[must_use]
    pub const fn before(self, span: Millis) -> Option<Self> {
        match self.0.checked_sub(span.get()) {
            Some(since_boot_ms) => Some(Self(since_boot_ms)),
            None => None,
        }
    }

    /// How long ago `earlier` was; 0 if it lies ahead.
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
