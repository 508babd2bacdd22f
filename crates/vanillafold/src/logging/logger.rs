//! Sets up the logger of a program.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle};
use log::LevelFilter;

use super::bounded::BoundedWriter;
use super::line::write_line;

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoggingError {
    /// The logger could not be set up, for example because one is set already.
    #[error("can't start logging: {0}")]
    Logger(#[from] FlexiLoggerError),
    /// The output could not be made non-blocking.
    #[error("can't use the output of the log: {0}")]
    Output(#[from] std::io::Error),
}

/// The output to which log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error, which may block.
    StandardError,
    /// Standard output, without blocking and with a limit on the rate of lines.
    StandardOutput,
}

/// Sets the global logger, which writes records of `level` and above as JSON lines. It needs no
/// thread.
///
/// Logging ends when the returned handle is dropped.
///
/// # Errors
///
/// [`LoggingError`] if a logger is set already or the output can't be used.
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

/// Creates a logger that writes JSON lines to `output` and never waits for its reader: lines beyond
/// a limit are dropped, and a later line gives their number. For programs with a logger of their
/// own.
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
