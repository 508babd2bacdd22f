//! Logging: one JSON object per line on standard error or standard output.

mod bounded;
mod line;
mod logger;

pub use logger::{LogOutput, LoggingError, bounded_logger, start_logging};
