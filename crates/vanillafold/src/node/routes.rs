//! The catalogue as the request path uses it.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold_policy::DaemonMember;
use vanillafold_state::{Escrow, State, TeamLimit};
use vanillafold_types::{PoolId, TeamId};

use super::{PoolRuntime, QueueRuntime, TeamRuntime};

/// Queues, pools and teams as this daemon runs them, each sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    /// The queues.
    pub(crate) queues: Vec<Rc<QueueRuntime>>,
    /// The pools.
    pub(crate) pools: Vec<Rc<PoolRuntime>>,
    /// The teams.
    pub(crate) teams: Vec<Rc<TeamRuntime>>,
}

/// Where this daemon stands among all.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    /// This daemon.
    pub(crate) own: DaemonMember,
    /// Every daemon, sorted by name.
    pub(crate) daemons: Vec<DaemonMember>,
}

impl Routes {
    /// The queue called `id`.
    pub(crate) fn queue(&self, id: &str) -> Option<&Rc<QueueRuntime>> {
        let found = self
            .queues
            .binary_search_by(|queue| queue.settings.id.as_str().cmp(id));
        found.ok().map(|index| &self.queues[index])
    }

    /// The pool called `id`.
    pub(crate) fn pool(&self, id: &PoolId) -> Option<&Rc<PoolRuntime>> {
        let found = self.pools.binary_search_by(|pool| pool.id.cmp(id));
        found.ok().map(|index| &self.pools[index])
    }

    /// The team called `id`.
    pub(crate) fn team(&self, id: &TeamId) -> Option<&Rc<TeamRuntime>> {
        let found = self.teams.binary_search_by(|team| team.id.cmp(id));
        found.ok().map(|index| &self.teams[index])
    }

    /// Takes over what `state` says; entries that stay keep what they hold. Says whether pools
    /// came or went.
    pub(crate) fn follow(
        &mut self,
        state: &State,
        fleet: &Fleet,
        escrow: &Rc<RefCell<Escrow>>,
    ) -> bool {
        let pools_changed = self.follow_pools(state, fleet);
        self.follow_teams(state, escrow);
        self.follow_queues(state);
        pools_changed
    }

    fn follow_pools(&mut self, state: &State, fleet: &Fleet) -> bool {
        let pools: Vec<Rc<PoolRuntime>> = state
            .pools()
            .map(|pool| match self.pool(&pool.value.id) {
                Some(known) => {
                    known.set_limits(&pool.value);
                    Rc::clone(known)
                }
                None => PoolRuntime::new(&pool.value, fleet.own.clone(), fleet.daemons.clone()),
            })
            .collect();
        for gone in &self.pools {
            if state.pool(&gone.id).is_none() {
                gone.close_idle();
            }
        }
        let same = pools.len() == self.pools.len()
            && pools.iter().zip(&self.pools).all(|(a, b)| Rc::ptr_eq(a, b));
        self.pools = pools;
        !same
    }

    fn follow_teams(&mut self, state: &State, escrow: &Rc<RefCell<Escrow>>) {
        let teams = state
            .teams()
            .map(|team| {
                let id = &team.value.id;
                let known = self.team(id).cloned();
                known.unwrap_or_else(|| TeamRuntime::new(id.clone(), Rc::clone(escrow)))
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

    fn follow_queues(&mut self, state: &State) {
        let queues = state
            .queues()
            .filter_map(|queue| {
                let settings = &queue.value;
                let pool = Rc::clone(self.pool(&settings.pool)?);
                Some(match self.queue(settings.id.as_str()) {
                    Some(known) if known.settings == *settings => Rc::clone(known),
                    Some(known) => Rc::new(known.changed(settings.clone(), pool)),
                    None => Rc::new(QueueRuntime::new(settings.clone(), pool)),
                })
            })
            .collect();
        self.queues = queues;
    }
}
