//! The order to stop, and the count of what has to end first.

use std::cell::Cell;
use std::rc::Rc;

use super::WaitList;

/// The order to stop, shared by every task.
#[derive(Debug, Clone)]
pub(crate) struct Shutdown {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ordered: Cell<bool>,
    waiters: Rc<WaitList>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// No order yet.
    #[must_use]
    pub(crate) fn new() -> Self {
        Self {
            inner: Rc::new(Inner {
                ordered: Cell::new(false),
                waiters: WaitList::new(),
            }),
        }
    }

    /// Gives the order.
    pub(crate) fn order(&self) {
        self.inner.ordered.set(true);
        self.inner.waiters.wake_all();
    }

    /// Whether the order was given.
    #[must_use]
    pub(crate) fn is_ordered(&self) -> bool {
        self.inner.ordered.get()
    }

    /// Waits for the order.
    pub(crate) async fn ordered(&self) {
        while !self.is_ordered() {
            self.inner.waiters.join().woken().await;
        }
    }
}
