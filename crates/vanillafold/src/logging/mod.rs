//! Logs: a JSON object a line on standard error or standard output.

mod line;
mod logger;

pub use logger::{LogOutput, LoggingError, start_logging};
