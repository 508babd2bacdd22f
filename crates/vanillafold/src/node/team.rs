//! A team's units on this daemon: what it may have running here.

use std::cell::Cell;
use std::rc::Rc;

use monoio::time::{Instant, sleep_until};
use vanillafold_types::{Limit, TeamId};

use crate::wait::WaitList;

/// The units of one team that this daemon may use.
#[derive(Debug)]
pub(crate) struct TeamRuntime {
    /// The team.
    pub(crate) id: TeamId,
    /// Requests that wait for a unit.
    pub(crate) waiters: Rc<WaitList>,
    allowance: Cell<u32>,
    held: Cell<u32>,
}

/// One unit, in use until it is dropped.
#[derive(Debug)]
pub(crate) struct TeamUnit {
    team: Rc<TeamRuntime>,
}

impl TeamRuntime {
    pub(crate) fn new(id: TeamId) -> Rc<Self> {
        Rc::new(Self {
            id,
            waiters: WaitList::new(),
            allowance: Cell::new(0),
            held: Cell::new(0),
        })
    }

    /// Takes the units that this daemon may use; what runs already drains.
    pub(crate) fn set_allowance(&self, units: u32) {
        self.allowance.set(units);
        for _ in self.held.get()..units {
            self.waiters.wake_first();
        }
    }

    /// Units that this daemon may use.
    pub(crate) fn allowance(&self) -> u32 {
        self.allowance.get()
    }

    /// Units in use.
    pub(crate) fn held(&self) -> u32 {
        self.held.get()
    }

    /// Takes a unit if one is free.
    pub(crate) fn try_take(self: &Rc<Self>) -> Option<TeamUnit> {
        if self.held.get() >= self.allowance.get() {
            return None;
        }
        self.held.set(self.held.get() + 1);
        Some(TeamUnit {
            team: Rc::clone(self),
        })
    }
}

impl TeamUnit {
    /// Keeps the unit in use until `until`: for work whose end can't be seen.
    pub(crate) fn hold_until(self, until: Instant) {
        monoio::spawn(async move {
            sleep_until(until).await;
            drop(self);
        });
    }
}

impl Drop for TeamUnit {
    fn drop(&mut self) {
        let team = &self.team;
        assert!(
            team.held.get() > 0,
            "a unit of {} was returned twice",
            team.id
        );
        team.held.set(team.held.get() - 1);
        if team.held.get() < team.allowance.get() {
            team.waiters.wake_first();
        }
    }
}

/// The units of `limit` that belong to the daemon at `index` of a fleet of `daemons`.
///
/// The shares of all daemons add up to the limit, and none shrinks when the limit grows, so two
/// daemons that hold different revisions of a limit together stay within the larger one.
pub(crate) fn static_share(limit: Limit, index: usize, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    let base = limit.get() / daemons;
    let remainder = limit.get() % daemons;
    base + u32::from(index < remainder)
}
