//! The metrics of the request path.

mod counters;

pub(crate) use counters::Counters;
