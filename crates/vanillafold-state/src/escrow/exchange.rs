//! What a peer's message changes.

use vanillafold_types::{DaemonId, Incarnation};

use super::book::{Ask, Book};
use super::lending::{Addressed, Context};
use super::loan::{Borrowed, LentWord, LoanKey};
use super::root::Escrow;
use super::standing::Member;
use super::{BootMillis, EscrowEntry, EscrowLine, EscrowMessage, OutgoingMessage};

impl Escrow {
    /// Reads a message of a peer's start `from_incarnation`, and says what the peers have to be
    /// told. Messages for another start of this daemon, or of a start that doesn't count, are
    /// ignored: their sender repeats what still matters.
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
        let is_meant = index != self.own.index()
            && message.to_incarnation == self.incarnation
            && self.standings[index].is_current(from_incarnation);
        let (true, Ok(rights)) = (is_meant, self.rights(now)) else {
            return Vec::new();
        };
        let context = Context {
            own: self.own,
            standings: &self.standings,
            settings: &self.settings,
            rights,
            now,
        };
        let key = LoanKey {
            member: Member(u16::try_from(index).unwrap_or(u16::MAX)),
            incarnation: from_incarnation,
        };
        let mut lines = Vec::new();
        for EscrowLine { team, entry } in message.lines {
            if let Some(book) = self.books.get_mut(&team) {
                book.receive(key, entry, context, &mut lines);
                book.check();
            }
        }
        self.address(lines)
    }
}

impl Book {
    fn receive(
        &mut self,
        key: LoanKey,
        entry: EscrowEntry,
        context: Context<'_>,
        lines: &mut Vec<Addressed>,
    ) {
        match entry {
            EscrowEntry::BorrowRequest {
                units: wanted,
                is_starved,
            } => {
                self.note_ask(key.member, wanted, is_starved, context.now);
                self.serve_asks(context);
                self.tell_loans(context, lines);
            }
            EscrowEntry::Lent {
                serial,
                granted_total,
                returned_total,
                return_target,
                home,
                needs_ack,
            } => {
                let word = LentWord {
                    serial,
                    granted_total,
                    returned_total,
                    return_target,
                    home,
                };
                self.receive_lent(key, word, needs_ack, context, lines);
            }
            EscrowEntry::Borrowed {
                serial,
                returned_total,
                needs_ack,
            } => {
                let Some(lent) = self.lent.get_mut(&key) else {
                    return;
                };
                if lent.read(serial, returned_total) && needs_ack {
                    lines.push(Addressed::new(
                        key.member,
                        &self.team,
                        lent.entry(context.now),
                    ));
                }
            }
        }
    }

    fn note_ask(&mut self, member: Member, wanted: u32, is_starved: bool, now: BootMillis) {
        let known = self.asks.iter().position(|ask| ask.member == member);
        match known {
            Some(index) if wanted == 0 => {
                self.asks.remove(index);
            }
            Some(index) => {
                let ask = &mut self.asks[index];
                (ask.wanted, ask.is_starved, ask.renewed_at) = (wanted, is_starved, now);
            }
            None if wanted == 0 => {}
            None => self.asks.push(Ask {
                member,
                wanted,
                is_starved,
                since: now,
                renewed_at: now,
            }),
        }
    }

    fn receive_lent(
        &mut self,
        key: LoanKey,
        word: LentWord,
        needs_ack: bool,
        context: Context<'_>,
        lines: &mut Vec<Addressed>,
    ) {
        let Context { settings, now, .. } = context;
        let loan = self
            .borrowed
            .get_or_insert_with(&key, || Borrowed::new(key, now));
        let held = loan.held();
        if !loan.read(word) {
            return;
        }
        let granted = loan.held() - held;
        let wanted = match context.rights.is_leaving {
            true => 0,
            false => u64::from(self.demand(settings, now)),
        };
        let free = self.borrowed_free(context.rights, context.standings.len());
        if granted > 0 && wanted >= free {
            // A lender that had one unit may have more: it is asked first, and again at once.
            self.next_to_ask = key.member.index();
            self.asked.remove(&key.member);
            let missing = u32::try_from(wanted - free).unwrap_or(u32::MAX);
            lines.extend((missing > 0).then(|| self.ask(key.member, missing, context.rights, now)));
        }
        if granted > 0 && wanted < free {
            lines.push(self.unask(key.member));
        }
        let Some(loan) = self.borrowed.get_mut(&key) else {
            return;
        };
        loan.return_unneeded(settings.idle_ms, now);
        loan.return_unused(granted.min(free.saturating_sub(wanted)));
        if needs_ack {
            lines.push(Addressed::new(key.member, &self.team, loan.entry(now)));
        }
    }
}
