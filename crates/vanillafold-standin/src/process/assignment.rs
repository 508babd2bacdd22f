//! Parsing of control bodies, which consist of `name=value` lines.

use std::fmt;
use std::str::FromStr;

/// One line of a control body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// The name of the setting.
    pub name: &'a str,
    /// The new value, as text.
    pub value: &'a str,
}

/// The error for an invalid control body. No line of such a body takes effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum AssignmentError {
    /// The body is not valid UTF-8.
    #[error("expected name=value lines in UTF-8")]
    NotText,
    /// A line has no `=`.
    #[error("expected name=value, found {found:?}")]
    NoValue {
        /// The text of the line.
        found: String,
    },
    /// This stand-in has no setting of this name.
    #[error("unknown name {found:?}; see docs/PROTOCOLS.md")]
    UnknownName {
        /// The name in the line.
        found: String,
    },
    /// The value is not valid for the setting.
    #[error("{name}={found}: {problem}")]
    BadValue {
        /// The name of the setting.
        name: String,
        /// The value in the line.
        found: String,
        /// The parse error.
        problem: String,
    },
}

impl Assignment<'_> {
    /// Parses the value.
    ///
    /// # Errors
    ///
    /// [`AssignmentError::BadValue`] with the parse error's text.
    pub fn parse<T>(&self) -> Result<T, AssignmentError>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.value
            .parse()
            .map_err(|error: T::Err| AssignmentError::BadValue {
                name: self.name.to_owned(),
                found: self.value.to_owned(),
                problem: error.to_string(),
            })
    }

    /// Returns the error for a name that the stand-in does not know.
    #[must_use]
    pub fn unknown(&self) -> AssignmentError {
        AssignmentError::UnknownName {
            found: self.name.to_owned(),
        }
    }
}

/// Parses the lines of a control body. Empty lines are skipped.
///
/// # Errors
///
/// [`AssignmentError::NotText`] if the body is not UTF-8, [`AssignmentError::NoValue`] if a line has no
/// `=`.
pub fn parse_assignments(body: &[u8]) -> Result<Vec<Assignment<'_>>, AssignmentError> {
    let text = std::str::from_utf8(body).map_err(|_| AssignmentError::NotText)?;
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .map(|line| match line.split_once('=') {
            Some((name, value)) => Ok(Assignment { name, value }),
            None => Err(AssignmentError::NoValue {
                found: line.to_owned(),
            }),
        })
        .collect()
}
