//! Lookup tables of queues, pools and teams, kept up to date with the catalogue.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use vanillafold_policy::DaemonMember;
use vanillafold_state::{Escrow, State, TeamLimit};
use vanillafold_types::{PoolId, TeamId, ZoneId};

use super::{PoolRuntime, QueueRuntime, TeamRuntime};

/// The runtime state of all queues, pools and teams, each list sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    pub(crate) queues: Vec<Rc<QueueRuntime>>,
    pub(crate) pools: Vec<Rc<PoolRuntime>>,
    pub(crate) teams: Vec<Rc<TeamRuntime>>,
    /// Pools that were removed while requests waited for them.
    removed_pools: Vec<Weak<PoolRuntime>>,
}

/// This daemon and all daemons of its fleet.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) own: DaemonMember,
    /// All daemons, this one included, sorted by name.
    pub(crate) daemons: Vec<DaemonMember>,
}

impl Routes {
    /// Returns the queue called `id`.
    pub(crate) fn queue(&self, id: &str) -> Option<&Rc<QueueRuntime>> {
        let found = self
            .queues
            .binary_search_by(|queue| queue.settings.id.as_str().cmp(id));
        found.ok().map(|index| &self.queues[index])
    }

    /// Returns the pool called `id`.
    pub(crate) fn pool(&self, id: &PoolId) -> Option<&Rc<PoolRuntime>> {
        let found = self.pools.binary_search_by(|pool| pool.id.cmp(id));
        found.ok().map(|index| &self.pools[index])
    }

    /// Returns the team called `id`.
    pub(crate) fn team(&self, id: &TeamId) -> Option<&Rc<TeamRuntime>> {
        let found = self.teams.binary_search_by(|team| team.id.cmp(id));
        found.ok().map(|index| &self.teams[index])
    }

    /// Updates all entries from `state`; entries that remain keep their runtime state. Returns
    /// whether pools were added or removed.
    pub(crate) fn update(
        &mut self,
        state: &State,
        fleet: &Fleet,
        escrow: &Rc<RefCell<Escrow>>,
    ) -> bool {
        let pools_changed = self.update_pools(state, fleet);
        self.update_evacuations(state);
        self.update_teams(state, escrow);
        self.update_queues(state);
        pools_changed
    }

    fn update_pools(&mut self, state: &State, fleet: &Fleet) -> bool {
        let pools: Vec<Rc<PoolRuntime>> = state
            .pools()
            .map(|pool| match self.pool(&pool.value.id) {
                Some(existing) => {
                    existing.set_limits(&pool.value);
                    Rc::clone(existing)
                }
                None => PoolRuntime::new(&pool.value, fleet.own.clone(), fleet.daemons.clone()),
            })
            .collect();
        for removed in &self.pools {
            if state.pool(&removed.id).is_none() {
                removed.close_idle();
                self.removed_pools.push(Rc::downgrade(removed));
            }
        }
        let unchanged = pools.len() == self.pools.len()
            && pools.iter().zip(&self.pools).all(|(a, b)| Rc::ptr_eq(a, b));
        self.pools = pools;
        !unchanged
    }

    fn update_evacuations(&mut self, state: &State) {
        let zones = state.evacuated_zones();
        let zones: Vec<ZoneId> = zones.map(|zone| zone.value.clone()).collect();
        self.removed_pools.retain(|pool| pool.strong_count() > 0);
        let removed = self.removed_pools.iter().filter_map(Weak::upgrade);
        for pool in self.pools.iter().cloned().chain(removed) {
            pool.set_evacuated_zones(&zones);
        }
    }

    fn update_teams(&mut self, state: &State, escrow: &Rc<RefCell<Escrow>>) {
        let teams = state
            .teams()
            .map(|team| {
                let id = &team.value.id;
                let existing = self.team(id).cloned();
                existing.unwrap_or_else(|| TeamRuntime::new(id.clone(), Rc::clone(escrow)))
            })
            .collect();
        self.teams = teams;
        let limits: Vec<TeamLimit> = state
            .teams()
            .map(|team| TeamLimit {
                team: team.value.id.clone(),
                limit: team.value.limit,
            })
            .collect();
        escrow.borrow_mut().set_limits(&limits);
    }

    fn update_queues(&mut self, state: &State) {
        let queues = state
            .queues()
            .filter_map(|queue| {
                let settings = &queue.value;
                let pool = Rc::clone(self.pool(&settings.pool)?);
                Some(match self.queue(settings.id.as_str()) {
                    Some(existing) if existing.settings == *settings => Rc::clone(existing),
                    Some(existing) => Rc::new(existing.with_settings(settings.clone(), pool)),
                    None => Rc::new(QueueRuntime::new(settings.clone(), pool)),
                })
            })
            .collect();
        self.queues = queues;
    }
}
