//! The runtime state of a queue on this daemon.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use vanillafold_policy::RetryBudget;
use vanillafold_types::{Queue, TeamId};

use super::PoolRuntime;

/// A queue with the pool that serves it, its retry budget and its count of waiting requests.
#[derive(Debug)]
pub(crate) struct QueueRuntime {
    /// The queue's entry in the catalogue.
    pub(crate) settings: Queue,
    /// The pool that serves the queue.
    pub(crate) pool: Rc<PoolRuntime>,
    /// Limits the retries of all requests of the queue on this daemon.
    pub(crate) retry_budget: Rc<RefCell<RetryBudget>>,
    waiting: Rc<Cell<u32>>,
}

/// Counts a request as waiting until it is dropped.
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

    /// Returns the queue with other settings and the same waiting requests and retry budget.
    pub(crate) fn with_settings(&self, settings: Queue, pool: Rc<PoolRuntime>) -> Self {
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

    /// Returns whether `team` may use the queue; a queue that lists no teams accepts all.
    pub(crate) fn accepts_team(&self, team: &TeamId) -> bool {
        self.settings.accepts_team(team)
    }

    /// Counts a request as waiting; `None` if [`Queue::max_waiting`] requests wait already.
    pub(crate) fn enter(&self) -> Option<WaitingPlace> {
        if self.waiting.get() >= self.settings.max_waiting {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        Some(WaitingPlace(Rc::clone(&self.waiting)))
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.get()
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
