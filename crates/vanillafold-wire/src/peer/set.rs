//! A daemon's peers.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use monoio::time::timeout;
use vanillafold_types::{DaemonId, KeyId};

use super::clock::BootMillis;
use super::error::PeerError;
use super::handler::PeerHandler;
use super::listener::{accept_peers, bind};
use super::message::PeerMessage;
use super::request::{PeerRequest, PeerResponse};
use super::settings::{PeerAddress, PeerSettings};
use super::shared::{Context, Shared};
use super::statistics::PeerStatistics;
use super::status::PeerStatus;
use super::supervisor::supervise;
use super::tasks::Tasks;

/// A daemon's peers: one task for each, started by a supervisor.
///
/// Dropping a set ends its tasks and connections at once; [`close`](Self::close) first
/// sends what waits.
#[derive(Debug)]
pub struct PeerSet {
    shared: Rc<Shared>,
    local_address: SocketAddr,
}

impl PeerSet {
    /// Listens for peers; there are no members yet. Needs a running monoio runtime with a
    /// timer.
    ///
    /// # Errors
    ///
    /// [`PeerError::Settings`] and [`PeerError::Bind`].
    pub fn open<H: PeerHandler>(settings: PeerSettings, handler: Rc<H>) -> Result<Self, PeerError> {
        settings.validate()?;
        let address = settings.listen;
        let failed = |source| PeerError::Bind { address, source };
        let listener = bind(address).map_err(failed)?;
        let local_address = listener.local_addr().map_err(failed)?;
        let shared = Rc::new(Shared::new(settings));
        let context = Context {
            shared: Rc::clone(&shared),
            handler,
        };
        let tasks = &shared.tasks;
        Tasks::spawn(tasks, accept_peers(context.clone(), listener));
        Tasks::spawn(tasks, supervise(context));
        Ok(Self {
            shared,
            local_address,
        })
    }

    /// Where the set listens.
    #[must_use]
    pub const fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// A handle for code that must not keep the set alive, such as the handler.
    #[must_use]
    pub fn handle(&self) -> PeerHandle {
        PeerHandle {
            shared: Rc::downgrade(&self.shared),
        }
    }

    /// Sets the members. This daemon itself is left out; tasks start for those that are
    /// new and end for those that are gone or have moved.
    ///
    /// # Errors
    ///
    /// [`PeerError::TooManyMembers`]; the members stay as they were.
    pub fn set_members(&self, members: Vec<PeerAddress>) -> Result<(), PeerError> {
        self.shared.set_members(members)
    }

    /// Sends a message to one member, without waiting. A withdrawal goes to all members.
    ///
    /// # Errors
    ///
    /// [`PeerError::UnknownPeer`], [`PeerError::QueueFull`], [`PeerError::TooLarge`] and
    /// [`PeerError::TooManyWithdrawals`].
    pub fn send(&self, daemon: &DaemonId, message: PeerMessage) -> Result<(), PeerError> {
        self.shared.send(daemon, message)
    }

    /// Sends a message to all members, without waiting; returns how many queues took it.
    ///
    /// # Errors
    ///
    /// [`PeerError::TooLarge`] and [`PeerError::TooManyWithdrawals`].
    #[allow(clippy::needless_pass_by_value)] // as `send`, which takes the message in
    pub fn broadcast(&self, message: PeerMessage) -> Result<usize, PeerError> {
        self.shared.broadcast(&message)
    }

    /// Asks one member and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::UnknownPeer`], [`PeerError::NotConnected`], [`PeerError::Busy`] and
    /// [`PeerError::TooLarge`], where nothing was sent; [`PeerError::Timeout`] and
    /// [`PeerError::Link`], where the peer may have acted on it.
    pub async fn request(
        &self,
        daemon: &DaemonId,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        self.shared.request(daemon, request).await
    }

    /// Drops withdrawals that are in the folded log, and need no flood any more.
    pub fn forget_withdrawals(&self, folded: &[KeyId]) {
        self.shared.forget_withdrawals(folded);
    }

    /// What is known of a member now.
    #[must_use]
    pub fn status(&self, daemon: &DaemonId) -> Option<PeerStatus> {
        self.shared.status(daemon)
    }

    /// What is known of all members now, sorted by daemon.
    #[must_use]
    pub fn statuses(&self) -> Vec<PeerStatus> {
        self.shared.statuses()
    }

    /// When a member in another zone was last heard; `None` if never, or if there is none.
    #[must_use]
    pub fn last_heard_from_other_zones(&self) -> Option<BootMillis> {
        self.shared.last_heard_from_other_zones()
    }

    /// Counts and bytes since the set was opened.
    #[must_use]
    pub fn statistics(&self) -> PeerStatistics {
        self.shared.statistics()
    }

    /// Sends what waits, ends all connections in order and stops listening. What is not
    /// done within the close timeout of the settings is dropped.
    pub async fn close(self) {
        self.shared.close();
        let limit = self.shared.settings.close_timeout.duration();
        // Past the limit, dropping `self` ends what is left.
        let _ = timeout(limit, self.shared.tasks.wait_until_idle()).await;
    }
}

impl Drop for PeerSet {
    fn drop(&mut self) {
        self.shared.close();
        self.shared.tasks.abort();
    }
}

/// Sends to a [`PeerSet`] without keeping it alive.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    shared: Weak<Shared>,
}

impl PeerHandle {
    fn shared(&self) -> Result<Rc<Shared>, PeerError> {
        self.shared.upgrade().ok_or(PeerError::Closed)
    }

    /// As [`PeerSet::set_members`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerSet::set_members`], and [`PeerError::Closed`].
    pub fn set_members(&self, members: Vec<PeerAddress>) -> Result<(), PeerError> {
        self.shared()?.set_members(members)
    }

    /// As [`PeerSet::send`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerSet::send`], and [`PeerError::Closed`].
    pub fn send(&self, daemon: &DaemonId, message: PeerMessage) -> Result<(), PeerError> {
        self.shared()?.send(daemon, message)
    }

    /// As [`PeerSet::broadcast`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerSet::broadcast`], and [`PeerError::Closed`].
    #[allow(clippy::needless_pass_by_value)] // as `send`, which takes the message in
    pub fn broadcast(&self, message: PeerMessage) -> Result<usize, PeerError> {
        self.shared()?.broadcast(&message)
    }

    /// As [`PeerSet::request`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerSet::request`], and [`PeerError::Closed`].
    pub async fn request(
        &self,
        daemon: &DaemonId,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        self.shared()?.request(daemon, request).await
    }

    /// As [`PeerSet::forget_withdrawals`].
    ///
    /// # Errors
    ///
    /// [`PeerError::Closed`].
    pub fn forget_withdrawals(&self, folded: &[KeyId]) -> Result<(), PeerError> {
        self.shared()?.forget_withdrawals(folded);
        Ok(())
    }

    /// As [`PeerSet::statuses`]; none once the set is closed.
    #[must_use]
    pub fn statuses(&self) -> Vec<PeerStatus> {
        self.shared()
            .map(|shared| shared.statuses())
            .unwrap_or_default()
    }

    /// As [`PeerSet::last_heard_from_other_zones`]; `None` once the set is closed.
    #[must_use]
    pub fn last_heard_from_other_zones(&self) -> Option<BootMillis> {
        let shared = self.shared().ok()?;
        shared.last_heard_from_other_zones()
    }
}
