//! The error type of the rig.

use std::io;

/// An operation of the rig that failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RigError {
    /// A file or process operation failed.
    #[error("{operation}: {source}")]
    Io {
        /// The operation, such as `writing PATH`.
        operation: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process did not print its `ready` line.
    #[error("{process} did not become ready: {reason}")]
    NotReady {
        /// The name of the process.
        process: String,
        /// Why the line was not read.
        reason: String,
    },
    /// A process rejected a request, failed, or did not reach an expected state in time.
    #[error("{operation}: {reason}")]
    Failed {
        /// The operation, such as a command or an HTTP request.
        operation: String,
        /// Why it failed: the process's error text, an HTTP status or a time-out.
        reason: String,
    },
    /// The user interrupted the program.
    #[error("interrupted")]
    Interrupted,
}

impl RigError {
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let operation = operation.into();
        move |source| Self::Io { operation, source }
    }
}
