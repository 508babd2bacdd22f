//! A link, and the relaying of the connections through it.

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

/// The most bytes that are read and relayed at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A relay from one address to another, and its mode.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) forward_address: SocketAddr,
    mode: Cell<LinkMode>,
    delay_ms: Cell<Millis>,
    /// Incremented whenever a mode silences the open connections; a connection of an earlier
    /// generation stays silent for good.
    generation: Cell<u64>,
    connections: Cell<u64>,
    changed: Notify,
}

impl Link {
    pub(crate) fn new(address: SocketAddr, forward_address: SocketAddr) -> Self {
        Self {
            address,
            forward_address,
            mode: Cell::default(),
            delay_ms: Cell::new(Millis::new(100)),
            generation: Cell::default(),
            connections: Cell::default(),
            changed: Notify::default(),
        }
    }

    /// Returns how many connections are open now, silent ones included.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.get()
    }

    pub(crate) fn delay_ms(&self) -> Millis {
        self.delay_ms.get()
    }

    pub(crate) fn mode(&self) -> LinkMode {
        self.mode.get()
    }

    pub(crate) fn configure(&self, mode: LinkMode, delay_ms: Millis) {
        self.delay_ms.set(delay_ms);
        if matches!(mode, LinkMode::Silent | LinkMode::Forget) {
            self.generation.set(self.generation.get() + 1);
        }
        self.mode.set(mode);
        self.changed.notify_all();
    }

    /// Relays a connection until both its ends have closed, or as the mode says.
    pub(crate) async fn relay_connection(self: Rc<Self>, caller: TcpStream) {
        self.connections.set(self.connections.get() + 1);
        match self.mode.get() {
            LinkMode::Refuse => {}
            LinkMode::Silent => discard_until_closed(caller).await,
            _ => self.connect_and_relay(caller).await,
        }
        self.connections.set(self.connections.get() - 1);
    }

    async fn connect_and_relay(&self, caller: TcpStream) {
        let generation = self.generation.get();
        let Ok(destination) = TcpStream::connect_addr(self.forward_address).await else {
            return;
        };
        // Setting the option fails only if the connection has been closed; the first read reports
        // that.
        let _ = caller.set_nodelay(true);
        let _ = destination.set_nodelay(true);
        let (caller_read, caller_write) = caller.into_split();
        let (destination_read, destination_write) = destination.into_split();
        let to_destination = Flow {
            link: self,
            generation,
            from: caller_read,
            to: destination_write,
        };
        let to_caller = Flow {
            link: self,
            generation,
            from: destination_read,
            to: caller_write,
        };
        // Each direction keeps its streams until both directions have ended: a stream that was
        // dropped earlier would show its peer a close that the link does not relay.
        let _flows = monoio::join!(to_destination.run(), to_caller.run());
    }
}

/// One direction of a relayed connection.
struct Flow<'a> {
    link: &'a Link,
    generation: u64,
    from: OwnedReadHalf<TcpStream>,
    to: OwnedWriteHalf<TcpStream>,
}

impl Flow<'_> {
    async fn run(mut self) -> Self {
        let mut buffer = vec![0_u8; BUFFER_BYTES];
        loop {
            let (result, read) = self.from.read(buffer).await;
            let length = result.unwrap_or(0);
            self.wait_for_delay_and_hold().await;
            let written = match self.is_silent() {
                true => Ok(read),
                false => self.forward(read, length).await,
            };
            buffer = match written {
                Ok(buffer) if length > 0 => buffer,
                _ => return self,
            };
        }
    }

    /// Writes the first `length` bytes of `read`, or ends the direction if `length` is 0.
    async fn forward(&mut self, read: Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
        if length == 0 {
            self.to.shutdown().await?;
            return Ok(read);
        }
        let (result, slice) = self.to.write_all(read.slice(..length)).await;
        result.map(|_| slice.into_inner())
    }

    async fn wait_for_delay_and_hold(&self) {
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

/// Reads and discards bytes until the peer closes.
async fn discard_until_closed(mut stream: TcpStream) {
    let mut buffer = vec![0_u8; BUFFER_BYTES];
    loop {
        let (result, read) = stream.read(buffer).await;
        if result.unwrap_or(0) == 0 {
            return;
        }
        buffer = read;
    }
}
