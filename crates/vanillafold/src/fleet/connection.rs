//! A caller's connection, which dates the requests that it carries.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use vanillafold_policy::{ConnectionClock, MonotonicMillis};

use super::daemon::FleetDaemon;
use super::message::{FleetAnswer, FleetRequest};
use super::platform::FleetPlatform;
use super::time::now;

/// Age of a request from which on its connection is closed, in milliseconds: half the time after
/// which owners do not act on a request.
const MAX_REQUEST_AGE_MS: u64 = 5_000;

/// A connection of a caller, whose requests are answered one after the other.
#[derive(Debug)]
pub struct CallerConnection<P: FleetPlatform> {
    daemon: Rc<FleetDaemon<P>>,
    clock: RefCell<ConnectionClock>,
    /// Time before which the request that is being answered had not arrived.
    arrived_at: Cell<MonotonicMillis>,
}

impl<P: FleetPlatform> CallerConnection<P> {
    /// Creates a connection that is accepted now.
    pub(super) fn new(daemon: Rc<FleetDaemon<P>>) -> Self {
        let arrival = daemon.arrival_clock.borrow().earliest_connection(now());
        Self {
            daemon,
            clock: RefCell::new(ConnectionClock::new(arrival, now())),
            arrived_at: Cell::new(arrival),
        }
    }

    /// Returns the daemon that serves the connection.
    #[must_use]
    pub const fn daemon(&self) -> &Rc<FleetDaemon<P>> {
        &self.daemon
    }

    /// Notes that the next request is awaited from now on.
    pub fn awaits_request(&self) {
        self.clock.borrow_mut().wait(now());
    }

    /// Notes that the first bytes of a request have been read. `has_waited` says whether they had
    /// not arrived when the connection began to wait.
    pub fn begins_request(&self, has_waited: bool) {
        let earliest = self.daemon.arrival_clock.borrow().earliest_arrival();
        let arrived_at = self.clock.borrow_mut().begin_request(has_waited, earliest);
        self.arrived_at.set(arrived_at);
    }

    /// Returns whether the connection should be closed after the answer: requests follow each other
    /// so closely that the owner would soon take them for old ones.
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        now().since(self.arrived_at.get()).get() >= MAX_REQUEST_AGE_MS
    }

    /// Returns the owner's answer to the request that began last; see
    /// [`FleetDaemon::forward`].
    pub async fn forward(&self, request: &FleetRequest, limit_ms: u64) -> FleetAnswer {
        let arrived_at = self.arrived_at.get();
        self.daemon
            .forward_from(arrived_at, request, limit_ms)
            .await
    }
}
