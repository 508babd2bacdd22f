//! The state that the tasks of a peer set share: members, accepted connections and withdrawals.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold_types::{DaemonId, Incarnation, KeyId};

use super::clock::{BootClock, BootMillis};
use super::entry::PeerEntry;
use super::error::{LinkEnd, PeerError};
use super::frame::MAX_MESSAGE_BYTES;
use super::handler::PeerHandler;
use super::message::{LoadReport, MAX_CUSTOM_BYTES, PeerMessage, StateSummary};
use super::outbox::PushError;
use super::session::Session;
use super::settings::{MAX_MEMBERS, PeerAddress, PeerSettings};
use super::statistics::{PeerCounters, PeerStatistics, PeerTraffic, Traffic};
use super::status::PeerStatus;
use super::sync::{Latch, Notify};
use super::tasks::Tasks;

/// The outcome of adding a withdrawal to the set of known ones.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AddOutcome {
    New,
    Known,
    Full,
}

/// The shared state of a peer set and its handler.
#[derive(Debug)]
pub(crate) struct Context<H> {
    pub(crate) shared: Rc<Shared>,
    pub(crate) handler: Rc<H>,
}

impl<H> Clone for Context<H> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
            handler: Rc::clone(&self.handler),
        }
    }
}

impl<H: PeerHandler> Context<H> {
    /// Handles a withdrawal from a peer; returns true if it can be acknowledged, so that the peer
    /// stops resending it.
    pub(crate) fn accept_withdrawal(&self, from: &DaemonId, message: PeerMessage) -> bool {
        let PeerMessage::Withdrawal(withdrawal) = &message else {
            return false;
        };
        self.shared.mark_known_to(from, &withdrawal.key);
        if self.handler.withdrawal_is_folded(&withdrawal.key) {
            self.shared.count(|c| c.withdrawals_repeated += 1);
            return true;
        }
        match self.shared.add_withdrawal(&withdrawal.key, Some(from)) {
            AddOutcome::New => {
                self.handler.on_message(from, message);
                true
            }
            AddOutcome::Known => true,
            AddOutcome::Full => false,
        }
    }
}

/// The state that the tasks of a peer set share. No `RefCell` borrow is held across a call to the
/// handler, because the handler may call back into the set.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: PeerSettings,
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) tasks: Rc<Tasks>,
    /// Notified when members or their states change, to wake the supervisor.
    pub(crate) changed: Notify,
    pub(crate) closing: Latch,
    // Sorted by daemon id.
    entries: RefCell<Vec<Rc<PeerEntry>>>,
    // Sorted by key id.
    withdrawals: RefCell<Vec<KeyId>>,
    sessions: RefCell<Vec<Rc<Session>>>,
    counters: RefCell<PeerCounters>,
}

impl Shared {
    pub(crate) fn new(settings: PeerSettings) -> Self {
        Self {
            settings,
            traffic: Rc::default(),
            tasks: Rc::default(),
            changed: Notify::default(),
            closing: Latch::default(),
            entries: RefCell::default(),
            withdrawals: RefCell::default(),
            sessions: RefCell::default(),
            counters: RefCell::default(),
        }
    }

    pub(crate) fn count(&self, update: impl FnOnce(&mut PeerCounters)) {
        update(&mut self.counters.borrow_mut());
    }

    // Members.

    pub(crate) fn set_members(&self, mut members: Vec<PeerAddress>) -> Result<(), PeerError> {
        if self.closing.is_set() {
            return Err(PeerError::Closed);
        }
        members.retain(|member| member.daemon != self.settings.daemon);
        members.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        members.dedup_by(|a, b| a.daemon == b.daemon);
        if members.len() > MAX_MEMBERS {
            return Err(PeerError::TooManyMembers {
                limit: MAX_MEMBERS,
                found: members.len(),
            });
        }
        let entries = members.into_iter().map(|m| self.keep_or_add(m)).collect();
        let before = self.entries.replace(entries);
        for entry in before {
            if !self.has_entry(&entry) {
                entry.retired.set();
            }
        }
        self.changed.notify_one();
        Ok(())
    }

    fn keep_or_add(&self, member: PeerAddress) -> Rc<PeerEntry> {
        match self.entry(&member.daemon) {
            Some(entry) if entry.address == member => entry,
            _ => {
                let entry = PeerEntry::new(member, &self.settings, &self.traffic);
                self.enqueue_all_withdrawals(&entry);
                Rc::new(entry)
            }
        }
    }

    fn has_entry(&self, entry: &Rc<PeerEntry>) -> bool {
        self.entry(entry.daemon())
            .is_some_and(|other| Rc::ptr_eq(entry, &other))
    }

    pub(crate) fn entries(&self) -> Vec<Rc<PeerEntry>> {
        self.entries.borrow().clone()
    }

    pub(crate) fn entry(&self, daemon: &DaemonId) -> Option<Rc<PeerEntry>> {
        let entries = self.entries.borrow();
        let found = entries.binary_search_by(|entry| entry.daemon().cmp(daemon));
        found.ok().map(|index| Rc::clone(&entries[index]))
    }

    pub(crate) fn member(&self, daemon: &DaemonId) -> Result<Rc<PeerEntry>, PeerError> {
        match self.entry(daemon) {
            _ if self.closing.is_set() => Err(PeerError::Closed),
            Some(entry) => Ok(entry),
            None => Err(PeerError::UnknownPeer {
                daemon: daemon.clone(),
            }),
        }
    }

    pub(crate) fn close(&self) {
        self.closing.set();
        for entry in self.entries() {
            entry.retired.set();
        }
    }

    // Liveness and incarnations of peers.

    pub(crate) fn note_heard(&self, daemon: &DaemonId, now: BootMillis) {
        if let Some(entry) = self.entry(daemon)
            && entry.note_heard(now)
        {
            self.changed.notify_one();
        }
    }

    pub(crate) fn note_incarnation(&self, entry: &PeerEntry, incarnation: Incarnation) {
        if entry.note_incarnation(incarnation) {
            self.enqueue_all_withdrawals(entry);
        }
        self.changed.notify_one();
    }

    pub(crate) fn latest_incarnation(&self, daemon: &DaemonId) -> Option<Incarnation> {
        let from_entry = self.entry(daemon).and_then(|entry| entry.incarnation());
        let sessions = self.sessions.borrow();
        let from_sessions = sessions
            .iter()
            .filter(|session| session.is_from(daemon))
            .filter_map(|session| session.incarnation())
            .max();
        from_entry.max(from_sessions)
    }

    // Accepted connections.

    pub(crate) fn session_count(&self) -> usize {
        self.sessions.borrow().len()
    }

    pub(crate) fn add_session(&self, session: Rc<Session>) {
        self.sessions.borrow_mut().push(session);
    }

    pub(crate) fn remove_session(&self, session: &Rc<Session>) {
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|other| !Rc::ptr_eq(other, session));
    }

    /// Ends all accepted connections of a peer but its newest.
    pub(crate) fn replace_sessions(&self, newest: &Rc<Session>, daemon: &DaemonId) {
        let sessions = self.sessions.borrow().clone();
        sessions
            .iter()
            .filter(|other| !Rc::ptr_eq(other, newest) && other.is_from(daemon))
            .for_each(|other| other.end(LinkEnd::Replaced));
    }

    // Withdrawals.

    /// Adds a withdrawal to the known ones and queues it for all members except the one it came
    /// from.
    pub(crate) fn add_withdrawal(&self, key: &KeyId, from: Option<&DaemonId>) -> AddOutcome {
        let index = match self.withdrawals.borrow().binary_search(key) {
            Ok(_) => {
                self.count(|c| c.withdrawals_repeated += 1);
                return AddOutcome::Known;
            }
            Err(index) => index,
        };
        if self.withdrawals.borrow().len() >= self.settings.max_withdrawals {
            self.count(|c| c.withdrawals_refused += 1);
            return AddOutcome::Full;
        }
        self.withdrawals.borrow_mut().insert(index, key.clone());
        self.count(|c| c.withdrawals_learnt += 1);
        for entry in self.entries() {
            if Some(entry.daemon()) != from {
                entry.outbox.borrow_mut().add_withdrawal(key.clone());
                entry.outbox_ready.notify_one();
            }
        }
        AddOutcome::New
    }

    /// Stops sending a withdrawal to a peer that sent it itself.
    fn mark_known_to(&self, peer: &DaemonId, key: &KeyId) {
        if let Some(entry) = self.entry(peer) {
            entry.outbox.borrow_mut().remove_withdrawal(key);
        }
    }

    fn enqueue_all_withdrawals(&self, entry: &PeerEntry) {
        let mut outbox = entry.outbox.borrow_mut();
        for key in &*self.withdrawals.borrow() {
            outbox.add_withdrawal(key.clone());
        }
        entry.outbox_ready.notify_one();
    }

    pub(crate) fn forget_withdrawals(&self, folded: &[KeyId]) {
        let mut withdrawals = self.withdrawals.borrow_mut();
        let entries = self.entries();
        for key in folded {
            if let Ok(index) = withdrawals.binary_search(key) {
                withdrawals.remove(index);
            }
            for entry in &entries {
                entry.outbox.borrow_mut().remove_withdrawal(key);
            }
        }
    }

    // Sending.

    pub(crate) fn send(&self, daemon: &DaemonId, message: PeerMessage) -> Result<(), PeerError> {
        let entry = self.member(daemon)?;
        match message {
            PeerMessage::Withdrawal(withdrawal) => self.add_own_withdrawal(&withdrawal.key),
            message => self.enqueue(&entry, message),
        }
    }

    pub(crate) fn broadcast(&self, message: &PeerMessage) -> Result<usize, PeerError> {
        if self.closing.is_set() {
            return Err(PeerError::Closed);
        }
        let entries = self.entries();
        if let PeerMessage::Withdrawal(withdrawal) = message {
            self.add_own_withdrawal(&withdrawal.key)?;
            return Ok(entries.len());
        }
        let mut queued = 0;
        for entry in &entries {
            match self.enqueue(entry, message.clone()) {
                Ok(()) => queued += 1,
                Err(PeerError::QueueFull { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(queued)
    }

    fn add_own_withdrawal(&self, key: &KeyId) -> Result<(), PeerError> {
        match self.add_withdrawal(key, None) {
            AddOutcome::New | AddOutcome::Known => Ok(()),
            AddOutcome::Full => Err(PeerError::TooManyWithdrawals {
                limit: self.settings.max_withdrawals,
            }),
        }
    }

    fn enqueue(&self, entry: &PeerEntry, message: PeerMessage) -> Result<(), PeerError> {
        match message {
            PeerMessage::State(state) => self.enqueue_state(entry, state),
            PeerMessage::LoadReport(report) => self.enqueue_load(entry, report),
            PeerMessage::Custom(bytes) if bytes.len() > MAX_CUSTOM_BYTES => {
                return Err(PeerError::TooLarge {
                    limit_bytes: MAX_CUSTOM_BYTES,
                });
            }
            message => self.enqueue_message(entry, message)?,
        }
        entry.outbox_ready.notify_one();
        Ok(())
    }

    fn enqueue_state(&self, entry: &PeerEntry, state: StateSummary) {
        if entry.outbox.borrow_mut().set_state(state) {
            self.count(|c| c.coalesced_states += 1);
        }
    }

    fn enqueue_load(&self, entry: &PeerEntry, report: LoadReport) {
        let merge = entry.outbox.borrow_mut().merge_load(report);
        self.count(|c| {
            c.coalesced_load_entries += merge.replaced;
            c.dropped_load_entries += merge.dropped;
        });
    }

    fn enqueue_message(&self, entry: &PeerEntry, message: PeerMessage) -> Result<(), PeerError> {
        let pushed = entry.outbox.borrow_mut().push(message);
        pushed.map_err(|error| match error {
            PushError::Full => {
                self.count(|c| c.queue_refusals += 1);
                PeerError::QueueFull {
                    daemon: entry.daemon().clone(),
                }
            }
            PushError::TooLarge => PeerError::TooLarge {
                limit_bytes: MAX_MESSAGE_BYTES,
            },
        })
    }

    // Status and statistics.

    pub(crate) fn status(&self, daemon: &DaemonId) -> Option<PeerStatus> {
        self.entry(daemon)
            .map(|entry| entry.status(BootClock::now()))
    }

    pub(crate) fn statuses(&self) -> Vec<PeerStatus> {
        let now = BootClock::now();
        let entries = self.entries();
        entries.iter().map(|entry| entry.status(now)).collect()
    }

    pub(crate) fn last_heard_from_other_zones(&self) -> Option<BootMillis> {
        let entries = self.entries();
        let in_other_zones = entries
            .iter()
            .filter(|entry| entry.address.zone != self.settings.zone);
        in_other_zones.filter_map(|entry| entry.last_heard()).max()
    }

    pub(crate) fn statistics(&self) -> PeerStatistics {
        let peers = self.entries().iter().map(traffic_of).collect();
        PeerStatistics {
            counters: self.counters.borrow().clone(),
            sent_bytes: self.traffic.sent_bytes(),
            received_bytes: self.traffic.received_bytes(),
            tasks: self.tasks.running(),
            peers,
        }
    }
}

fn traffic_of(entry: &Rc<PeerEntry>) -> PeerTraffic {
    PeerTraffic {
        daemon: entry.daemon().clone(),
        sent_bytes: entry.traffic.sent_bytes(),
        received_bytes: entry.traffic.received_bytes(),
    }
}
