//! A relay of TCP connections that delays, holds back or drops the bytes of either direction.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use monoio::io::{
    AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::{sleep, sleep_until};
use vanillafold_wire::Latch;

use crate::process::{Notify, accept_each, bind};

/// The most bytes that are read at once.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time between two pieces that were held back: TCP sends what a cut has lost again one segment
/// after the other, each after the acknowledgement of the one before.
const RETRANSMISSION_GAP: Duration = Duration::from_millis(25);

/// Pause before a port is listened on again.
const REBIND_PAUSE: Duration = Duration::from_millis(5);
/// How long a connection on the loopback interface may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Gate {
    /// They pass.
    #[default]
    Open,
    /// They wait until the gate opens.
    Held,
    /// They are lost, and nothing is closed.
    Dropped,
}

/// The gates of both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gates {
    /// From the process that connects.
    pub forward: Gate,
    /// To the process that connects.
    pub back: Gate,
}

impl Gates {
    /// Both directions alike.
    #[must_use]
    pub const fn both(gate: Gate) -> Self {
        Self {
            forward: gate,
            back: gate,
        }
    }

    /// Returns these gates for a connection that has had others.
    const fn after(self, earlier: Self) -> Self {
        const fn after(gate: Gate, earlier: Gate) -> Gate {
            match earlier {
                Gate::Dropped => Gate::Dropped,
                _ => gate,
            }
        }
        Self {
            forward: after(self.forward, earlier.forward),
            back: after(self.back, earlier.back),
        }
    }
}

/// What happens to new connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reachability {
    /// They are relayed.
    #[default]
    Open,
    /// They are refused, as by a port without a listener.
    Refusing,
    /// They are never established, as in a cut.
    Silent,
}

/// A relay from one process to one address.
#[derive(Debug)]
pub struct Relay {
    source: String,
    address: SocketAddr,
    destination: SocketAddr,
    /// The gates of connections that are still to come.
    gates: Cell<Gates>,
    delay_ms: Cell<u64>,
    reachability: Cell<Reachability>,
    reachability_changed: Notify,
    connections: RefCell<Vec<Weak<Connection>>>,
}

#[derive(Debug, Default)]
struct Connection {
    gates: Cell<Gates>,
    changed: Notify,
    reset: Latch,
}

impl Relay {
    /// Opens a relay, which accepts connections as long as the runtime runs.
    pub(super) fn open(
        source: &str,
        address: SocketAddr,
        destination: SocketAddr,
    ) -> io::Result<Rc<Self>> {
        let relay = Rc::new(Self {
            source: source.to_owned(),
            address,
            destination,
            gates: Cell::default(),
            delay_ms: Cell::default(),
            reachability: Cell::default(),
            reachability_changed: Notify::default(),
            connections: RefCell::default(),
        });
        let listener = bind(address)?;
        monoio::spawn(Rc::clone(&relay).serve(listener));
        Ok(relay)
    }

    /// The name of the process that connects.
    #[must_use]
    pub fn source(&self) -> &str {
        &self.source
    }

    /// Where the source connects to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the relay connects to.
    #[must_use]
    pub const fn destination(&self) -> SocketAddr {
        self.destination
    }

    /// Sets the gates of the open connections; later ones are not affected. A direction that has
    /// dropped bytes stays silent for good.
    pub fn set_open_connections(&self, gates: Gates) {
        for connection in self.open_connections() {
            connection.gates.set(gates.after(connection.gates.get()));
            connection.changed.notify_all();
        }
    }

    /// Sets the gates of connections that are still to come.
    pub fn set_later_connections(&self, gates: Gates) {
        self.gates.set(gates);
    }

    /// Sets the gates of all connections.
    pub fn set_all(&self, gates: Gates) {
        self.set_later_connections(gates);
        self.set_open_connections(gates);
    }

    /// Sets how long bytes are under way.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.set(delay_ms);
    }

    /// Sets what happens to later connections.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.reachability.set(reachability);
        self.reachability_changed.notify_all();
    }

    /// Closes the open connections; what is under way is lost.
    pub fn reset_open_connections(&self) {
        for connection in self.open_connections() {
            connection.reset.set();
        }
    }

    fn open_connections(&self) -> Vec<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let current = self.reachability.get();
            let is_changed = || self.reachability.get() != current;
            let changed = &self.reachability_changed;
            match current {
                Reachability::Open => {
                    let Ok(listener) = listener.take().map_or_else(|| bind(self.address), Ok)
                    else {
                        // An earlier listener at this port may not be closed yet.
                        sleep(REBIND_PAUSE).await;
                        continue;
                    };
                    let accepting = accept_each(&listener, |stream| {
                        monoio::spawn(Rc::clone(&self).relay_connection(stream));
                    });
                    monoio::select! {
                        () = accepting => {}
                        () = changed.wait_until(is_changed) => {}
                    }
                }
                Reachability::Refusing => {
                    changed.wait_until(is_changed).await;
                }
                Reachability::Silent => {
                    let Ok(_full) = FullListener::bind(self.address) else {
                        sleep(REBIND_PAUSE).await;
                        continue;
                    };
                    changed.wait_until(is_changed).await;
                }
            }
        }
    }

    async fn relay_connection(self: Rc<Self>, source: TcpStream) {
        let Ok(destination) = TcpStream::connect_addr(self.destination).await else {
            return;
        };
        let connection = Rc::new(Connection::default());
        connection.gates.set(self.gates.get());
        self.connections
            .borrow_mut()
            .push(Rc::downgrade(&connection));
        // Setting the option fails only if the connection has been closed; the first read reports
        // that.
        let _ = source.set_nodelay(true);
        let _ = destination.set_nodelay(true);
        let (source_read, source_write) = source.into_split();
        let (destination_read, destination_write) = destination.into_split();
        let forward = Flow::new(&self, &connection, |gates| gates.forward);
        let back = Flow::new(&self, &connection, |gates| gates.back);
        // Each future returns its half, so that no stream is closed before all have ended.
        let relayed = async {
            monoio::join!(
                forward.read(source_read),
                forward.write(destination_write),
                back.read(destination_read),
                back.write(source_write),
            )
        };
        connection.reset.run_until_set(relayed).await;
    }
}

/// A listener whose queue of new connections is full, so that further ones get no answer.
struct FullListener {
    _listener: TcpListener,
    _queued: std::net::TcpStream,
}

impl FullListener {
    fn bind(address: SocketAddr) -> io::Result<Self> {
        let options = ListenerOpts::new().reuse_port(false).backlog(0);
        let listener = TcpListener::bind_with_config(address, &options)?;
        // A backlog of 0 has room for one connection.
        let queued = std::net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        Ok(Self {
            _listener: listener,
            _queued: queued,
        })
    }
}

/// A piece of the bytes of one direction; empty at their end.
#[derive(Debug)]
struct Piece {
    bytes: Vec<u8>,
    due: Instant,
}

/// One direction of a connection.
struct Flow<'a> {
    relay: &'a Relay,
    connection: &'a Connection,
    gate: fn(Gates) -> Gate,
    pieces: RefCell<VecDeque<Piece>>,
    arrived: Notify,
}

impl<'a> Flow<'a> {
    fn new(relay: &'a Relay, connection: &'a Connection, gate: fn(Gates) -> Gate) -> Self {
        Self {
            relay,
            connection,
            gate,
            pieces: RefCell::default(),
            arrived: Notify::default(),
        }
    }

    /// Reads to the end of the stream, also while the gate is held: a reset by the sender loses
    /// what is under way.
    async fn read(&self, mut half: OwnedReadHalf<TcpStream>) -> OwnedReadHalf<TcpStream> {
        loop {
            let (result, mut bytes) = half.read(vec![0; BUFFER_BYTES]).await;
            let Ok(length) = result else {
                self.connection.reset.set();
                return half;
            };
            bytes.truncate(length);
            let due = Instant::now() + Duration::from_millis(self.relay.delay_ms.get());
            self.pieces.borrow_mut().push_back(Piece { bytes, due });
            self.arrived.notify_all();
            if length == 0 {
                return half;
            }
        }
    }

    async fn write(&self, mut half: OwnedWriteHalf<TcpStream>) -> OwnedWriteHalf<TcpStream> {
        let mut retransmits = false;
        loop {
            let Some(piece) = self.pieces.borrow_mut().pop_front() else {
                retransmits = false;
                self.arrived.changed().await;
                continue;
            };
            sleep_until(piece.due.into()).await;
            retransmits |= self.wait_for_gate().await;
            let is_end = piece.bytes.is_empty();
            let written = match self.gate() {
                Gate::Dropped => Ok(()),
                _ if is_end => half.shutdown().await,
                _ => half.write_all(piece.bytes).await.0.map(|_| ()),
            };
            match written {
                Ok(()) if is_end => return half,
                Ok(()) if retransmits => sleep(RETRANSMISSION_GAP).await,
                Ok(()) => {}
                Err(_) => {
                    self.connection.reset.set();
                    return half;
                }
            }
        }
    }

    fn gate(&self) -> Gate {
        (self.gate)(self.connection.gates.get())
    }

    /// Waits until the gate is not held; returns whether it was.
    async fn wait_for_gate(&self) -> bool {
        let was_held = self.gate() == Gate::Held;
        let changed = &self.connection.changed;
        changed.wait_until(|| self.gate() != Gate::Held).await;
        was_held
    }
}
