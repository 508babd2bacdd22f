//! Logs: a JSON object a line on standard error or standard output.

mod bounded;
mod line;
mod logger;

pub use logger::{LogOutput, LoggingError, bounded_logger, start_logging};
