//! Processing of escrow messages received from peers.

use vanillafold_types::{DaemonId, Incarnation};

use super::account::{ReceivedRequest, TeamAccount};
use super::lending::{AddressedLine, Context};
use super::loan::{Borrowed, LenderReport, LoanKey};
use super::root::Escrow;
use super::status::MemberIndex;
use super::{BootMillis, EscrowEntry, EscrowLine, EscrowMessage, OutgoingMessage};

impl Escrow {
    /// Processes a message from the incarnation `from_incarnation` of a peer and returns the
    /// messages to send in response.
    ///
    /// Messages for another incarnation of this daemon, or from an incarnation that is not current,
    /// are ignored: the sender repeats every line that still matters.
    pub fn receive(
        &mut self,
        from: &DaemonId,
        from_incarnation: Incarnation,
        message: EscrowMessage,
        now: BootMillis,
    ) -> Vec<OutgoingMessage> {
        let Ok(index) = self.fleet.binary_search(from) else {
            return Vec::new();
        };
        let is_accepted = index != self.own.index()
            && message.to_incarnation == self.incarnation
            && self.statuses[index].is_current(from_incarnation);
        let (true, Ok(rights)) = (is_accepted, self.rights(now)) else {
            return Vec::new();
        };
        let context = Context {
            own: self.own,
            statuses: &self.statuses,
            settings: &self.settings,
            rights,
            now,
        };
        let key = LoanKey {
            member: MemberIndex(u16::try_from(index).unwrap_or(u16::MAX)),
            incarnation: from_incarnation,
        };
        let mut lines = Vec::new();
        for EscrowLine { team, entry } in message.lines {
            if let Some(account) = self.accounts.get_mut(&team) {
                account.receive(key, entry, context, &mut lines);
                account.check();
            }
        }
        self.group_by_peer(lines)
    }
}

impl TeamAccount {
    fn receive(
        &mut self,
        key: LoanKey,
        entry: EscrowEntry,
        context: Context<'_>,
        lines: &mut Vec<AddressedLine>,
    ) {
        match entry {
            EscrowEntry::BorrowRequest { units, is_starved } => {
                self.record_request(key.member, units, is_starved, context.now);
                self.serve_requests(context);
                self.report_loans(context, lines);
            }
            EscrowEntry::Lent {
                serial,
                granted_total,
                returned_total,
                return_target,
                home,
                needs_ack,
            } => {
                let report = LenderReport {
                    serial,
                    granted_total,
                    returned_total,
                    return_target,
                    home,
                };
                self.receive_lent(key, report, needs_ack, context, lines);
            }
            EscrowEntry::Borrowed {
                serial,
                returned_total,
                needs_ack,
            } => {
                let Some(lent) = self.lent.get_mut(&key) else {
                    return;
                };
                if lent.apply_report(serial, returned_total) && needs_ack {
                    lines.push(AddressedLine::new(
                        key.member,
                        &self.team,
                        lent.build_entry(context.now),
                    ));
                }
            }
        }
    }

    fn record_request(
        &mut self,
        member: MemberIndex,
        units: u32,
        is_starved: bool,
        now: BootMillis,
    ) {
        let known = self
            .received_requests
            .iter()
            .position(|request| request.member == member);
        match known {
            Some(index) if units == 0 => {
                self.received_requests.remove(index);
            }
            Some(index) => {
                let request = &mut self.received_requests[index];
                (request.units, request.is_starved, request.renewed_at) = (units, is_starved, now);
            }
            None if units == 0 => {}
            None => self.received_requests.push(ReceivedRequest {
                member,
                units,
                is_starved,
                waiting_since: now,
                renewed_at: now,
            }),
        }
    }

    fn receive_lent(
        &mut self,
        key: LoanKey,
        report: LenderReport,
        needs_ack: bool,
        context: Context<'_>,
        lines: &mut Vec<AddressedLine>,
    ) {
        let Context { settings, now, .. } = context;
        let loan = self
            .borrowed
            .get_or_insert_with(&key, || Borrowed::new(key, now));
        let held = loan.held();
        if !loan.apply_report(report) {
            return;
        }
        let granted = loan.held() - held;
        let demand = match context.rights.is_leaving {
            true => 0,
            false => u64::from(self.demand(settings, now)),
        };
        let free = self.borrowed_free(context.rights, context.statuses.len());
        if granted > 0 && demand >= free {
            // A lender that had units to lend may have more: it is the first in the next search and
            // gets the next request at once.
            self.next_lender = key.member.index();
            self.sent_requests.remove(&key.member);
            let missing = u32::try_from(demand - free).unwrap_or(u32::MAX);
            lines.extend(
                (missing > 0).then(|| self.request_units(key.member, missing, context.rights, now)),
            );
        }
        if granted > 0 && demand < free {
            lines.push(self.cancel_request(key.member));
        }
        let Some(loan) = self.borrowed.get_mut(&key) else {
            return;
        };
        loan.return_unneeded(settings.idle_ms, now);
        loan.return_unused(granted.min(free.saturating_sub(demand)));
        if needs_ack {
            lines.push(AddressedLine::new(
                key.member,
                &self.team,
                loan.build_entry(now),
            ));
        }
    }
}
