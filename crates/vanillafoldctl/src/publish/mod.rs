//! The connection to the platform's log: reading the state, appending records, and learning whether
//! they were accepted.

mod publisher;

pub(crate) use publisher::{PublishError, Publisher, read_published};
