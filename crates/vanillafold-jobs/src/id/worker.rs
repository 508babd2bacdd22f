//! Worker ids.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use super::IdError;

/// The id under which a worker registers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(Rc<str>);

impl WorkerId {
    /// Returns the id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for WorkerId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.is_empty() {
            false => Ok(Self(Rc::from(text))),
            true => Err(IdError {
                expected: "a worker id",
                found: String::new(),
            }),
        }
    }
}
