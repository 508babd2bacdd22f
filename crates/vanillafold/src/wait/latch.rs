//! The order to stop, and the count of what has to end first.

use std::cell::Cell;
use std::rc::Rc;

use super::WaitList;

/// The order to stop, shared by every task.
#[derive(Debug, Clone)]
pub(crate) struct Latch {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    set: Cell<bool>,
    waiters: Rc<WaitList>,
}

impl Default for Latch {
    fn default() -> Self {
        Self::new()
    }
}

impl Latch {
    /// No order yet.
    #[must_use]
    pub(crate) fn new() -> Self {
        Self {
            inner: Rc::new(Inner {
                set: Cell::new(false),
                waiters: WaitList::new(),
            }),
        }
    }

    /// Gives the order.
    pub(crate) fn set(&self) {
        self.inner.set.set(true);
        self.inner.waiters.wake_all();
    }

    /// Whether the order was given.
    #[must_use]
    pub(crate) fn is_set(&self) -> bool {
        self.inner.set.get()
    }

    /// Waits for the order.
    pub(crate) async fn wait(&self) {
        while !self.is_set() {
            self.inner.waiters.enqueue().woken().await;
        }
    }
}
