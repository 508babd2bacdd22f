//! The two sides of a loan, as counters that only grow.

use vanillafold_types::{Incarnation, Millis};

use super::standing::Member;
use super::{BootMillis, EscrowEntry};
use crate::table::Keyed;

/// The most units of one loan; beyond it a line can't be true.
const MAX_HELD: u64 = 1 << 32;

/// The other side of a loan: a start of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoanKey {
    pub(super) member: Member,
    pub(super) incarnation: Incarnation,
}

/// What was lent to a start of a peer.
#[derive(Debug)]
pub(super) struct Lent {
    pub(super) key: LoanKey,
    granted_total: u64,
    returned_total: u64,
    return_target: u64,
    home: u32,
    serial: u64,
    sent_serial: u64,
    acked_serial: u64,
    granted_at: BootMillis,
    sent_at: BootMillis,
    /// Since when the borrower is known to be superseded or fenced.
    pub(super) closed_since: Option<BootMillis>,
}

impl Lent {
    pub(super) fn new(key: LoanKey, home: u32) -> Self {
        Self {
            key,
            granted_total: 0,
            returned_total: 0,
            return_target: 0,
            home,
            serial: 0,
            sent_serial: 0,
            acked_serial: 0,
            granted_at: BootMillis::default(),
            sent_at: BootMillis::default(),
            closed_since: None,
        }
    }

    /// Units that the borrower may hold.
    pub(super) fn outstanding(&self) -> u64 {
        assert!(
            self.returned_total <= self.granted_total,
            "more units came back than were lent: {self:?}"
        );
        self.granted_total - self.returned_total
    }

    /// Units of those that the borrower was not asked to give back.
    pub(super) fn kept(&self) -> u64 {
        self.granted_total - self.return_target.max(self.returned_total)
    }

    pub(super) fn grant(&mut self, units: u64, now: BootMillis) {
        self.granted_total += units;
        self.granted_at = now;
        self.serial += 1;
    }

    /// Asks for up to `units` back and says how many it asked for.
    pub(super) fn recall(&mut self, units: u64) -> u64 {
        let recalled = units.min(self.kept());
        if recalled > 0 {
            self.return_target = self.return_target.max(self.returned_total) + recalled;
            self.serial += 1;
        }
        recalled
    }

    pub(super) fn is_held_for(&self, span_ms: Millis, now: BootMillis) -> bool {
        now.since(self.granted_at) >= span_ms
    }

    pub(super) fn set_home(&mut self, home: u32) {
        if self.home != home {
            self.home = home;
            self.serial += 1;
        }
    }

    /// Books in what the borrower says; false if it can't be.
    pub(super) fn read(&mut self, serial: u64, returned_total: u64) -> bool {
        if serial > self.serial || returned_total > self.granted_total {
            return false;
        }
        self.acked_serial = self.acked_serial.max(serial);
        self.returned_total = self.returned_total.max(returned_total);
        true
    }

    pub(super) fn needs_ack(&self) -> bool {
        self.acked_serial < self.serial
    }

    /// Whether the borrower has to be told now.
    pub(super) fn is_due(&self, resend_ms: Millis, now: BootMillis) -> bool {
        let is_news = self.sent_serial < self.serial;
        let is_overdue = self.needs_ack() && now.since(self.sent_at) >= resend_ms;
        self.closed_since.is_none() && (is_news || is_overdue)
    }

    pub(super) fn entry(&mut self, now: BootMillis) -> EscrowEntry {
        self.sent_at = now;
        self.sent_serial = self.serial;
        EscrowEntry::Lent {
            serial: self.serial,
            granted_total: self.granted_total,
            returned_total: self.returned_total,
            return_target: self.return_target,
            home: self.home,
            needs_ack: self.needs_ack(),
        }
    }
}

/// What a lender says of a loan.
#[derive(Debug, Clone, Copy)]
pub(super) struct LentWord {
    pub(super) serial: u64,
    pub(super) granted_total: u64,
    pub(super) returned_total: u64,
    pub(super) return_target: u64,
    pub(super) home: u32,
}

/// What was borrowed from a start of a peer.
#[derive(Debug)]
pub(super) struct Borrowed {
    pub(super) key: LoanKey,
    received_total: u64,
    returned_total: u64,
    return_target: u64,
    sent_total: u64,
    acked_total: u64,
    in_use: u64,
    /// The lender's home units when it last spoke.
    home: u32,
    serial: u64,
    sent_at: BootMillis,
    window_at: BootMillis,
    least_free: u64,
    /// Whether the lender is superseded or fenced.
    pub(super) is_closed: bool,
}

impl Borrowed {
    pub(super) fn new(key: LoanKey, now: BootMillis) -> Self {
        Self {
            key,
            received_total: 0,
            returned_total: 0,
            return_target: 0,
            sent_total: 0,
            acked_total: 0,
            in_use: 0,
            home: 0,
            serial: 0,
            sent_at: BootMillis::default(),
            window_at: now,
            least_free: 0,
            is_closed: false,
        }
    }

    pub(super) fn held(&self) -> u64 {
        let held = self.received_total.checked_sub(self.returned_total);
        match held {
            Some(held) if self.in_use <= held => held,
            _ => panic!("more units in use or given back than were borrowed: {self:?}"),
        }
    }

    pub(super) fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Units on which work may start, if the lender counts with at most `home` home units: a
    /// lender that knows only a larger limit may have lent more than the present one allows.
    pub(super) fn free(&self, home: u32) -> u64 {
        let wanted_back = self.return_target.max(self.returned_total);
        match self.received_total.checked_sub(wanted_back) {
            Some(kept) if !self.is_closed && self.home <= home => kept.saturating_sub(self.in_use),
            _ => 0,
        }
    }

    pub(super) fn take(&mut self, home: u32) {
        assert!(self.free(home) > 0, "no borrowed unit is free: {self:?}");
        self.in_use += 1;
        self.least_free = self.least_free.min(self.unused());
    }

    pub(super) fn give_back(&mut self) {
        assert!(self.in_use > 0, "a borrowed unit came back twice: {self:?}");
        self.in_use -= 1;
    }

    /// Books in what the lender says; false if it can't be.
    pub(super) fn read(&mut self, word: LentWord) -> bool {
        let most = self.returned_total.saturating_add(MAX_HELD);
        let is_sound = word.returned_total <= self.returned_total
            && word.return_target <= word.granted_total
            && word.granted_total <= most;
        if !is_sound {
            return false;
        }
        self.received_total = self.received_total.max(word.granted_total);
        self.return_target = self.return_target.max(word.return_target);
        self.acked_total = self.acked_total.max(word.returned_total);
        if word.serial >= self.serial {
            self.serial = word.serial;
            self.home = word.home;
        }
        true
    }

    /// Books out units that the lender wants back, and those that were not needed for
    /// `idle_ms`.
    pub(super) fn return_unneeded(&mut self, idle_ms: Millis, now: BootMillis) {
        let owed = self.return_target.saturating_sub(self.returned_total);
        self.returned_total += owed.min(self.unused());
        if now.since(self.window_at) < idle_ms {
            return;
        }
        self.returned_total += self.least_free.min(self.unused());
        self.window_at = now;
        self.least_free = self.unused();
    }

    /// Books out up to `units` that are not in use.
    pub(super) fn return_unused(&mut self, units: u64) {
        self.returned_total += units.min(self.unused());
        self.least_free = self.least_free.min(self.unused());
    }

    fn unused(&self) -> u64 {
        self.held() - self.in_use
    }

    fn needs_ack(&self) -> bool {
        self.acked_total < self.returned_total
    }

    /// Whether the lender has to be told now.
    pub(super) fn is_due(&self, resend_ms: Millis, now: BootMillis) -> bool {
        let is_news = self.sent_total < self.returned_total;
        let is_overdue = self.needs_ack() && now.since(self.sent_at) >= resend_ms;
        !self.is_closed && (is_news || is_overdue)
    }

    pub(super) fn entry(&mut self, now: BootMillis) -> EscrowEntry {
        self.sent_at = now;
        self.sent_total = self.returned_total;
        EscrowEntry::Borrowed {
            serial: self.serial,
            returned_total: self.returned_total,
            needs_ack: self.needs_ack(),
        }
    }
}

impl Keyed for Lent {
    type Key = LoanKey;

    fn key(&self) -> &LoanKey {
        &self.key
    }
}

impl Keyed for Borrowed {
    type Key = LoanKey;

    fn key(&self) -> &LoanKey {
        &self.key
    }
}
