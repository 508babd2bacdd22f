//! The logger, set up once by the program.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use log::LevelFilter;

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
#[error("can't start logging: {0}")]
pub struct LoggingError(#[from] FlexiLoggerError);

/// Starts writing JSON lines of `level` and above to standard error, without a thread.
///
/// The handle must be kept for as long as logs are wanted.
///
/// # Errors
///
/// [`LoggingError`] if a logger is set already.
pub fn start_logging(level: LevelFilter) -> Result<LoggerHandle, LoggingError> {
    let handle = Logger::with(level)
        .format(flexi_logger::json_format)
        .log_to_stderr()
        .start()?;
    Ok(handle)
}
