//! Signals without a thread: the handler writes to a socket that is read here.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Notes signals of one kind.
#[derive(Debug)]
pub struct SignalWatch {
    stream: UnixStream,
}

impl SignalWatch {
    /// Starts noting the orders to stop: SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// What the system says if a handler can't be set.
    pub fn for_stop() -> io::Result<Self> {
        Self::install(&[SIGINT, SIGTERM])
    }

    /// Starts noting the order to read the settings again: SIGHUP.
    ///
    /// # Errors
    ///
    /// What the system says if a handler can't be set.
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

    /// Waits for a signal.
    pub async fn received(&mut self) {
        // An end or an error of the socket would mean that no signal can come any more.
        let _ = self.stream.read(vec![0_u8; 1]).await;
    }
}
