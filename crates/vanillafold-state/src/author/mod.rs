//! What became of each author's last records.

mod ledger;
mod outcome;

pub(crate) use ledger::{Ledger, Lookup};
pub(crate) use outcome::Fingerprint;
pub use outcome::{Outcome, Verdict};

/// How many outcomes are kept for each author and stream.
pub const OUTCOMES_PER_AUTHOR: usize = 64;

/// How long an outcome is kept at least, and how late a record may land, in offsets of its stream.
pub const RECORD_WINDOW: u64 = 8_192;
