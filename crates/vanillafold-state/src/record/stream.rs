//! The two streams of the log.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Stream {
    /// The changes of the catalogue, published by operators.
    Catalogue,
    /// The moves of VMs, changes of the roster and snapshots, written by daemons.
    Control,
}

/// The error for a text that is not the name of a [`Stream`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected catalogue or control, found {found:?}")]
pub struct ParseStreamError {
    /// The text that could not be parsed.
    pub found: String,
}

impl Stream {
    /// Both streams, in the order in which [`State::digest`](crate::State::digest) hashes their
    /// digests.
    pub const ALL: [Self; 2] = [Self::Catalogue, Self::Control];

    /// Returns the stream's name in the platform's API.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Catalogue => "catalogue",
            Self::Control => "control",
        }
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Stream {
    type Err = ParseStreamError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "catalogue" => Ok(Self::Catalogue),
            "control" => Ok(Self::Control),
            _ => Err(ParseStreamError {
                found: text.to_owned(),
            }),
        }
    }
}
