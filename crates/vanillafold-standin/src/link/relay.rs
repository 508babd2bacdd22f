//! One link and the connections through it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::buf::IoBuf;
use monoio::io::{
    AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
};
use monoio::net::TcpStream;
use monoio::time::sleep;
use vanillafold_types::Millis;

use super::LinkMode;
use crate::process::Notify;

/// The largest piece that is passed on at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// One link.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) to: SocketAddr,
    mode: Cell<LinkMode>,
    delay_ms: Cell<Millis>,
    /// Connections of an earlier generation are silent for good.
    generation: Cell<u64>,
    connections: Cell<u64>,
    changed: Notify,
}

impl Link {
    pub(crate) fn new(address: SocketAddr, to: SocketAddr) -> Self {
        Self {
            address,
            to,
            mode: Cell::default(),
            delay_ms: Cell::new(Millis::new(100)),
            generation: Cell::default(),
            connections: Cell::default(),
            changed: Notify::default(),
        }
    }

    /// Connections that are open now, silent ones included.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.get()
    }

    pub(crate) fn delay_ms(&self) -> Millis {
        self.delay_ms.get()
    }

    pub(crate) fn mode(&self) -> LinkMode {
        self.mode.get()
    }

    pub(crate) fn set(&self, mode: LinkMode, delay_ms: Millis) {
        self.delay_ms.set(delay_ms);
        if matches!(mode, LinkMode::Silent | LinkMode::Forget) {
            self.generation.set(self.generation.get() + 1);
        }
        self.mode.set(mode);
        self.changed.notify_all();
    }

    /// Relays a connection until both its ends have closed.
    pub(crate) async fn relay(self: Rc<Self>, caller: TcpStream) {
        self.connections.set(self.connections.get() + 1);
        match self.mode.get() {
            LinkMode::Refuse => {}
            LinkMode::Silent => discard(caller).await,
            _ => self.connect(caller).await,
        }
        self.connections.set(self.connections.get() - 1);
    }

    async fn connect(&self, caller: TcpStream) {
        let generation = self.generation.get();
        let Ok(target) = TcpStream::connect_addr(self.to).await else {
            return;
        };
        // Both fail on a connection that is gone already, which the first read shows.
        let _ = caller.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let (caller_read, caller_write) = caller.into_split();
        let (target_read, target_write) = target.into_split();
        let there = Flow {
            link: self,
            generation,
            from: caller_read,
            to: target_write,
        };
        let back = Flow {
            link: self,
            generation,
            from: target_read,
            to: caller_write,
        };
        // Kept until both have ended, so that neither end learns of a close that is not passed on.
        let _both = monoio::join!(there.run(), back.run());
    }
}

/// One direction of a connection.
struct Flow<'a> {
    link: &'a Link,
    generation: u64,
    from: OwnedReadHalf<TcpStream>,
    to: OwnedWriteHalf<TcpStream>,
}

impl Flow<'_> {
    async fn run(mut self) -> Self {
        let mut buffer = vec![0_u8; PIECE_BYTES];
        loop {
            let (result, read) = self.from.read(buffer).await;
            let length = result.unwrap_or(0);
            self.delay().await;
            let written = match self.is_silent() {
                true => Ok(read),
                false => self.pass_on(read, length).await,
            };
            buffer = match written {
                Ok(buffer) if length > 0 => buffer,
                _ => return self,
            };
        }
    }

    /// Passes on a piece, or the end if it is empty.
    async fn pass_on(&mut self, read: Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
        if length == 0 {
            self.to.shutdown().await?;
            return Ok(read);
        }
        let (result, slice) = self.to.write_all(read.slice(..length)).await;
        result.map(|_| slice.into_inner())
    }

    async fn delay(&self) {
        let link = self.link;
        if link.mode.get() == LinkMode::Slow {
            sleep(link.delay_ms.get().duration()).await;
        }
        link.changed
            .wait_until(|| link.mode.get() != LinkMode::Hold)
            .await;
    }

    fn is_silent(&self) -> bool {
        self.generation != self.link.generation.get()
    }
}

/// Reads and drops until the peer closes.
async fn discard(mut stream: TcpStream) {
    let mut buffer = vec![0_u8; PIECE_BYTES];
    loop {
        let (result, read) = stream.read(buffer).await;
        if result.unwrap_or(0) == 0 {
            return;
        }
        buffer = read;
    }
}
