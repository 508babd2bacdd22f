//! The urgency class of catalogue entries.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

use crate::ParseValueError;

/// How soon the work of a pool, team or queue must start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Class {
    /// Somebody is waiting for the answer.
    Urgent,
    /// The work is needed during the day, but nobody is waiting for the answer.
    Normal,
    /// The work may wait until the night.
    Overnight,
}

impl Class {
    /// Returns the class as it is written in the catalogue.
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
