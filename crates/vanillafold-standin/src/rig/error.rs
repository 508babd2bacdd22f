//! Why a rig could not do something.

use std::io;

/// Why a rig could not do something.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RigError {
    /// A file or a process could not be handled.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system said.
        source: io::Error,
    },
    /// A process did not become ready.
    #[error("{process} did not become ready: {problem}")]
    NotReady {
        /// The process.
        process: String,
        /// What happened instead.
        problem: String,
    },
    /// A process refused what it was asked.
    #[error("{what}: {problem}")]
    Refused {
        /// What was asked.
        what: String,
        /// What it said.
        problem: String,
    },
}

impl RigError {
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |source| Self::Io { what, source }
    }
}
