//! The state that a daemon keeps for one member.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use vanillafold_types::{DaemonId, Incarnation};

use super::clock::{BootClock, BootMillis};
use super::error::LinkEnd;
use super::outbox::Outbox;
use super::settings::{LinkTiming, PeerAddress, PeerSettings};
use super::statistics::Traffic;
use super::status::{PeerState, PeerStatus};
use super::sync::{Latch, Notify};

/// The part of a peer's status whose changes are reported to the handler, as last reported.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReportedStatus {
    state: PeerState,
    connected: bool,
    incarnation: Option<Incarnation>,
}

/// One member: its outbox, its link and its liveness.
#[derive(Debug)]
pub(crate) struct PeerEntry {
    pub(crate) address: PeerAddress,
    pub(crate) timing: LinkTiming,
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) outbox: RefCell<Outbox>,
    /// Notified when something is added to the outbox.
    pub(crate) outbox_ready: Notify,
    /// Notified when the peer has dialled this daemon, so that dialling the peer is likely to work.
    pub(crate) redial: Notify,
    /// Set when the peer is no longer a member at this address, or when the set closes.
    pub(crate) retired: Latch,
    pub(crate) task_started: Cell<bool>,
    pub(crate) round_trip: Cell<Option<Duration>>,
    pub(crate) outstanding_requests: Cell<usize>,
    added_at: BootMillis,
    alive_since: Cell<BootMillis>,
    last_heard: Cell<Option<BootMillis>>,
    incarnation: Cell<Option<Incarnation>>,
    requester: RefCell<Option<SendRequest<Bytes>>>,
    last_end: RefCell<Option<LinkEnd>>,
    reported: RefCell<Option<ReportedStatus>>,
}

impl PeerEntry {
    pub(crate) fn new(address: PeerAddress, settings: &PeerSettings, all: &Rc<Traffic>) -> Self {
        let now = BootClock::now();
        Self {
            timing: settings.link_timing(&address.zone),
            address,
            traffic: Traffic::child(all),
            outbox: RefCell::new(Outbox::new(settings.queue_messages, settings.queue_bytes)),
            outbox_ready: Notify::default(),
            redial: Notify::default(),
            retired: Latch::default(),
            task_started: Cell::new(false),
            round_trip: Cell::new(None),
            outstanding_requests: Cell::new(0),
            added_at: now,
            alive_since: Cell::new(now),
            last_heard: Cell::new(None),
            incarnation: Cell::new(None),
            requester: RefCell::new(None),
            last_end: RefCell::new(None),
            reported: RefCell::new(None),
        }
    }

    pub(crate) fn daemon(&self) -> &DaemonId {
        &self.address.daemon
    }

    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation.get()
    }

    /// Records an incarnation; returns true if it is later than one recorded before, i.e. the peer
    /// has restarted.
    pub(crate) fn note_incarnation(&self, incarnation: Incarnation) -> bool {
        let before = self.incarnation.get();
        self.incarnation.set(before.max(Some(incarnation)));
        before.is_some_and(|before| before < incarnation)
    }

    /// Records that the peer was heard; returns true if its state was not alive just before.
    pub(crate) fn note_heard(&self, now: BootMillis) -> bool {
        let revived = !self.state(now).is_alive();
        if revived {
            self.alive_since.set(now);
        }
        self.last_heard.set(Some(now));
        revived
    }

    pub(crate) fn last_heard(&self) -> Option<BootMillis> {
        self.last_heard.get()
    }

    pub(crate) fn link_up(&self, requester: SendRequest<Bytes>) {
        *self.requester.borrow_mut() = Some(requester);
        self.outbox.borrow_mut().resend_withdrawals();
    }

    /// Drops the handle for sending requests; the connection can end once all such handles are
    /// dropped.
    pub(crate) fn link_down(&self) {
        *self.requester.borrow_mut() = None;
    }

    pub(crate) fn note_end(&self, end: LinkEnd) {
        *self.last_end.borrow_mut() = Some(end);
    }

    pub(crate) fn requester(&self) -> Option<SendRequest<Bytes>> {
        self.requester.borrow().clone()
    }

    pub(crate) fn state(&self, now: BootMillis) -> PeerState {
        let Some(heard) = self.last_heard.get() else {
            return PeerState::Silent {
                since: self.added_at,
            };
        };
        let suspect_at = heard.plus(self.timing.suspect_after.duration());
        let silent_at = heard.plus(self.timing.silence_timeout.duration());
        match now {
            _ if now < suspect_at => PeerState::Alive {
                since: self.alive_since.get(),
            },
            _ if now < silent_at => PeerState::Suspect { since: suspect_at },
            _ => PeerState::Silent { since: silent_at },
        }
    }

    pub(crate) fn status(&self, now: BootMillis) -> PeerStatus {
        PeerStatus {
            daemon: self.address.daemon.clone(),
            zone: self.address.zone.clone(),
            incarnation: self.incarnation.get(),
            state: self.state(now),
            last_heard: self.last_heard.get(),
            connected: self.requester.borrow().is_some(),
            round_trip: self.round_trip.get(),
            last_end: self.last_end.borrow().clone(),
        }
    }

    /// Returns the status if it differs from what was last reported to the handler, and marks it as
    /// reported.
    pub(crate) fn unreported_status(&self, now: BootMillis) -> Option<PeerStatus> {
        let status = self.status(now);
        let reported = ReportedStatus {
            state: status.state,
            connected: status.connected,
            incarnation: status.incarnation,
        };
        let before = self.reported.borrow_mut().replace(reported.clone());
        (before != Some(reported)).then_some(status)
    }
}
