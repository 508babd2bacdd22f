//! One thing that is wrong in a file.

use std::fmt;

/// One thing that is wrong in an INI file, with its place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The file as its reader named it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What was wrong, what was expected and what to try.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}
