//! Appends this daemon's records to the platform's log, one at a time, and repeats each until it is
//! read back.

mod writer;

pub(crate) use writer::{Change, RecordWriter, write_records};
