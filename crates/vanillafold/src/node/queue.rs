//! A queue as this daemon runs it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use vanillafold_policy::RetryBudget;
use vanillafold_types::{Queue, TeamId};

use super::PoolRuntime;

/// A queue, the pool that serves it, and what its requests share on this daemon.
#[derive(Debug)]
pub(crate) struct QueueRuntime {
    /// The queue as the catalogue has it.
    pub(crate) settings: Queue,
    /// The pool that serves it.
    pub(crate) pool: Rc<PoolRuntime>,
    /// Its retries.
    pub(crate) retry_budget: Rc<RefCell<RetryBudget>>,
    waiting: Rc<Cell<u32>>,
}

/// A request's place among those that wait; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct WaitingPlace(Rc<Cell<u32>>);

impl QueueRuntime {
    pub(crate) fn new(settings: Queue, pool: Rc<PoolRuntime>) -> Self {
        let budget = RetryBudget::new(settings.retry_percent);
        Self {
            settings,
            pool,
            retry_budget: Rc::new(RefCell::new(budget)),
            waiting: Rc::default(),
        }
    }

    /// The queue with changed settings; waiting requests and saved-up retries stay.
    pub(crate) fn changed(&self, settings: Queue, pool: Rc<PoolRuntime>) -> Self {
        self.retry_budget
            .borrow_mut()
            .set_percent(settings.retry_percent);
        Self {
            settings,
            pool,
            retry_budget: Rc::clone(&self.retry_budget),
            waiting: Rc::clone(&self.waiting),
        }
    }

    /// Whether requests of `team` are taken.
    pub(crate) fn takes(&self, team: &TeamId) -> bool {
        self.settings.teams.is_empty() || self.settings.teams.contains(team)
    }

    /// A place to wait in; `None` if the queue is full.
    pub(crate) fn enter(&self) -> Option<WaitingPlace> {
        if self.waiting.get() >= self.settings.max_waiting {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        Some(WaitingPlace(Rc::clone(&self.waiting)))
    }

    /// How many wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.get()
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
