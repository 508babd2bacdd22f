//! The time type that callers pass to decisions, and the dating of input.

mod arrival;
mod monotonic;

pub use arrival::{ARRIVAL_TICK_MS, ArrivalClock, ConnectionClock};
pub use monotonic::MonotonicMillis;
