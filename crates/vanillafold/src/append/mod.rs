//! Writing records to the platform's log: one at a time, repeated until they are read back.

mod writer;

pub(crate) use writer::{Change, RecordWriter, write_records};
