//! Counters: one for each result, refusal and retry reason.

mod counters;

pub(crate) use counters::Counters;
