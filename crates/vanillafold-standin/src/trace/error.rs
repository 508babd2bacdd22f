//! Errors of writing and reading traces.

use std::io;
use std::path::{Path, PathBuf};

/// Why a trace could not be written or read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum TraceErrorKind {
    /// The file or directory could not be opened, read or written.
    #[error("{0}; check the path and its permissions")]
    Io(#[from] io::Error),
    /// A complete line is not an event.
    #[error("line {line} is not a trace event as in docs/PROTOCOLS.md: {problem}")]
    Malformed {
        /// The line's number, counted from 1.
        line: u64,
        /// The error of the JSON parser.
        problem: serde_json::Error,
    },
    /// An event could not be serialized as JSON.
    #[error("the event can't be serialized as JSON: {0}")]
    NotSerializable(serde_json::Error),
}

/// An error of writing or reading a trace, with the path concerned.
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

    /// Returns the cause of the error.
    #[must_use]
    pub fn kind(&self) -> &TraceErrorKind {
        &self.kind
    }

    /// Returns the path of the file or directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}
