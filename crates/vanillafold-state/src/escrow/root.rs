//! The escrow of one daemon: limits, freshness, units in use and the planned stop.

use vanillafold_types::{DaemonId, Incarnation, Millis, TeamId};

use super::account::{Rights, TeamAccount};
use super::status::{MemberIndex, MemberStatus, OwnStatus, Takeover, takeovers};
use super::unit::UnitSource;
use super::{BootMillis, EscrowSettings, NoUnit, TeamLimit};
use crate::table::SortedVec;
use crate::{ControlChange, Roster};

/// The units of each team's limit that this daemon may use.
///
/// Every time is from this VM's clock, which counts suspended time. The embedding daemon reads the
/// log, passes the results to [`Escrow::update_roster`] and [`Escrow::set_limits`], and only then
/// calls [`Escrow::mark_fresh`]. It passes messages of peers to [`Escrow::receive`], sends the
/// messages that the escrow returns, and calls [`Escrow::tick`] ten times a second.
#[derive(Debug)]
pub struct Escrow {
    pub(super) own: MemberIndex,
    pub(super) incarnation: Incarnation,
    pub(super) fleet: Vec<DaemonId>,
    pub(super) settings: EscrowSettings,
    pub(super) statuses: Vec<MemberStatus>,
    pub(super) own_status: OwnStatus,
    pub(super) takeovers: Vec<Takeover>,
    pub(super) is_leaving: bool,
    pub(super) fresh_at: Option<BootMillis>,
    pub(super) accounts: SortedVec<TeamAccount>,
}

impl Escrow {
    /// Creates the escrow of the daemon `own`, which is added to `fleet` if it is missing there.
    ///
    /// `fleet` must be the same in every daemon, and `incarnation` must differ from that of every
    /// other process of this daemon: two processes with the same incarnation can together exceed
    /// limits.
    #[must_use]
    pub fn new(
        own: &DaemonId,
        incarnation: Incarnation,
        mut fleet: Vec<DaemonId>,
        settings: EscrowSettings,
    ) -> Self {
        fleet.push(own.clone());
        fleet.sort();
        fleet.dedup();
        let index = fleet.binary_search(own).unwrap_or(0);
        Self {
            own: MemberIndex(u16::try_from(index).unwrap_or(u16::MAX)),
            incarnation,
            statuses: vec![MemberStatus::default(); fleet.len()],
            own_status: OwnStatus::default(),
            takeovers: Vec::new(),
            fleet,
            settings,
            is_leaving: false,
            fresh_at: None,
            accounts: SortedVec::default(),
        }
    }

    /// Sets the limits of all teams; a team that is not among them gets the limit 0.
    pub fn set_limits(&mut self, limits: &[TeamLimit]) {
        for TeamLimit { team, .. } in limits {
            self.accounts
                .get_or_insert_with(team, || TeamAccount::new(team.clone()));
        }
        for account in self.accounts.iter_mut() {
            let limit = limits
                .iter()
                .find(|entry| entry.team == account.team)
                .map(|entry| entry.limit)
                .unwrap_or_default();
            if limit != account.limit {
                account.set_limit(limit, self.own, self.fleet.len(), &self.settings);
                account.set_taken_over(&self.takeovers, self.fleet.len(), &self.settings);
            }
        }
    }

    /// Records that both streams were read up to their tails by reads that began no earlier than
    /// `at`, and that the results were passed to this escrow.
    pub fn mark_fresh(&mut self, at: BootMillis) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Records a peer's freshness: `age` is the peer's [`Escrow::fresh_age`] when it answered a
    /// query that was sent no earlier than `asked_at`.
    ///
    /// Must only be called once this escrow has been given everything that the peer had read of
    /// both streams by then. An age that was not queried has an unknown delay and must not be used.
    pub fn mark_fresh_from_peer(&mut self, asked_at: BootMillis, age: Millis) {
        let age = self.settings.with_drift(age.get());
        if let Some(at) = asked_at.before(age) {
            self.mark_fresh(at);
        }
    }

    /// Returns the time since the start of the reads that made this daemon fresh, or `None` if it
    /// is not fresh.
    #[must_use]
    pub fn fresh_age(&self, now: BootMillis) -> Option<Millis> {
        self.fresh_at
            .filter(|_| self.is_fresh(now))
            .map(|at| now.since(at))
    }

    /// Returns whether the log was read up to its tail within the last
    /// [`EscrowSettings::fence_ms`].
    #[must_use]
    pub fn is_fresh(&self, now: BootMillis) -> bool {
        self.fresh_at
            .is_some_and(|at| now.since(at) < self.settings.fence_ms)
    }

    /// Returns whether a later incarnation of this daemon has joined, or this one was fenced or has
    /// left.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.own_status.is_superseded()
    }

    /// Updates the status of all daemons from the roster, and closes loans with incarnations that
    /// are not current any more. Must be called after every change read from the control stream.
    pub fn update_roster(&mut self, roster: &Roster, now: BootMillis) {
        let own = &self.fleet[self.own.index()];
        self.own_status.update(own, self.incarnation, roster, now);
        for (daemon, status) in self.fleet.iter().zip(&mut self.statuses) {
            status.update(daemon, roster, now);
        }
        for account in self.accounts.iter_mut() {
            for lent in account.lent.iter_mut() {
                let status = self.statuses[lent.key.member.index()];
                if lent.closed_since.is_none() && !status.is_current(lent.key.incarnation) {
                    lent.closed_since = Some(now);
                }
            }
            for loan in account.borrowed.iter_mut() {
                let status = self.statuses[loan.key.member.index()];
                loan.is_closed |= !status.is_current(loan.key.incarnation);
            }
        }
        self.update_takeovers(now);
    }

    /// Takes a unit of a team for work that starts now. Must be called right before the work's
    /// first byte is sent, without an await point in between.
    ///
    /// # Errors
    ///
    /// Returns a [`NoUnit`] if the work must not start.
    pub fn try_take(&mut self, team: &TeamId, now: BootMillis) -> Result<UnitSource, NoUnit> {
        let rights = self.rights(now)?;
        if rights.is_leaving {
            return Err(NoUnit::Leaving);
        }
        let Some(account) = self.accounts.get_mut(team) else {
            return Err(NoUnit::UnknownTeam);
        };
        let reserved = account.reserved(&self.settings, now);
        let wanted = account.demand(&self.settings, now);
        let taken = account.take(rights, reserved, self.fleet.len());
        match taken {
            Ok(_) if wanted > 0 => account.set_demand(wanted - 1, now),
            Err(_) => account.set_demand(wanted.max(1), now),
            Ok(_) => {}
        }
        account.check();
        taken
    }

    /// Sets how many requests of a team wait for a unit, so that as many units are borrowed. The
    /// value expires after [`EscrowSettings::borrow_retry_ms`].
    pub fn set_demand(&mut self, team: &TeamId, waiting: u32, now: BootMillis) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.set_demand(waiting, now);
        }
    }

    /// Gives a unit back after its target has answered, or after the work's deadline and the linger
    /// time have passed.
    ///
    /// # Panics
    ///
    /// Panics if the unit was taken from another escrow or for another team.
    pub fn give_back(&mut self, team: &TeamId, unit: UnitSource) {
        let account = self
            .accounts
            .get_mut(team)
            .expect("a team that had units has an account");
        let UnitSource(source) = unit;
        account.give_back(&source);
        account.check();
    }

    /// Begins a planned stop: no unit can be taken any more, lent units are recalled and borrowed
    /// ones returned.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns the record that announces a [planned stop](Self::leave), or `None` while a unit is
    /// in use, lent or borrowed, or a handover from an earlier incarnation is under way.
    ///
    /// After this record, the next incarnation can use all units at once. A daemon that cannot wait
    /// for it may stop without it; the next incarnation then waits for the handover time.
    #[must_use]
    pub fn leave_record(&self, now: BootMillis) -> Option<ControlChange> {
        let rights = self.rights(now).ok()?;
        let is_clear = rights.is_leaving
            && rights.is_surplus_open
            && self.accounts.iter().all(TeamAccount::is_clear);
        is_clear.then(|| ControlChange::Leave {
            daemon: self.fleet[self.own.index()].clone(),
            incarnation: self.incarnation,
            is_floor_settled: rights.is_floor_open,
        })
    }

    /// Returns which units this daemon may use now, or the reason why it may use none.
    pub(super) fn rights(&self, now: BootMillis) -> Result<Rights, NoUnit> {
        match self.own_status {
            status if status.is_superseded() => Err(NoUnit::Superseded),
            status if !status.is_joined() => Err(NoUnit::NotJoined),
            status => Ok(Rights {
                is_fresh: self.is_fresh(now),
                is_surplus_open: status.is_surplus_open(&self.settings, now),
                is_floor_open: status.is_floor_open(&self.settings, now),
                is_leaving: self.is_leaving,
            }),
        }
    }

    /// Updates which slices of fenced daemons' surplus this daemon may use.
    pub(super) fn update_takeovers(&mut self, now: BootMillis) {
        let current = takeovers(self.own, &self.statuses, &self.settings, now);
        if current == self.takeovers {
            return;
        }
        self.takeovers = current;
        for account in self.accounts.iter_mut() {
            account.set_taken_over(&self.takeovers, self.fleet.len(), &self.settings);
        }
    }
}
