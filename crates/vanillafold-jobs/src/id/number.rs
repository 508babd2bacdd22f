//! Numbers that order ownerships and runs.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

use super::IdError;

/// Number of low bits of a run number that count the runs within one epoch.
const RUN_BITS: u32 = 20;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
        pub struct $name(u64);

        impl $name {
            /// Creates the value from its number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| IdError {
                    expected: $expected,
                    found: text.to_owned(),
                })
            }
        }
    };
}

number!(
    /// Fencing number of an ownership of a shard; a later ownership has a larger one. The store
    /// rejects records, and workers reject orders, of an earlier epoch.
    Epoch,
    "an epoch"
);
number!(
    /// Number of a run of a task; a later run of the task has a larger one, also if another owner
    /// starts it.
    RunNumber,
    "a run number"
);

impl RunNumber {
    /// Returns the next run number for an owner of `epoch`. All numbers of a later epoch are larger
    /// than those of an earlier one, so run numbers need not be stored.
    #[must_use]
    pub fn next(self, epoch: Epoch) -> Self {
        let first = epoch.0.saturating_mul(1 << RUN_BITS).saturating_add(1);
        Self(self.0.saturating_add(1).max(first))
    }
}
