//! Why a rig could not do something.

use std::io;

/// Why a rig could not do something.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RigError {
    /// A file or a process could not be handled.
    #[error("{operation}: {source}")]
    Io {
        /// What was tried.
        operation: String,
        /// What the system said.
        source: io::Error,
    },
    /// A process did not become ready.
    #[error("{process} did not become ready: {reason}")]
    NotReady {
        /// The process.
        process: String,
        /// What happened instead.
        reason: String,
    },
    /// A process refused what it was asked.
    #[error("{operation}: {reason}")]
    Failed {
        /// What was asked.
        operation: String,
        /// What it said.
        reason: String,
    },
}

impl RigError {
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let operation = operation.into();
        move |source| Self::Io { operation, source }
    }
}
