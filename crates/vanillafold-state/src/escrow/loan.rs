//! The lender's and the borrower's side of a loan, kept as monotonic counters.

use vanillafold_types::{Incarnation, Millis};

use super::status::MemberIndex;
use super::{BootMillis, EscrowEntry};
use crate::table::Keyed;

/// The most units that one loan can hold; a line that reports more is rejected as invalid.
const MAX_HELD: u64 = 1 << 32;

/// The other side of a loan: one incarnation of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoanKey {
    pub(super) member: MemberIndex,
    pub(super) incarnation: Incarnation,
}

/// Units lent to one incarnation of a peer.
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
    /// When this daemon learnt that the borrower is superseded, fenced or has left; `None` before.
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

    /// Returns the units that the borrower may still hold.
    pub(super) fn outstanding(&self) -> u64 {
        assert!(
            self.returned_total <= self.granted_total,
            "more units were returned than were lent: {self:?}"
        );
        self.granted_total - self.returned_total
    }

    /// Returns the outstanding units that were not recalled.
    pub(super) fn unrecalled(&self) -> u64 {
        self.granted_total - self.return_target.max(self.returned_total)
    }

    pub(super) fn grant(&mut self, units: u64, now: BootMillis) {
        self.granted_total += units;
        self.granted_at = now;
        self.serial += 1;
    }

    /// Recalls up to `units` units and returns how many it recalled.
    pub(super) fn recall(&mut self, units: u64) -> u64 {
        let recalled = units.min(self.unrecalled());
        if recalled > 0 {
            self.return_target = self.return_target.max(self.returned_total) + recalled;
            self.serial += 1;
        }
        recalled
    }

    /// Returns whether at least `span_ms` has passed since the last grant.
    pub(super) fn is_held_for(&self, span_ms: Millis, now: BootMillis) -> bool {
        now.since(self.granted_at) >= span_ms
    }

    pub(super) fn set_home(&mut self, home: u32) {
        if self.home != home {
            self.home = home;
            self.serial += 1;
        }
    }

    /// Applies a borrower's report. Returns false, without a change, if the report is impossible.
    pub(super) fn apply_report(&mut self, serial: u64, returned_total: u64) -> bool {
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

    /// Returns whether a report must be sent to the borrower now.
    pub(super) fn is_due(&self, resend_ms: Millis, now: BootMillis) -> bool {
        let has_unsent_change = self.sent_serial < self.serial;
        let is_overdue = self.needs_ack() && now.since(self.sent_at) >= resend_ms;
        self.closed_since.is_none() && (has_unsent_change || is_overdue)
    }

    pub(super) fn build_entry(&mut self, now: BootMillis) -> EscrowEntry {
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

/// A lender's report on a loan.
#[derive(Debug, Clone, Copy)]
pub(super) struct LenderReport {
    pub(super) serial: u64,
    pub(super) granted_total: u64,
    pub(super) returned_total: u64,
    pub(super) return_target: u64,
    pub(super) home: u32,
}

/// Units borrowed from one incarnation of a peer.
#[derive(Debug)]
pub(super) struct Borrowed {
    pub(super) key: LoanKey,
    received_total: u64,
    returned_total: u64,
    return_target: u64,
    sent_total: u64,
    acked_total: u64,
    in_use: u64,
    /// The lender's home units according to its latest report.
    home: u32,
    serial: u64,
    sent_at: BootMillis,
    window_started_at: BootMillis,
    /// The least number of unused units since `window_started_at`.
    min_unused: u64,
    /// Whether the lender is superseded, fenced or has left.
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
            window_started_at: now,
            min_unused: 0,
            is_closed: false,
        }
    }

    /// Returns the units received and not returned, in use or not.
    pub(super) fn held(&self) -> u64 {
        let held = self.received_total.checked_sub(self.returned_total);
        match held {
            Some(held) if self.in_use <= held => held,
            _ => panic!("more units in use or returned than were borrowed: {self:?}"),
        }
    }

    pub(super) fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Returns the units on which work may start. There are none if the lender reported more than
    /// `home` home units: a lender that knows only an earlier, larger limit may have lent more than
    /// the present limit allows.
    pub(super) fn free(&self, home: u32) -> u64 {
        let recalled_total = self.return_target.max(self.returned_total);
        match self.received_total.checked_sub(recalled_total) {
            Some(unrecalled) if !self.is_closed && self.home <= home => {
                unrecalled.saturating_sub(self.in_use)
            }
            _ => 0,
        }
    }

    pub(super) fn take(&mut self, home: u32) {
        assert!(self.free(home) > 0, "no borrowed unit is free: {self:?}");
        self.in_use += 1;
        self.min_unused = self.min_unused.min(self.unused());
    }

    pub(super) fn give_back(&mut self) {
        assert!(
            self.in_use > 0,
            "a borrowed unit was given back twice: {self:?}"
        );
        self.in_use -= 1;
    }

    /// Applies a lender's report. Returns false, without a change, if the report is impossible.
    pub(super) fn apply_report(&mut self, report: LenderReport) -> bool {
        let max_granted = self.returned_total.saturating_add(MAX_HELD);
        let is_valid = report.returned_total <= self.returned_total
            && report.return_target <= report.granted_total
            && report.granted_total <= max_granted;
        if !is_valid {
            return false;
        }
        self.received_total = self.received_total.max(report.granted_total);
        self.return_target = self.return_target.max(report.return_target);
        self.acked_total = self.acked_total.max(report.returned_total);
        if report.serial >= self.serial {
            self.serial = report.serial;
            self.home = report.home;
        }
        true
    }

    /// Returns unused units that the lender recalled, and those that stayed unused for `idle_ms`.
    pub(super) fn return_unneeded(&mut self, idle_ms: Millis, now: BootMillis) {
        let owed = self.return_target.saturating_sub(self.returned_total);
        self.returned_total += owed.min(self.unused());
        if now.since(self.window_started_at) < idle_ms {
            return;
        }
        self.returned_total += self.min_unused.min(self.unused());
        self.window_started_at = now;
        self.min_unused = self.unused();
    }

    /// Returns up to `units` units that are not in use.
    pub(super) fn return_unused(&mut self, units: u64) {
        self.returned_total += units.min(self.unused());
        self.min_unused = self.min_unused.min(self.unused());
    }

    fn unused(&self) -> u64 {
        self.held() - self.in_use
    }

    fn needs_ack(&self) -> bool {
        self.acked_total < self.returned_total
    }

    /// Returns whether a report must be sent to the lender now.
    pub(super) fn is_due(&self, resend_ms: Millis, now: BootMillis) -> bool {
        let has_unsent_change = self.sent_total < self.returned_total;
        let is_overdue = self.needs_ack() && now.since(self.sent_at) >= resend_ms;
        !self.is_closed && (has_unsent_change || is_overdue)
    }

    pub(super) fn build_entry(&mut self, now: BootMillis) -> EscrowEntry {
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
