//! A conversation with the platform's log: read, publish, learn what became of it.

mod publisher;

pub(crate) use publisher::{Publisher, SessionError};
