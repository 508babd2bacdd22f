//! The network between processes: one relay for each pair of a source and a destination.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};

use super::address::relay_host;
use super::relay::{Reachability, Relay};

/// Ports of the relays, below those that the operating system assigns. A relay can thus close its
/// listener and open it again.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;

/// Connections of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// To and from the other daemons.
    Peers,
    /// To the daemon that owns the shard.
    Owner,
    /// To the store.
    Store,
    /// To the runners.
    Runners,
}

/// All relays. Each connection between processes goes through the relay of its source and
/// destination.
#[derive(Debug, Default)]
pub struct Network {
    /// Sorted by source and destination.
    relays: RefCell<Vec<Rc<Relay>>>,
    /// Destinations without a listener.
    closed: RefCell<Vec<SocketAddr>>,
}

impl Network {
    /// Returns the relay for connections of the process `source` to `destination`; opens it if
    /// there is none yet.
    ///
    /// # Errors
    ///
    /// The relay's port can't be listened on.
    pub fn relay(&self, source: &str, destination: SocketAddr) -> io::Result<Rc<Relay>> {
        static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
        let key = (source, destination);
        let found = self
            .relays
            .borrow()
            .binary_search_by(|relay| (relay.source(), relay.destination()).cmp(&key));
        let index = match found {
            Ok(index) => return Ok(Rc::clone(&self.relays.borrow()[index])),
            Err(index) => index,
        };
        let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::new(relay_host(), port);
        let relay = Relay::open(source, address, destination)?;
        if self.closed.borrow().contains(&destination) {
            relay.set_reachability(Reachability::Refusing);
        }
        self.relays.borrow_mut().insert(index, Rc::clone(&relay));
        Ok(relay)
    }

    /// Returns the relays that `selected` selects, by source and destination.
    pub fn select(&self, selected: impl Fn(&str, SocketAddr) -> bool) -> Vec<Rc<Relay>> {
        let relays = self.relays.borrow();
        let selected = relays
            .iter()
            .filter(|relay| selected(relay.source(), relay.destination()));
        selected.cloned().collect()
    }

    /// Sets whether a destination has a listener. Without one, connections to it are refused.
    pub(super) fn set_listening(&self, destination: SocketAddr, listening: bool) {
        let mut closed = self.closed.borrow_mut();
        closed.retain(|known| *known != destination);
        let reachability = match listening {
            true => Reachability::Open,
            false => Reachability::Refusing,
        };
        if !listening {
            closed.push(destination);
        }
        for relay in self.select(|_, known| known == destination) {
            relay.set_reachability(reachability);
        }
    }
}
