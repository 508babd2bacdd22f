//! The report of one mistake in an INI file.

use std::fmt;

/// One mistake in an INI file, with its line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The name of the file, as given to the parser.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What was found and what was expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}
