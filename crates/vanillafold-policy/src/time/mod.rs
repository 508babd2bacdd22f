//! Time as the decisions see it.

mod monotonic;

pub use monotonic::MonotonicMillis;
