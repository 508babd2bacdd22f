//! The logger, set up once by the program.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use log::LevelFilter;

use super::bounded::BoundedWriter;
use super::line::write_line;

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoggingError {
    /// A logger is set already.
    #[error("can't start logging: {0}")]
    Logger(#[from] FlexiLoggerError),
    /// The output can't be used.
    #[error("can't use the output of the log: {0}")]
    Output(#[from] std::io::Error),
}

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
        LogOutput::StandardOutput => {
            let writer = BoundedWriter::new(std::io::stdout())?;
            logger.log_to_writer(Box::new(writer)).start()?
        }
    };
    Ok(handle)
}

/// A logger that writes JSON lines to `output` and never waits for its reader: lines beyond a
/// bound are dropped, and how many is said. For programs with a logger of their own.
///
/// # Errors
///
/// [`LoggingError`] if the output can't be used.
pub fn bounded_logger<W>(output: W) -> Result<Box<dyn log::Log>, LoggingError>
where
    W: std::io::Write + std::os::fd::AsFd + Send + 'static,
{
    let writer = BoundedWriter::new(output)?;
    let logger = Logger::with(LevelFilter::Info).log_to_writer(Box::new(writer));
    let (logger, _handle) = logger.build()?;
    Ok(logger)
}
