//! What is done without being asked: lending, recalling, returning, asking and repeating.

use vanillafold_types::TeamId;

use super::book::{Asked, Book, Rights};
use super::loan::{Lent, LoanKey};
use super::root::Escrow;
use super::standing::{Member, Standing};
use super::{BootMillis, EscrowEntry, EscrowLine, EscrowMessage, EscrowSettings, OutgoingMessage};

/// One in this many peers is asked in one tick, if that is more than the least number.
const ASK_PART: usize = 8;

/// A line and whom it is for.
#[derive(Debug)]
pub(super) struct Addressed {
    pub(super) to: Member,
    pub(super) line: EscrowLine,
}

impl Addressed {
    pub(super) fn new(to: Member, team: &TeamId, entry: EscrowEntry) -> Self {
        Self {
            to,
            line: EscrowLine {
                team: team.clone(),
                entry,
            },
        }
    }
}

/// What the work on one book needs to know.
#[derive(Debug, Clone, Copy)]
pub(super) struct Context<'a> {
    pub(super) own: Member,
    pub(super) standings: &'a [Standing],
    pub(super) settings: &'a EscrowSettings,
    pub(super) rights: Rights,
    pub(super) now: BootMillis,
}

impl Escrow {
    /// Does what time brings, and says what the peers have to be told. To be called ten times a
    /// second.
    pub fn tick(&mut self, now: BootMillis) -> Vec<OutgoingMessage> {
        self.find_takeovers(now);
        let Ok(rights) = self.rights(now) else {
            return Vec::new();
        };
        let context = Context {
            own: self.own,
            standings: &self.standings,
            settings: &self.settings,
            rights,
            now,
        };
        let mut lines = Vec::new();
        for book in self.books.iter_mut() {
            book.tick(context, &mut lines);
        }
        self.address(lines)
    }

    /// Puts the lines for each peer into one message.
    pub(super) fn address(&self, mut lines: Vec<Addressed>) -> Vec<OutgoingMessage> {
        lines.sort_by_key(|addressed| addressed.to);
        let mut outgoing: Vec<OutgoingMessage> = Vec::new();
        for Addressed { to, line } in lines {
            let Some(to_incarnation) = self.standings[to.index()].current() else {
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

impl Book {
    fn tick(&mut self, context: Context<'_>, lines: &mut Vec<Addressed>) {
        let Context { settings, now, .. } = context;
        self.close_loans(settings, now);
        self.forget_old_asks(settings, now);
        match context.rights.is_leaving {
            true => self.wind_up(),
            false => self.recall_wanted(context.rights, settings, now),
        }
        self.serve_asks(context);
        for loan in self.borrowed.iter_mut().filter(|loan| !loan.is_closed) {
            loan.return_unneeded(settings.idle_ms, now);
        }
        self.ask_peers(context, lines);
        self.tell_loans(context, lines);
        self.check();
    }

    /// Lends to the peers that asked, half of what is there to each.
    pub(super) fn serve_asks(&mut self, context: Context<'_>) {
        let Context { settings, now, .. } = context;
        for _ in 0..self.asks.len() {
            let lendable = self.lendable(context.rights);
            let is_needed_here =
                self.demand(settings, now) > 0 && self.reserved(settings, now) == 0;
            if lendable == 0 || is_needed_here {
                return;
            }
            let starved = self.asks.iter().position(|ask| ask.is_starved);
            let mut ask = self.asks.remove(starved.unwrap_or(0));
            let Some(incarnation) = context.standings[ask.member.index()].current() else {
                continue;
            };
            let units = u64::from(ask.wanted).min(lendable.div_ceil(2));
            let key = LoanKey {
                member: ask.member,
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
            ask.wanted -= u32::try_from(units).unwrap_or(ask.wanted);
            (ask.is_starved, ask.since) = (false, now);
            if ask.wanted > 0 {
                self.asks.push(ask);
            }
        }
    }

    /// Asks a few peers for units, and takes asks back that nothing waits for any more.
    fn ask_peers(&mut self, context: Context<'_>, lines: &mut Vec<Addressed>) {
        let Context { settings, now, .. } = context;
        let daemons = context.standings.len();
        let wanted = match context.rights.is_fresh && !context.rights.is_leaving {
            true => self.demand(settings, now),
            false => 0,
        };
        if wanted == 0 {
            let asked = std::mem::take(&mut self.asked);
            lines.extend(asked.iter().map(|asked| self.unask(asked.member)));
            return;
        }
        let mut left = settings.borrow_fanout.max(daemons / ASK_PART);
        for step in 0..daemons {
            let index = (self.next_to_ask + step) % daemons;
            let member = Member(u16::try_from(index).unwrap_or(u16::MAX));
            let is_asked = self
                .asked
                .get(&member)
                .is_some_and(|asked| !asked.is_due(settings, now));
            let is_lender =
                self.home_of(member, daemons) > 0 && context.standings[index].current().is_some();
            if member == context.own || is_asked || !is_lender {
                continue;
            }
            lines.push(self.ask(member, wanted, context.rights, now));
            left -= 1;
            if left == 0 {
                self.next_to_ask = (index + 1) % daemons;
                return;
            }
        }
    }

    pub(super) fn ask(
        &mut self,
        member: Member,
        wanted: u32,
        rights: Rights,
        now: BootMillis,
    ) -> Addressed {
        let asked = self.asked.get(&member);
        let times = asked.map_or(0, |asked| asked.times) + 1;
        self.asked.insert(Asked {
            member,
            at: now,
            times,
        });
        let entry = EscrowEntry::BorrowRequest {
            units: wanted,
            is_starved: self.is_starved(rights),
        };
        Addressed::new(member, &self.team, entry)
    }

    /// Takes an ask back.
    pub(super) fn unask(&self, member: Member) -> Addressed {
        let entry = EscrowEntry::BorrowRequest {
            units: 0,
            is_starved: false,
        };
        Addressed::new(member, &self.team, entry)
    }

    /// Tells the other sides of loans what is new, and repeats what was not acknowledged.
    pub(super) fn tell_loans(&mut self, context: Context<'_>, lines: &mut Vec<Addressed>) {
        let Context { settings, now, .. } = context;
        for lent in self.lent.iter_mut() {
            if lent.is_due(settings.resend_ms, now) {
                lines.push(Addressed::new(lent.key.member, &self.team, lent.entry(now)));
            }
        }
        for loan in self.borrowed.iter_mut() {
            if loan.is_due(settings.resend_ms, now) {
                lines.push(Addressed::new(loan.key.member, &self.team, loan.entry(now)));
            }
        }
    }
}
