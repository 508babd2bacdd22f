//! Control bodies: `name=value` lines.

use std::fmt;
use std::str::FromStr;

/// One line of a control body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// What is set.
    pub name: &'a str,
    /// What it is set to.
    pub value: &'a str,
}

/// A control body that can't be followed; nothing of it takes effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum AssignmentError {
    /// The body is not text.
    #[error("expected name=value lines in UTF-8")]
    NotText,
    /// A line has no `=`.
    #[error("expected name=value, found {found:?}")]
    NoValue {
        /// The line.
        found: String,
    },
    /// The name is not known here.
    #[error("unknown name {found:?}; see docs/PROTOCOLS.md")]
    UnknownName {
        /// The name.
        found: String,
    },
    /// The value does not fit its name.
    #[error("{name}={found}: {problem}")]
    BadValue {
        /// The name.
        name: String,
        /// The value.
        found: String,
        /// What is wrong with it.
        problem: String,
    },
}

impl Assignment<'_> {
    /// The value, parsed.
    ///
    /// # Errors
    ///
    /// [`AssignmentError::BadValue`].
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

    /// The error for a name that is not known.
    #[must_use]
    pub fn unknown(&self) -> AssignmentError {
        AssignmentError::UnknownName {
            found: self.name.to_owned(),
        }
    }
}

/// The lines of a control body, empty ones passed over.
///
/// # Errors
///
/// A body that is not text, or a line without `=`.
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
