//! The set of a daemon's peers and a weak handle to it.

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

/// A daemon's peers. A supervisor starts one task per peer.
///
/// Dropping a set ends its tasks and connections at once; [`close`](Self::close) sends the queued
/// messages first.
#[derive(Debug)]
pub struct PeerSet {
    shared: Rc<Shared>,
    local_address: SocketAddr,
}

impl PeerSet {
    /// Starts to listen for peers, with no members yet. Needs a running monoio runtime with a
    /// timer.
    ///
    /// # Errors
    ///
    /// [`PeerError::Settings`] if the settings are invalid, [`PeerError::Bind`] if the listener
    /// cannot be bound.
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

    /// Returns the address that the set listens on.
    #[must_use]
    pub const fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Returns a handle for code that must not keep the set alive, such as the handler.
    #[must_use]
    pub fn handle(&self) -> PeerHandle {
        PeerHandle {
            shared: Rc::downgrade(&self.shared),
        }
    }

    /// Sets the members; this daemon itself is ignored. Starts tasks for new members and ends those
    /// of members that were removed or have another address or zone.
    ///
    /// # Errors
    ///
    /// [`PeerError::TooManyMembers`], which leaves the members unchanged.
    pub fn set_members(&self, members: Vec<PeerAddress>) -> Result<(), PeerError> {
        self.shared.set_members(members)
    }

    /// Queues a message for one member, without waiting. A withdrawal is queued for all members.
    ///
    /// # Errors
    ///
    /// [`PeerError::UnknownPeer`], [`PeerError::QueueFull`], [`PeerError::TooLarge`] and
    /// [`PeerError::TooManyWithdrawals`].
    pub fn send(&self, daemon: &DaemonId, message: PeerMessage) -> Result<(), PeerError> {
        self.shared.send(daemon, message)
    }

    /// Queues a message for all members, without waiting; returns the number of members whose queue
    /// had room for it.
    ///
    /// # Errors
    ///
    /// [`PeerError::TooLarge`] and [`PeerError::TooManyWithdrawals`].
    #[allow(clippy::needless_pass_by_value)] // takes the message by value, like `send`
    pub fn broadcast(&self, message: PeerMessage) -> Result<usize, PeerError> {
        self.shared.broadcast(&message)
    }

    /// Sends a request to one member and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::UnknownPeer`], [`PeerError::NotConnected`], [`PeerError::Busy`] and
    /// [`PeerError::TooLarge`], after which nothing was sent; [`PeerError::Timeout`] and
    /// [`PeerError::Link`], after which the peer may have acted on the request.
    pub async fn request(
        &self,
        daemon: &DaemonId,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        self.shared.request(daemon, request).await
    }

    /// Removes withdrawals that are in the folded log and need not be sent to members any more.
    pub fn forget_withdrawals(&self, folded: &[KeyId]) {
        self.shared.forget_withdrawals(folded);
    }

    /// Returns the current status of a member; `None` if the daemon is not a member.
    #[must_use]
    pub fn status(&self, daemon: &DaemonId) -> Option<PeerStatus> {
        self.shared.status(daemon)
    }

    /// Returns the current status of all members, sorted by daemon.
    #[must_use]
    pub fn statuses(&self) -> Vec<PeerStatus> {
        self.shared.statuses()
    }

    /// Returns when a member in another zone was last heard; `None` if none has been heard or there
    /// is none.
    #[must_use]
    pub fn last_heard_from_other_zones(&self) -> Option<BootMillis> {
        self.shared.last_heard_from_other_zones()
    }

    /// Returns the counters and byte counts since the set was opened.
    #[must_use]
    pub fn statistics(&self) -> PeerStatistics {
        self.shared.statistics()
    }

    /// Sends the queued messages, closes all connections gracefully and stops listening. Whatever
    /// is not finished within the close timeout of the settings is dropped.
    pub async fn close(self) {
        self.shared.close();
        let limit = self.shared.settings.close_timeout.duration();
        // After the limit, dropping `self` ends the remaining tasks.
        let _ = timeout(limit, self.shared.tasks.wait_until_idle()).await;
    }
}

impl Drop for PeerSet {
    fn drop(&mut self) {
        self.shared.close();
        self.shared.tasks.abort();
    }
}

/// A weak handle to a [`PeerSet`], which does not keep it alive.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    shared: Weak<Shared>,
}

impl PeerHandle {
    fn shared(&self) -> Result<Rc<Shared>, PeerError> {
        self.shared.upgrade().ok_or(PeerError::Closed)
    }

    /// Does the same as [`PeerSet::set_members`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerSet::set_members`], and [`PeerError::Closed`].
    pub fn set_members(&self, members: Vec<PeerAddress>) -> Result<(), PeerError> {
        self.shared()?.set_members(members)
    }

    /// Does the same as [`PeerSet::send`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerSet::send`], and [`PeerError::Closed`].
    pub fn send(&self, daemon: &DaemonId, message: PeerMessage) -> Result<(), PeerError> {
        self.shared()?.send(daemon, message)
    }

    /// Does the same as [`PeerSet::broadcast`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerSet::broadcast`], and [`PeerError::Closed`].
    #[allow(clippy::needless_pass_by_value)] // takes the message by value, like `send`
    pub fn broadcast(&self, message: PeerMessage) -> Result<usize, PeerError> {
        self.shared()?.broadcast(&message)
    }

    /// Does the same as [`PeerSet::request`].
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

    /// Does the same as [`PeerSet::forget_withdrawals`].
    ///
    /// # Errors
    ///
    /// [`PeerError::Closed`].
    pub fn forget_withdrawals(&self, folded: &[KeyId]) -> Result<(), PeerError> {
        self.shared()?.forget_withdrawals(folded);
        Ok(())
    }

    /// Does the same as [`PeerSet::statuses`]; returns an empty list once the set is closed.
    #[must_use]
    pub fn statuses(&self) -> Vec<PeerStatus> {
        self.shared()
            .map(|shared| shared.statuses())
            .unwrap_or_default()
    }

    /// Does the same as [`PeerSet::last_heard_from_other_zones`]; returns `None` once the set is
    /// closed.
    #[must_use]
    pub fn last_heard_from_other_zones(&self) -> Option<BootMillis> {
        let shared = self.shared().ok()?;
        shared.last_heard_from_other_zones()
    }
}
