//! Waits for signals without a thread: the handler writes to a socket, which is read here.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Waits for any of a set of signals. Signals since the handlers were installed are not lost.
#[derive(Debug)]
pub struct SignalWatch {
    stream: UnixStream,
}

impl SignalWatch {
    /// Installs handlers of the signals to stop: SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// The system's error if a handler can't be installed.
    pub fn for_stop() -> io::Result<Self> {
        Self::install(&[SIGINT, SIGTERM])
    }

    /// Installs a handler of the signal to reload the settings: SIGHUP.
    ///
    /// # Errors
    ///
    /// The system's error if the handler can't be installed.
    pub fn for_reload() -> io::Result<Self> {
        Self::install(&[SIGHUP])
    }

    fn install(signals: &[i32]) -> io::Result<Self> {
        let (read, write) = StdUnixStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        for signal in signals {
            pipe::register(*signal, write.try_clone()?)?;
        }
        Ok(Self {
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Waits for the next signal.
    pub async fn received(&mut self) {
        // If the socket ends or fails, no signal can arrive any more; that counts as one.
        let _ = self.stream.read(vec![0_u8; 1]).await;
    }
}
