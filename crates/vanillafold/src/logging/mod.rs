//! Logs: a JSON object a line on standard error.

mod logger;

pub use logger::{LogOutput, LoggingError, start_logging};
