//! Periodic work of the escrow: lends, recalls, returns and requests units, and repeats messages
//! that were not acknowledged.

use vanillafold_types::TeamId;

use super::account::{Rights, SentRequest, TeamAccount};
use super::loan::{Lent, LoanKey};
use super::root::Escrow;
use super::status::{MemberIndex, MemberStatus};
use super::{BootMillis, EscrowEntry, EscrowLine, EscrowMessage, EscrowSettings, OutgoingMessage};

/// In one tick, a team's borrow requests go to at most one in this many daemons of the fleet, or to
/// `borrow_fanout` peers if that is more.
const FANOUT_DIVISOR: usize = 8;

/// A line of an escrow message with the peer that it is for.
#[derive(Debug)]
pub(super) struct AddressedLine {
    pub(super) to: MemberIndex,
    pub(super) line: EscrowLine,
}

impl AddressedLine {
    pub(super) fn new(to: MemberIndex, team: &TeamId, entry: EscrowEntry) -> Self {
        Self {
            to,
            line: EscrowLine {
                team: team.clone(),
                entry,
            },
        }
    }
}

/// State of the escrow that the work on one account reads.
#[derive(Debug, Clone, Copy)]
pub(super) struct Context<'a> {
    pub(super) own: MemberIndex,
    pub(super) statuses: &'a [MemberStatus],
    pub(super) settings: &'a EscrowSettings,
    pub(super) rights: Rights,
    pub(super) now: BootMillis,
}

impl Escrow {
    /// Runs the periodic work of all teams and returns the messages to send to peers. Must be
    /// called ten times a second.
    pub fn tick(&mut self, now: BootMillis) -> Vec<OutgoingMessage> {
        self.update_takeovers(now);
        let Ok(rights) = self.rights(now) else {
            return Vec::new();
        };
        let context = Context {
            own: self.own,
            statuses: &self.statuses,
            settings: &self.settings,
            rights,
            now,
        };
        let mut lines = Vec::new();
        for account in self.accounts.iter_mut() {
            account.tick(context, &mut lines);
        }
        self.group_by_peer(lines)
    }

    /// Groups the lines into one message for each peer. Lines for peers without a current
    /// incarnation are dropped.
    pub(super) fn group_by_peer(&self, mut lines: Vec<AddressedLine>) -> Vec<OutgoingMessage> {
        lines.sort_by_key(|addressed_line| addressed_line.to);
        let mut outgoing: Vec<OutgoingMessage> = Vec::new();
        for AddressedLine { to, line } in lines {
            let Some(to_incarnation) = self.statuses[to.index()].current() else {
                continue;
            };
            let daemon = &self.fleet[to.index()];
            match outgoing.last_mut() {
                Some(last) if last.to == *daemon => last.message.lines.push(line),
                _ => outgoing.push(OutgoingMessage {
                    to: daemon.clone(),
                    message: EscrowMessage {
                        to_incarnation,
                        lines: vec![line],
                    },
                }),
            }
        }
        outgoing
    }
}

impl TeamAccount {
    fn tick(&mut self, context: Context<'_>, lines: &mut Vec<AddressedLine>) {
        let Context { settings, now, .. } = context;
        self.remove_closed_loans(settings, now);
        self.drop_stale_requests(settings, now);
        match context.rights.is_leaving {
            true => self.unwind_loans(),
            false => self.recall_needed(context.rights, settings, now),
        }
        self.serve_requests(context);
        for loan in self.borrowed.iter_mut().filter(|loan| !loan.is_closed) {
            loan.return_unneeded(settings.idle_ms, now);
        }
        self.request_from_peers(context, lines);
        self.report_loans(context, lines);
        self.check();
    }

    /// Grants borrow requests, starved peers first. Each request gets at most half of the lendable
    /// units, rounded up.
    pub(super) fn serve_requests(&mut self, context: Context<'_>) {
        let Context { settings, now, .. } = context;
        for _ in 0..self.received_requests.len() {
            let lendable = self.lendable(context.rights);
            let is_needed_here =
                self.demand(settings, now) > 0 && self.reserved(settings, now) == 0;
            if lendable == 0 || is_needed_here {
                return;
            }
            let starved = self
                .received_requests
                .iter()
                .position(|request| request.is_starved);
            let mut request = self.received_requests.remove(starved.unwrap_or(0));
            let Some(incarnation) = context.statuses[request.member.index()].current() else {
                continue;
            };
            let units = u64::from(request.units).min(lendable.div_ceil(2));
            let key = LoanKey {
                member: request.member,
                incarnation,
            };
            let home = self.home;
            self.lent
                .get_or_insert_with(&key, || Lent::new(key, home))
                .grant(units, now);
            assert!(
                self.outstanding() <= self.surplus(),
                "more units of {} lent than the surplus",
                self.team
            );
            request.units -= u32::try_from(units).unwrap_or(request.units);
            (request.is_starved, request.waiting_since) = (false, now);
            if request.units > 0 {
                self.received_requests.push(request);
            }
        }
    }

    /// Sends borrow requests to a few peers, or cancels the sent ones if there is no demand.
    fn request_from_peers(&mut self, context: Context<'_>, lines: &mut Vec<AddressedLine>) {
        let Context { settings, now, .. } = context;
        let daemons = context.statuses.len();
        let demand = match context.rights.is_fresh && !context.rights.is_leaving {
            true => self.demand(settings, now),
            false => 0,
        };
        if demand == 0 {
            let sent = std::mem::take(&mut self.sent_requests);
            lines.extend(
                sent.iter()
                    .map(|request| self.cancel_request(request.member)),
            );
            return;
        }
        let mut remaining = settings.borrow_fanout.max(daemons / FANOUT_DIVISOR);
        for step in 0..daemons {
            let index = (self.next_lender + step) % daemons;
            let member = MemberIndex(u16::try_from(index).unwrap_or(u16::MAX));
            let has_pending_request = self
                .sent_requests
                .get(&member)
                .is_some_and(|request| !request.is_due(settings, now));
            let is_lender =
                self.home_of(member, daemons) > 0 && context.statuses[index].current().is_some();
            if member == context.own || has_pending_request || !is_lender {
                continue;
            }
            lines.push(self.request_units(member, demand, context.rights, now));
            remaining -= 1;
            if remaining == 0 {
                self.next_lender = (index + 1) % daemons;
                return;
            }
        }
    }

    /// Builds the line that requests `units` units from `member`, and records that it was sent.
    pub(super) fn request_units(
        &mut self,
        member: MemberIndex,
        units: u32,
        rights: Rights,
        now: BootMillis,
    ) -> AddressedLine {
        let previous = self.sent_requests.get(&member);
        let attempts = previous.map_or(0, |request| request.attempts) + 1;
        self.sent_requests.insert(SentRequest {
            member,
            sent_at: now,
            attempts,
        });
        let entry = EscrowEntry::BorrowRequest {
            units,
            is_starved: self.is_starved(rights),
        };
        AddressedLine::new(member, &self.team, entry)
    }

    /// Builds the line that cancels an earlier borrow request.
    pub(super) fn cancel_request(&self, member: MemberIndex) -> AddressedLine {
        let entry = EscrowEntry::BorrowRequest {
            units: 0,
            is_starved: false,
        };
        AddressedLine::new(member, &self.team, entry)
    }

    /// Reports changed loans to their other sides and repeats reports that were not acknowledged.
    pub(super) fn report_loans(&mut self, context: Context<'_>, lines: &mut Vec<AddressedLine>) {
        let Context { settings, now, .. } = context;
        for lent in self.lent.iter_mut() {
            if lent.is_due(settings.resend_ms, now) {
                lines.push(AddressedLine::new(
                    lent.key.member,
                    &self.team,
                    lent.build_entry(now),
                ));
            }
        }
        for loan in self.borrowed.iter_mut() {
            if loan.is_due(settings.resend_ms, now) {
                lines.push(AddressedLine::new(
                    loan.key.member,
                    &self.team,
                    loan.build_entry(now),
                ));
            }
        }
    }
}
