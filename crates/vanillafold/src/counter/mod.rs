//! The metrics of the request path, and the count of failures outside it.

mod counters;

pub(crate) use counters::Counters;
