//! How soon work must start.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

use crate::ParseValueError;

/// How soon work must start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Class {
    /// Somebody waits for the answer.
    Urgent,
    /// Work of the day that nobody stands waiting for.
    Normal,
    /// May wait until the night.
    Overnight,
}

impl Class {
    /// The class as the catalogue writes it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Overnight => "overnight",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "overnight" => Ok(Self::Overnight),
            _ => Err(ParseValueError {
                expected: "urgent, normal or overnight".to_owned(),
                found: text.to_owned(),
            }),
        }
    }
}
