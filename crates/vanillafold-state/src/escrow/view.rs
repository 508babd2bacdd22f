//! The escrow as the state page shows it.

use vanillafold_types::{Limit, TeamId};

use super::BootMillis;
use super::loan::Borrowed;
use super::root::Escrow;

/// What this daemon holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EscrowView {
    /// Whether more than the floor may be used.
    pub is_fresh: bool,
    /// Whether this start's join was read back.
    pub is_joined: bool,
    /// Whether this start is superseded or fenced.
    pub is_superseded: bool,
    /// Whether the surplus may be used, were the log fresh.
    pub is_surplus_open: bool,
    /// Whether the floor may be used.
    pub is_floor_open: bool,
    /// The teams, sorted by name.
    pub teams: Vec<TeamView>,
}

/// What this daemon holds of one team's limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamView {
    /// The team.
    pub team: TeamId,
    /// Its limit.
    pub limit: Limit,
    /// Home units.
    pub home: u32,
    /// Home units that may be used without fresh word.
    pub floor: u32,
    /// Units of fenced daemons that this daemon may use.
    pub taken_over: u32,
    /// Home and taken_over units in use.
    pub own_in_use: u32,
    /// Units lent to peers.
    pub lent: u64,
    /// Units borrowed from peers.
    pub borrowed: u64,
    /// Borrowed units in use.
    pub borrowed_in_use: u64,
    /// Units that waiting work could use.
    pub demand: u32,
}

impl Escrow {
    /// What this daemon holds.
    #[must_use]
    pub fn view(&self, now: BootMillis) -> EscrowView {
        let standing = &self.own_standing;
        let teams = self.books.iter().map(|book| TeamView {
            team: book.team.clone(),
            limit: book.limit,
            home: book.home,
            floor: book.floor,
            taken_over: book.taken_over,
            own_in_use: book.own_in_use,
            lent: book.outstanding(),
            borrowed: book.borrowed.iter().map(Borrowed::held).sum(),
            borrowed_in_use: book.borrowed.iter().map(Borrowed::in_use).sum(),
            demand: book.demand(&self.settings, now),
        });
        EscrowView {
            is_fresh: self.is_fresh(now),
            is_joined: standing.is_joined(),
            is_superseded: standing.is_superseded(),
            is_surplus_open: standing.is_surplus_open(&self.settings, now),
            is_floor_open: standing.is_floor_open(&self.settings, now),
            teams: teams.collect(),
        }
    }
}
