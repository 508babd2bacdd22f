//! Counters: one for each result, refusal and retry reason.

mod counters;

pub use counters::Counters;
