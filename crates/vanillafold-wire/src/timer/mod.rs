//! Timeouts that allow for stalls of the process itself.

mod timeout_awake;

pub use timeout_awake::{TimedOut, timeout_awake};
