//! Job ids.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

/// Number of digits in a job id.
const JOB_ID_DIGITS: usize = 16;

/// Why a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, found {found:?}")]
pub struct IdError {
    /// Description of the valid form.
    pub expected: &'static str,
    /// The rejected text, possibly truncated.
    pub found: String,
}

/// The id of a job, chosen by the caller: 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct JobId(u64);

impl JobId {
    /// Returns the id as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(text, 16) {
            Ok(number) if digits && text.len() == JOB_ID_DIGITS => Ok(Self(number)),
            _ => Err(IdError {
                expected: "16 lower-case hexadecimal digits",
                found: text.chars().take(2 * JOB_ID_DIGITS).collect(),
            }),
        }
    }
}
