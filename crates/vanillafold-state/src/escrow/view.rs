//! A snapshot of the escrow for the state page.

use vanillafold_types::{Limit, TeamId};

use super::BootMillis;
use super::loan::Borrowed;
use super::root::Escrow;

/// The state of the escrow at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EscrowView {
    /// Whether the log was read recently enough to use more than the floor.
    pub is_fresh: bool,
    /// Whether the join of this incarnation was read back from the log.
    pub is_joined: bool,
    /// Whether this incarnation is superseded, fenced or has left.
    pub is_superseded: bool,
    /// Whether no earlier incarnation can still use the surplus. The surplus is usable if
    /// `is_fresh` is true too.
    pub is_surplus_open: bool,
    /// Whether no earlier incarnation can still use the floor.
    pub is_floor_open: bool,
    /// The teams' units, sorted by team.
    pub teams: Vec<TeamView>,
}

/// The units of one team in this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamView {
    /// The team that the units belong to.
    pub team: TeamId,
    /// The team's fleet-wide limit; 0 if the catalogue has no such team any more.
    pub limit: Limit,
    /// Units of the limit that belong to this daemon.
    pub home: u32,
    /// Home units that may be used without a recent read of the log.
    pub floor: u32,
    /// Units of fenced daemons' surplus that this daemon may use.
    pub taken_over: u32,
    /// Home and taken-over units in use.
    pub own_in_use: u32,
    /// Units lent to peers and not returned yet.
    pub lent: u64,
    /// Units borrowed from peers and not returned yet, in use or not.
    pub borrowed: u64,
    /// Borrowed units in use.
    pub borrowed_in_use: u64,
    /// Units that requests waiting here could use.
    pub demand: u32,
}

impl Escrow {
    /// Returns the state of the escrow at `now`.
    #[must_use]
    pub fn view(&self, now: BootMillis) -> EscrowView {
        let status = &self.own_status;
        let teams = self.accounts.iter().map(|account| TeamView {
            team: account.team.clone(),
            limit: account.limit,
            home: account.home,
            floor: account.floor,
            taken_over: account.taken_over,
            own_in_use: account.own_in_use,
            lent: account.outstanding(),
            borrowed: account.borrowed.iter().map(Borrowed::held).sum(),
            borrowed_in_use: account.borrowed.iter().map(Borrowed::in_use).sum(),
            demand: account.demand(&self.settings, now),
        });
        EscrowView {
            is_fresh: self.is_fresh(now),
            is_joined: status.is_joined(),
            is_superseded: status.is_superseded(),
            is_surplus_open: status.is_surplus_open(&self.settings, now),
            is_floor_open: status.is_floor_open(&self.settings, now),
            teams: teams.collect(),
        }
    }
}
