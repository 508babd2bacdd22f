//! The logger, set up once by the program.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use log::LevelFilter;

use super::line::write_line;

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
#[error("can't start logging: {0}")]
pub struct LoggingError(#[from] FlexiLoggerError);

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    StandardError,
    /// Standard output.
    StandardOutput,
}

/// Starts writing JSON lines of `level` and above, without a thread.
///
/// The handle must be kept for as long as logs are wanted.
///
/// # Errors
///
/// [`LoggingError`] if a logger is set already.
pub fn start_logging(level: LevelFilter, output: LogOutput) -> Result<LoggerHandle, LoggingError> {
    let logger = Logger::with(level).format(write_line);
    let handle = match output {
        LogOutput::StandardError => logger.log_to_stderr().start()?,
        LogOutput::StandardOutput => logger.log_to_stdout().start()?,
    };
    Ok(handle)
}
