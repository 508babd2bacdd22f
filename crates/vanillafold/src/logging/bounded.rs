//! A log writer that never blocks and limits the rate of lines.

use std::cell::RefCell;
use std::fmt;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use super::line::write_line;

/// Maximum number of lines per second: enough for about ten for each request of a usual burst, and
/// few enough to cost little CPU time.
const LINES_PER_SECOND: u32 = 400;
/// Maximum number of bytes buffered for a reader that has stopped. Lines beyond it are dropped and
/// counted.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Writes log lines without ever waiting for their reader.
pub(crate) struct BoundedWriter<W> {
    state: Mutex<RefCell<State<W>>>,
}

struct State<W> {
    out: W,
    buffer: Vec<u8>,
    second_started_at: Instant,
    lines: u32,
    suppressed: u64,
}

impl<W> fmt::Debug for BoundedWriter<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedWriter").finish_non_exhaustive()
    }
}

impl<W: Write + AsFd> BoundedWriter<W> {
    /// Creates a writer to `out`, which is made non-blocking.
    ///
    /// # Errors
    ///
    /// The system's error if `out` can't be made non-blocking.
    pub(crate) fn new(out: W) -> io::Result<Self> {
        let flags = fcntl_getfl(out.as_fd())?;
        fcntl_setfl(out.as_fd(), flags | OFlags::NONBLOCK)?;
        Ok(Self {
            state: Mutex::new(RefCell::new(State {
                out,
                buffer: Vec::new(),
                second_started_at: Instant::now(),
                lines: 0,
                suppressed: 0,
            })),
        })
    }
}

impl<W: Write> State<W> {
    /// Buffers a line, or counts it as suppressed if a limit is reached. The first line after
    /// suppressed ones is preceded by a line with their count.
    fn add(&mut self, line: &[u8]) {
        if self.second_started_at.elapsed() >= Duration::from_secs(1) {
            self.second_started_at = Instant::now();
            self.lines = 0;
        }
        let is_full = self.buffer.len() + line.len() > MAX_BUFFERED_BYTES;
        if is_full || self.lines >= LINES_PER_SECOND {
            self.suppressed += 1;
            return;
        }
        if self.suppressed > 0 {
            let notice = format!(
                "{{\"level\":\"WARN\",\"module\":\"logging\",\"event\":\"lines suppressed\",\"count\":{}}}\n",
                self.suppressed
            );
            self.buffer.extend_from_slice(notice.as_bytes());
            self.suppressed = 0;
        }
        self.lines += 1;
        self.buffer.extend_from_slice(line);
    }

    /// Writes as much of the buffer as the output takes without blocking.
    fn write_buffered(&mut self) {
        while !self.buffer.is_empty() {
            match self.out.write(&self.buffer) {
                Ok(0) => return,
                Ok(written) => {
                    self.buffer.drain(..written);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // The reader has stopped or is gone, so the error can't be reported anywhere.
                Err(_) => return,
            }
        }
    }
}

impl<W: Write + Send + 'static> LogWriter for BoundedWriter<W> {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        let state = self.state.lock().map_err(|_| io::ErrorKind::Other)?;
        let mut state = state.borrow_mut();
        state.add(&line);
        state.write_buffered();
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let state = self.state.lock().map_err(|_| io::ErrorKind::Other)?;
        state.borrow_mut().write_buffered();
        Ok(())
    }
}
