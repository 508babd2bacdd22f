//! The outcome of a request: answered, not run, or possibly run.

use std::fmt;
use std::str::FromStr;

/// How a request ended. Each request has exactly one of these outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target answered, and the caller gets its whole answer.
    Answer,
    /// The work did not run and will not run, so the caller may send the request again.
    NotRun,
    /// The work may have run or may still be running.
    MayHaveRun,
}

/// The error of parsing a text that is no [`Outcome`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected answer, not-run or may-have-run, found {found:?}")]
pub struct ParseOutcomeError {
    /// The text that was found.
    pub found: String,
}

impl Outcome {
    /// Returns the outcome as it is written in the `Vf-Outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = ParseOutcomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "answer" => Ok(Self::Answer),
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            _ => Err(ParseOutcomeError {
                found: text.to_owned(),
            }),
        }
    }
}
