//! A TCP relay in front of a daemon that can hold back what its connections carry.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;

/// Size of a read from a connection, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Time between the deliveries of two pieces that were held back.
const PIECE_INTERVAL: Duration = Duration::from_millis(20);

/// State that the relay shares with its connections.
#[derive(Debug, Default)]
struct RelayState {
    /// Connections with a lower number are held: what they carry to the daemon waits.
    held_below: Cell<usize>,
    accepted: Cell<usize>,
    /// Connections that have delivered what was held back.
    delivered: Cell<usize>,
    /// Whether new connections are closed at once.
    refuses: Cell<bool>,
    held: RefCell<Vec<usize>>,
}

/// A relay to one daemon.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    state: Rc<RelayState>,
}

impl Relay {
    /// Starts a relay that forwards connections to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = Rc::new(RelayState::default());
        monoio::spawn(accept(listener, target, Rc::clone(&state)));
        Self { address, state }
    }

    /// Holds back what the connections of now carry to the daemon; later connections are not held.
    pub(crate) fn hold_connections(&self) {
        self.state.held_below.set(self.state.accepted.get());
    }

    /// Returns whether a held connection has something to deliver.
    pub(crate) fn holds_data(&self) -> bool {
        !self.state.held.borrow().is_empty()
    }

    /// Delivers what was held back, in the order in which it was sent.
    pub(crate) fn release(&self) {
        self.state.held_below.set(0);
    }

    /// Returns whether all held connections have delivered what they held back.
    pub(crate) fn has_delivered(&self) -> bool {
        self.state.delivered.get() > 0 && self.state.held.borrow().is_empty()
    }

    /// Closes new connections at once, as a daemon that can't be reached.
    pub(crate) fn refuse_connections(&self) {
        self.state.refuses.set(true);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Rc<RelayState>) {
    while let Ok((client, _)) = listener.accept().await {
        let number = state.accepted.get();
        state.accepted.set(number + 1);
        if state.refuses.get() {
            continue;
        }
        let state = Rc::clone(&state);
        monoio::spawn(async move {
            let Ok(server) = TcpStream::connect_addr(target).await else {
                return;
            };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            monoio::spawn(copy(server_read, client_write));
            copy_unless_held(client_read, server_write, number, state).await;
        });
    }
}

async fn copy(mut from: impl AsyncReadRent, mut to: impl AsyncWriteRentExt) {
    loop {
        let (read, bytes) = from.read(Vec::with_capacity(READ_BYTES)).await;
        if !matches!(read, Ok(1..)) || to.write_all(bytes).await.0.is_err() {
            return;
        }
    }
}

async fn copy_unless_held(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    number: usize,
    state: Rc<RelayState>,
) {
    loop {
        let (read, bytes) = from.read(Vec::with_capacity(READ_BYTES)).await;
        if !matches!(read, Ok(1..)) {
            // The other direction ends with this connection, once nothing is held any more.
            return;
        }
        let was_held = number < state.held_below.get();
        if was_held {
            state.held.borrow_mut().push(number);
        }
        while number < state.held_below.get() {
            sleep(PIECE_INTERVAL).await;
        }
        let written = to.write_all(bytes).await.0;
        if was_held {
            sleep(PIECE_INTERVAL).await;
            state.held.borrow_mut().retain(|held| *held != number);
            state.delivered.set(state.delivered.get() + 1);
        }
        if written.is_err() {
            return;
        }
    }
}
