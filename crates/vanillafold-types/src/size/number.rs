//! The newtypes of whole numbers, with parsing and display.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bincode::{Decode, Encode};

/// The error of parsing a number, a size, a class or a switch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, found {found:?}")]
pub struct ParseValueError {
    /// A description of the values that are accepted.
    pub expected: String,
    /// The text that was found.
    pub found: String,
}

impl ParseValueError {
    fn new(expected: impl Into<String>, found: &str) -> Self {
        Self {
            expected: expected.into(),
            found: found.to_owned(),
        }
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty), suffix $suffix:literal, up to $max:expr, $description:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
        pub struct $name($inner);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Wraps a number in this unit, without checking its range.
            #[must_use]
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the number in this unit.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($suffix).unwrap_or(text).trim_end();
                match digits.parse::<$inner>() {
                    Ok(value) if value <= $max => Ok(Self(value)),
                    _ => Err(ParseValueError::new(format!("{} from 0 to {}", $description, $max), text)),
                }
            }
        }
    };
}

number!(
    /// A number of requests that can run at the same time.
    Slots(u32), suffix "", up to 1_000_000, "a number of slots"
);
number!(
    /// A number of open TCP connections.
    Connections(u32), suffix "", up to 1_000_000, "a number of connections"
);
number!(
    /// The maximum number of requests that a team may have running in the whole fleet.
    Limit(u32), suffix "", up to 10_000_000, "a number of running requests"
);
number!(
    /// A team's weight: under full load it gets its share of the sum of all weights.
    Share(u32), suffix "", up to 1_000_000, "a weight"
);
number!(
    /// A percentage; parsing accepts 0 to 100.
    Percent(u8), suffix "%", up to 100, "a percentage"
);
number!(
    /// A duration in whole milliseconds; parsing accepts up to one day.
    Millis(u64), suffix "ms", up to 86_400_000, "milliseconds"
);
number!(
    /// The position of a record in a stream of the platform's log; the first has offset 1.
    Offset(u64), suffix "", up to u64::MAX, "an offset"
);
number!(
    /// The offset of the record that last changed a catalogue entry; 0 if none has.
    Revision(u64), suffix "", up to u64::MAX, "a revision"
);
number!(
    /// The number that an author gives to each of its records, from 1 upwards.
    Sequence(u64), suffix "", up to u64::MAX, "a sequence number"
);
number!(
    /// The number of an incarnation of a daemon or another author; a later start has a larger one.
    Incarnation(u64), suffix "", up to u64::MAX, "an incarnation"
);

impl Offset {
    /// Returns the offset that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Millis {
    /// Converts to a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Percent {
    /// Returns this percentage of `count`, rounded up.
    #[must_use]
    pub const fn of_rounded_up(self, count: u64) -> u64 {
        (count * self.0 as u64).div_ceil(100)
    }
}

/// A number of bytes, written with the unit `B`, `KiB`, `MiB` or `GiB`; none means bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ByteSize(u64);

const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl ByteSize {
    /// Wraps a number of bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = BYTE_UNITS
            .iter()
            .find(|(_, bytes)| self.0 >= *bytes && self.0.is_multiple_of(*bytes));
        match unit {
            Some((name, bytes)) => write!(f, "{}{name}", self.0 / bytes),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseValueError::new("a size such as 64KiB, 16MiB or 1GiB", text);
        let (digits, unit) = BYTE_UNITS
            .iter()
            .find_map(|(name, bytes)| text.strip_suffix(name).map(|digits| (digits, *bytes)))
            .unwrap_or((text, 1));
        let count: u64 = digits.trim_end().parse().map_err(|_| invalid())?;
        count.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}
