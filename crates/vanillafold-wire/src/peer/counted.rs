//! A TCP stream that counts the bytes it sends and receives.

use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;

use super::statistics::Traffic;

/// A [`CountedStream`] with the I/O traits that `h2` needs.
pub(crate) type CountedCompat = StreamWrapper<CountedStream>;

/// A TCP stream whose bytes are added to a [`Traffic`].
#[derive(Debug)]
pub(crate) struct CountedStream {
    tcp: TcpStream,
    traffic: Rc<Traffic>,
}

/// Wraps a connection for `h2`. Turns off Nagle's algorithm, because heartbeats must not wait for
/// further data.
pub(crate) fn wrap(tcp: TcpStream, traffic: Rc<Traffic>) -> io::Result<CountedCompat> {
    tcp.set_nodelay(true)?;
    Ok(StreamWrapper::new(CountedStream { tcp, traffic }))
}

fn count(result: &io::Result<usize>) -> u64 {
    result.as_ref().map_or(0, |bytes| *bytes as u64)
}

impl AsyncReadRent for CountedStream {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.tcp.read(buf).await;
        self.traffic.add_received(count(&result));
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.tcp.readv(buf).await;
        self.traffic.add_received(count(&result));
        (result, buf)
    }
}

impl AsyncWriteRent for CountedStream {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.tcp.write(buf).await;
        self.traffic.add_sent(count(&result));
        (result, buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.tcp.writev(buf).await;
        self.traffic.add_sent(count(&result));
        (result, buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.tcp.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.tcp.shutdown().await
    }
}
