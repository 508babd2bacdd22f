//! The account of one team's units in this daemon: its own units, loans and borrow requests.

use vanillafold_types::{Limit, TeamId};

use super::loan::{Borrowed, Lent, LoanKey};
use super::share::{floor_units, home_units, slice_units};
use super::status::{MemberIndex, Takeover};
use super::unit::{Source, UnitSource};
use super::{BootMillis, EscrowSettings, NoUnit};
use crate::table::{Keyed, SortedVec};

/// How many times the interval between two requests to a peer doubles while the peer lends nothing.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// Which units this daemon may use at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rights {
    /// Whether the log was read up to its tail within the last `fence_ms`.
    pub(super) is_fresh: bool,
    /// Whether no earlier incarnation of this daemon can still use the surplus.
    pub(super) is_surplus_open: bool,
    /// Whether no earlier incarnation of this daemon can still use the floor.
    pub(super) is_floor_open: bool,
    /// Whether the daemon is in a planned stop.
    pub(super) is_leaving: bool,
}

/// The units of one team that this daemon owns, has lent or has borrowed.
#[derive(Debug)]
pub(super) struct TeamAccount {
    pub(super) team: TeamId,
    pub(super) limit: Limit,
    /// The units of the limit that belong to this daemon by [`home_units`].
    pub(super) home: u32,
    /// The part of the home units that is never lent.
    pub(super) floor: u32,
    /// Units of fenced daemons' surplus that fall to this daemon. They serve its own work only and
    /// are never lent.
    pub(super) taken_over: u32,
    /// Home and taken-over units in use.
    pub(super) own_in_use: u32,
    pub(super) lent: SortedVec<Lent>,
    pub(super) borrowed: SortedVec<Borrowed>,
    /// Borrow requests of peers, in the order in which they are served.
    pub(super) received_requests: Vec<ReceivedRequest>,
    /// The last borrow request sent to each peer; emptied when there is no demand.
    pub(super) sent_requests: SortedVec<SentRequest>,
    /// Fleet index at which the next search for lenders begins.
    pub(super) next_lender: usize,
    /// Units that requests waiting here could use, as last reported at `demand_at`.
    demand: u32,
    demand_at: BootMillis,
}

/// A borrow request of a peer.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) member: MemberIndex,
    pub(super) units: u32,
    pub(super) is_starved: bool,
    /// When the peer first sent the request, or when it was last granted units.
    pub(super) waiting_since: BootMillis,
    pub(super) renewed_at: BootMillis,
}

/// The last borrow request sent to a peer.
#[derive(Debug)]
pub(super) struct SentRequest {
    pub(super) member: MemberIndex,
    pub(super) sent_at: BootMillis,
    /// Requests sent since the peer last lent units.
    pub(super) attempts: u32,
}

impl SentRequest {
    /// Returns whether the request must be repeated, because it may have been lost.
    pub(super) fn is_due(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        let doublings = self.attempts.saturating_sub(1).min(MAX_RETRY_DOUBLINGS);
        now.since(self.sent_at).get() >= settings.borrow_retry_ms.get() << doublings
    }
}

impl TeamAccount {
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
            received_requests: Vec::new(),
            sent_requests: SortedVec::default(),
            next_lender: 0,
            demand: 0,
            demand_at: BootMillis::default(),
        }
    }

    pub(super) fn set_limit(
        &mut self,
        limit: Limit,
        own: MemberIndex,
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

    /// Returns the home units above the floor, which may be lent.
    pub(super) fn surplus(&self) -> u64 {
        u64::from(self.home - self.floor)
    }

    /// Returns the units that were lent and may still be in use.
    pub(super) fn outstanding(&self) -> u64 {
        self.lent.iter().map(Lent::outstanding).sum()
    }

    /// Returns the units that were lent and not recalled.
    fn unrecalled(&self) -> u64 {
        self.lent.iter().map(Lent::unrecalled).sum()
    }

    /// Returns the floor, or 0 while an earlier incarnation may be using it.
    fn usable_floor(&self, rights: Rights) -> u64 {
        match rights.is_floor_open {
            true => u64::from(self.floor),
            false => 0,
        }
    }

    /// Returns how many units could be in use here if none were lent.
    fn capacity(&self, rights: Rights) -> u64 {
        let floor = self.usable_floor(rights);
        match rights.is_fresh && rights.is_surplus_open {
            true => floor + self.surplus() + u64::from(self.taken_over),
            false => floor,
        }
    }

    /// Returns the own units on which work may start.
    pub(super) fn own_free(&self, rights: Rights) -> u64 {
        let in_use = u64::from(self.own_in_use);
        let unused = self.capacity(rights).saturating_sub(in_use);
        let all = self.usable_floor(rights) + self.surplus() + u64::from(self.taken_over);
        let not_lent = all.saturating_sub(in_use + self.outstanding());
        unused.min(not_lent)
    }

    /// Returns how many units may be lent now.
    pub(super) fn lendable(&self, rights: Rights) -> u64 {
        match rights.is_fresh && rights.is_surplus_open && !rights.is_leaving {
            true => {
                let unlent = self.surplus().saturating_sub(self.outstanding());
                let not_in_use = self
                    .capacity(rights)
                    .saturating_sub(u64::from(self.own_in_use) + self.outstanding());
                unlent.min(not_in_use)
            }
            false => 0,
        }
    }

    /// Returns the home units of `lender` under the limit that this daemon knows.
    pub(super) fn home_of(&self, lender: MemberIndex, daemons: usize) -> u32 {
        home_units(&self.team, self.limit, lender.index(), daemons)
    }

    /// Returns the borrowed units on which work may start.
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
    ///
    /// `reserved` own units are kept back for starved peers.
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
                    "an own unit of {} was given back twice",
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

    /// Returns how many units the requests waiting here could use; 0 if the demand was not renewed
    /// within `borrow_retry_ms`.
    pub(super) fn demand(&self, settings: &EscrowSettings, now: BootMillis) -> u32 {
        match now.since(self.demand_at) < settings.borrow_retry_ms {
            true => self.demand,
            false => 0,
        }
    }

    /// Returns whether this daemon runs nothing on own units, has none free, and has borrowed none.
    pub(super) fn is_starved(&self, rights: Rights) -> bool {
        self.own_in_use == 0
            && self.own_free(rights) == 0
            && self.borrowed.iter().all(|loan| loan.held() == 0)
    }

    /// Returns whether a peer without any unit has waited for at least `min_hold_ms`.
    fn has_overdue_starved_peer(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        let is_overdue = |request: &ReceivedRequest| {
            request.is_starved && now.since(request.waiting_since) >= settings.min_hold_ms
        };
        self.received_requests.iter().any(is_overdue)
    }

    /// Returns the units kept back for a starved peer: one while there is surplus to lend,
    /// otherwise 0.
    pub(super) fn reserved(&self, settings: &EscrowSettings, now: BootMillis) -> u64 {
        let is_lender = self.outstanding() < self.surplus();
        u64::from(is_lender && self.has_overdue_starved_peer(settings, now))
    }

    /// Recalls units lent beyond the surplus after the limit was lowered.
    fn recall_excess(&mut self) {
        let mut excess = self.unrecalled().saturating_sub(self.surplus());
        for lent in self.lent.iter_mut() {
            excess -= lent.recall(excess);
        }
    }

    /// Recalls as many units as the requests waiting here need, or at least one for a starved peer.
    pub(super) fn recall_needed(
        &mut self,
        rights: Rights,
        settings: &EscrowSettings,
        now: BootMillis,
    ) {
        // Recalled units count as available: they are on their way back.
        let unrecalled = self.unrecalled();
        let unlent = self
            .capacity(rights)
            .saturating_sub(u64::from(self.own_in_use) + unrecalled);
        let demand = u64::from(self.demand(settings, now)).min(self.capacity(rights));
        let is_all_lent = unrecalled > 0 && unrecalled >= self.surplus();
        let starved = u64::from(is_all_lent && self.has_overdue_starved_peer(settings, now));
        let mut needed = demand.saturating_sub(unlent).max(starved);
        for lent in self.lent.iter_mut() {
            if lent.closed_since.is_none() && lent.is_held_for(settings.min_hold_ms, now) {
                needed -= lent.recall(needed);
            }
        }
    }

    /// Recalls every lent unit and returns every borrowed unit that is not in use.
    pub(super) fn unwind_loans(&mut self) {
        for lent in self.lent.iter_mut() {
            lent.recall(u64::MAX);
        }
        for loan in self.borrowed.iter_mut() {
            loan.return_unused(u64::MAX);
        }
    }

    /// Returns whether nothing is in use, lent or borrowed.
    pub(super) fn is_clear(&self) -> bool {
        self.own_in_use == 0
            && self.outstanding() == 0
            && self.borrowed.iter().all(|loan| loan.held() == 0)
    }

    /// Removes loans of superseded or fenced peers: lent units once the peer's handover time has
    /// passed, borrowed ones once none is in use.
    pub(super) fn remove_closed_loans(&mut self, settings: &EscrowSettings, now: BootMillis) {
        let is_over = |lent: &Lent| {
            lent.closed_since
                .is_some_and(|at| now.since(at) >= settings.handover_ms())
        };
        self.lent.retain_mut(|lent| !is_over(lent));
        self.borrowed
            .retain_mut(|loan| !loan.is_closed || loan.in_use() > 0);
    }

    pub(super) fn drop_stale_requests(&mut self, settings: &EscrowSettings, now: BootMillis) {
        let ttl_ms = settings.borrow_retry_ms.get() << (MAX_RETRY_DOUBLINGS + 1);
        self.received_requests
            .retain(|request| now.since(request.renewed_at).get() < ttl_ms);
    }

    /// Asserts the account's invariants, which hold between any two calls.
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

impl Keyed for TeamAccount {
    type Key = TeamId;

    fn key(&self) -> &TeamId {
        &self.team
    }
}

impl Keyed for SentRequest {
    type Key = MemberIndex;

    fn key(&self) -> &MemberIndex {
        &self.member
    }
}
