//! The time type that callers pass to decisions.

mod monotonic;

pub use monotonic::MonotonicMillis;
