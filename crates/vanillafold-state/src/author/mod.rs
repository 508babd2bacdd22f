//! Outcomes of each author's recent records, which suppress repeated records.

mod ledger;
mod outcome;

pub(crate) use ledger::{Ledger, Lookup};
pub(crate) use outcome::Fingerprint;
pub use outcome::{Outcome, Verdict};

/// The number of outcomes that are kept for each author and stream.
pub const OUTCOMES_PER_AUTHOR: usize = 64;

/// The least time for which an outcome is kept, and the longest delay after which a record is still
/// accepted, both in offsets of the stream.
pub const RECORD_WINDOW: u64 = 8_192;
