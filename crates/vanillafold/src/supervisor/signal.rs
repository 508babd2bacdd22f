//! The signal to stop, without a thread: the handler writes to a socket that is read here.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Notes SIGTERM and SIGINT.
#[derive(Debug)]
pub(crate) struct StopSignal {
    stream: UnixStream,
}

impl StopSignal {
    /// Starts noting signals.
    pub(crate) fn install() -> io::Result<Self> {
        let (read, write) = StdUnixStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        pipe::register(SIGINT, write.try_clone()?)?;
        pipe::register(SIGTERM, write)?;
        Ok(Self {
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Waits for a signal.
    pub(crate) async fn received(&mut self) {
        // An end or an error of the socket would mean that no signal can come any more.
        let _ = self.stream.read(vec![0_u8; 1]).await;
    }
}
