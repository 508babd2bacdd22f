//! Why a trace could not be written or read.

use std::io;
use std::path::{Path, PathBuf};

/// What failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum TraceErrorKind {
    /// The file or directory could not be opened, read or written.
    #[error("{0}; check the path and its permissions")]
    Io(#[from] io::Error),
    /// A line is whole, but is not an event.
    #[error("line {line}: expected an event of docs/PROTOCOLS.md, found: {problem}")]
    Malformed {
        /// The line, counted from 1.
        line: u64,
        /// What the JSON reader says.
        problem: serde_json::Error,
    },
    /// An event could not be put as JSON.
    #[error("the event can't be put as JSON: {0}")]
    Unwritable(serde_json::Error),
}

/// A trace that could not be written or read.
#[derive(Debug, thiserror::Error)]
#[error("trace {}: {kind}", path.display())]
pub struct TraceError {
    path: PathBuf,
    kind: TraceErrorKind,
}

impl TraceError {
    pub(crate) fn new(path: &Path, kind: impl Into<TraceErrorKind>) -> Self {
        Self {
            path: path.to_owned(),
            kind: kind.into(),
        }
    }

    /// What failed.
    #[must_use]
    pub fn kind(&self) -> &TraceErrorKind {
        &self.kind
    }

    /// The file or directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}
