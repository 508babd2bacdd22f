//! Numbers that order owners and runs.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

use super::IdError;

/// Bits of a run number that count within one epoch.
const RUN_BITS: u32 = 20;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The number.
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
    /// Which ownership of a shard this is; a later one has a larger number. It fences records
    /// in the store and orders at workers.
    Epoch,
    "an epoch"
);
number!(
    /// Which start of a task this is; a later start has a larger number, over all owners.
    RunNumber,
    "a run number"
);

impl RunNumber {
    /// The number that follows this one for an owner of `epoch`. Numbers of a later epoch are
    /// larger than all numbers of an earlier one, so that none needs to be stored.
    #[must_use]
    pub fn next(self, epoch: Epoch) -> Self {
        Self((self.0 + 1).max((epoch.0 << RUN_BITS) + 1))
    }
}
