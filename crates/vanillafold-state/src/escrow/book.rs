//! One team's units as this daemon counts them.

use vanillafold_types::{Limit, TeamId};

use super::loan::{Borrowed, Lent, LoanKey};
use super::share::{floor_units, home_units, slice_units};
use super::standing::{Member, Takeover};
use super::unit::{Source, UnitSource};
use super::{BootMillis, EscrowSettings, NoUnit};
use crate::table::{Keyed, SortedVec};

/// How often the time between two asks is doubled while a peer doesn't lend.
const MAX_ASK_DOUBLINGS: u32 = 4;

/// What this daemon may do at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rights {
    /// The log was read to its tail lately enough.
    pub(super) is_fresh: bool,
    /// No earlier start can use the surplus any more.
    pub(super) is_surplus_open: bool,
    /// No earlier start can use the floor any more.
    pub(super) is_floor_open: bool,
    /// The daemon stops as planned.
    pub(super) is_leaving: bool,
}

/// One team's units.
#[derive(Debug)]
pub(super) struct Book {
    pub(super) team: TeamId,
    pub(super) limit: Limit,
    /// This daemon's home units.
    pub(super) home: u32,
    /// The part of them that is never lent.
    pub(super) floor: u32,
    /// Units of fenced daemons' surplus that fall to this daemon; for its own work only.
    pub(super) taken_over: u32,
    /// Units in use of home and taken_over.
    pub(super) own_in_use: u32,
    pub(super) lent: SortedVec<Lent>,
    pub(super) borrowed: SortedVec<Borrowed>,
    /// What peers wish to borrow, in the order in which they are served.
    pub(super) asks: Vec<Ask>,
    /// The peers that were asked.
    pub(super) asked: SortedVec<Asked>,
    /// Where the search for lenders goes on.
    pub(super) next_to_ask: usize,
    demand: u32,
    demand_at: BootMillis,
}

/// A peer's wish to borrow.
#[derive(Debug)]
pub(super) struct Ask {
    pub(super) member: Member,
    pub(super) wanted: u32,
    pub(super) is_starved: bool,
    pub(super) since: BootMillis,
    pub(super) renewed_at: BootMillis,
}

/// When a peer was asked.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) member: Member,
    pub(super) at: BootMillis,
    /// How often it was asked since it last lent.
    pub(super) times: u32,
}

impl Asked {
    /// Whether it is time to ask again, in case the ask was lost.
    pub(super) fn is_due(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        let doublings = self.times.saturating_sub(1).min(MAX_ASK_DOUBLINGS);
        now.since(self.at).get() >= settings.borrow_retry_ms.get() << doublings
    }
}

impl Book {
    pub(super) fn new(team: TeamId) -> Self {
        Self {
            team,
            limit: Limit::ZERO,
            home: 0,
            floor: 0,
            taken_over: 0,
            own_in_use: 0,
            lent: SortedVec::default(),
            borrowed: SortedVec::default(),
            asks: Vec::new(),
            asked: SortedVec::default(),
            next_to_ask: 0,
            demand: 0,
            demand_at: BootMillis::default(),
        }
    }

    pub(super) fn set_limit(
        &mut self,
        limit: Limit,
        own: Member,
        daemons: usize,
        settings: &EscrowSettings,
    ) {
        self.limit = limit;
        self.home = home_units(&self.team, limit, own.index(), daemons);
        self.floor = floor_units(self.home, settings.floor);
        let home = self.home;
        self.lent.iter_mut().for_each(|lent| lent.set_home(home));
        self.recall_excess();
    }

    pub(super) fn set_taken_over(
        &mut self,
        takeovers: &[Takeover],
        daemons: usize,
        settings: &EscrowSettings,
    ) {
        let units = takeovers.iter().map(|takeover| {
            let home = home_units(&self.team, self.limit, takeover.from.index(), daemons);
            let surplus = home - floor_units(home, settings.floor);
            slice_units(&self.team, surplus, takeover.slice, daemons)
        });
        self.taken_over = units.sum();
    }

    /// The home units that are never the floor.
    pub(super) fn surplus(&self) -> u64 {
        u64::from(self.home - self.floor)
    }

    /// Units that were lent and may still be in use.
    pub(super) fn outstanding(&self) -> u64 {
        self.lent.iter().map(Lent::outstanding).sum()
    }

    /// Units that were lent and not asked back.
    fn kept(&self) -> u64 {
        self.lent.iter().map(Lent::kept).sum()
    }

    /// The floor, unless an earlier start may be using it.
    fn open_floor(&self, rights: Rights) -> u64 {
        match rights.is_floor_open {
            true => u64::from(self.floor),
            false => 0,
        }
    }

    /// Units that could be in use here, were none lent.
    fn capacity(&self, rights: Rights) -> u64 {
        let floor = self.open_floor(rights);
        match rights.is_fresh && rights.is_surplus_open {
            true => floor + self.surplus() + u64::from(self.taken_over),
            false => floor,
        }
    }

    /// Own units on which work may start.
    pub(super) fn own_free(&self, rights: Rights) -> u64 {
        let in_use = u64::from(self.own_in_use);
        let unused = self.capacity(rights).saturating_sub(in_use);
        let all = self.open_floor(rights) + self.surplus() + u64::from(self.taken_over);
        let beside_loans = all.saturating_sub(in_use + self.outstanding());
        unused.min(beside_loans)
    }

    /// Units that may be lent now.
    pub(super) fn lendable(&self, rights: Rights) -> u64 {
        match rights.is_fresh && rights.is_surplus_open && !rights.is_leaving {
            true => {
                let unlent = self.surplus().saturating_sub(self.outstanding());
                let beside_use = self
                    .capacity(rights)
                    .saturating_sub(u64::from(self.own_in_use) + self.outstanding());
                unlent.min(beside_use)
            }
            false => 0,
        }
    }

    /// The home units of a lender under the limit that this daemon knows.
    pub(super) fn home_of(&self, lender: Member, daemons: usize) -> u32 {
        home_units(&self.team, self.limit, lender.index(), daemons)
    }

    /// Borrowed units on which work may start.
    pub(super) fn borrowed_free(&self, rights: Rights, daemons: usize) -> u64 {
        match rights.is_fresh {
            true => self
                .borrowed
                .iter()
                .map(|loan| loan.free(self.home_of(loan.key.member, daemons)))
                .sum(),
            false => 0,
        }
    }

    /// Takes an own unit, or else a borrowed one.
    pub(super) fn take(
        &mut self,
        rights: Rights,
        reserved: u64,
        daemons: usize,
    ) -> Result<UnitSource, NoUnit> {
        if self.own_free(rights) > reserved {
            self.own_in_use += 1;
            let held = u64::from(self.home) + u64::from(self.taken_over);
            assert!(
                u64::from(self.own_in_use) + self.outstanding() <= held,
                "more units of {} in use and lent than held",
                self.team
            );
            return Ok(UnitSource(Source::Own));
        }
        if !rights.is_fresh {
            return Err(NoUnit::NotFresh);
        }
        let (team, limit) = (&self.team, self.limit);
        let home_of = |loan: &Borrowed| home_units(team, limit, loan.key.member.index(), daemons);
        let free = self
            .borrowed
            .iter_mut()
            .map(|loan| (home_of(loan), loan))
            .find(|(home, loan)| loan.free(*home) > 0);
        match free {
            Some((home, loan)) => {
                loan.take(home);
                let LoanKey {
                    member,
                    incarnation,
                } = loan.key;
                Ok(UnitSource::borrowed(member, incarnation))
            }
            None if !rights.is_surplus_open => Err(NoUnit::Handover),
            None => Err(NoUnit::AllInUse),
        }
    }

    pub(super) fn give_back(&mut self, source: &Source) {
        match source {
            Source::Own => {
                assert!(
                    self.own_in_use > 0,
                    "an own unit of {} came back twice",
                    self.team
                );
                self.own_in_use -= 1;
            }
            Source::Borrowed(key) => self
                .borrowed
                .get_mut(key)
                .expect("a loan is kept while its units are in use")
                .give_back(),
        }
    }

    pub(super) fn set_demand(&mut self, units: u32, now: BootMillis) {
        self.demand = units;
        self.demand_at = now;
    }

    /// Units that this daemon's waiting work could use.
    pub(super) fn demand(&self, settings: &EscrowSettings, now: BootMillis) -> u32 {
        match now.since(self.demand_at) < settings.borrow_retry_ms {
            true => self.demand,
            false => 0,
        }
    }

    /// Whether nothing runs here and nothing can start.
    pub(super) fn is_starved(&self, rights: Rights) -> bool {
        self.own_in_use == 0
            && self.own_free(rights) == 0
            && self.borrowed.iter().all(|loan| loan.held() == 0)
    }

    /// Whether a peer has none and asked long enough ago.
    fn is_peer_starved(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        let is_overdue = |ask: &Ask| ask.is_starved && now.since(ask.since) >= settings.min_hold_ms;
        self.asks.iter().any(is_overdue)
    }

    /// Units kept back for a peer that has none.
    pub(super) fn reserved(&self, settings: &EscrowSettings, now: BootMillis) -> u64 {
        let is_lender = self.outstanding() < self.surplus();
        u64::from(is_lender && self.is_peer_starved(settings, now))
    }

    /// Asks back what is lent beyond the surplus, after the limit was lowered.
    fn recall_excess(&mut self) {
        let mut excess = self.kept().saturating_sub(self.surplus());
        for lent in self.lent.iter_mut() {
            excess -= lent.recall(excess);
        }
    }

    /// Asks back what this daemon's own waiting work needs, or else a unit for a peer that has
    /// none.
    pub(super) fn recall_wanted(
        &mut self,
        rights: Rights,
        settings: &EscrowSettings,
        now: BootMillis,
    ) {
        // What was asked back already is on its way and counts as there.
        let kept = self.kept();
        let unlent = self
            .capacity(rights)
            .saturating_sub(u64::from(self.own_in_use) + kept);
        let wanted = u64::from(self.demand(settings, now)).min(self.capacity(rights));
        let is_all_lent = kept > 0 && kept >= self.surplus();
        let starved = u64::from(is_all_lent && self.is_peer_starved(settings, now));
        let mut needed = wanted.saturating_sub(unlent).max(starved);
        for lent in self.lent.iter_mut() {
            if lent.closed_since.is_none() && lent.is_held_for(settings.min_hold_ms, now) {
                needed -= lent.recall(needed);
            }
        }
    }

    /// Gives back and asks back everything.
    pub(super) fn wind_up(&mut self) {
        for lent in self.lent.iter_mut() {
            lent.recall(u64::MAX);
        }
        for loan in self.borrowed.iter_mut() {
            loan.return_unused(u64::MAX);
        }
    }

    /// Whether nothing is in use, lent or borrowed.
    pub(super) fn is_clear(&self) -> bool {
        self.own_in_use == 0
            && self.outstanding() == 0
            && self.borrowed.iter().all(|loan| loan.held() == 0)
    }

    /// Forgets loans whose other side holds nothing any more.
    pub(super) fn close_loans(&mut self, settings: &EscrowSettings, now: BootMillis) {
        let is_over = |lent: &Lent| {
            lent.closed_since
                .is_some_and(|at| now.since(at) >= settings.handover_ms())
        };
        self.lent.retain_mut(|lent| !is_over(lent));
        self.borrowed
            .retain_mut(|loan| !loan.is_closed || loan.in_use() > 0);
    }

    pub(super) fn forget_old_asks(&mut self, settings: &EscrowSettings, now: BootMillis) {
        let ttl_ms = settings.borrow_retry_ms.get() << (MAX_ASK_DOUBLINGS + 1);
        self.asks
            .retain(|ask| now.since(ask.renewed_at).get() < ttl_ms);
    }

    /// Asserts what must hold between any two calls.
    pub(super) fn check(&self) {
        assert!(
            self.floor <= self.home,
            "the floor of {} is above its home units",
            self.team
        );
        for loan in self.borrowed.iter() {
            loan.held();
        }
        self.outstanding();
    }
}

impl Keyed for Book {
    type Key = TeamId;

    fn key(&self) -> &TeamId {
        &self.team
    }
}

impl Keyed for Asked {
    type Key = Member;

    fn key(&self) -> &Member {
        &self.member
    }
}
