//! A flag that is set once and can be waited for, such as the signal to stop.

use std::cell::Cell;
use std::rc::Rc;

use super::WaitList;

/// A flag shared by the tasks of one thread: once it is set, it stays set. Clones share the flag.
///
/// Unlike [`vanillafold_wire::Latch`], it can be cloned, keeps its waiting tasks in a [`WaitList`]
/// and can only be waited for: it does not stop a future when it is set.
#[derive(Debug, Clone)]
pub(crate) struct Latch {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    is_set: Cell<bool>,
    waiters: Rc<WaitList>,
}

impl Default for Latch {
    fn default() -> Self {
        Self::new()
    }
}

impl Latch {
    /// Returns a latch that is not set.
    #[must_use]
    pub(crate) fn new() -> Self {
        Self {
            inner: Rc::new(Inner {
                is_set: Cell::new(false),
                waiters: WaitList::new(),
            }),
        }
    }

    /// Sets the latch and wakes every task that waits for it.
    pub(crate) fn set(&self) {
        self.inner.is_set.set(true);
        self.inner.waiters.wake_all();
    }

    /// Returns whether the latch is set.
    #[must_use]
    pub(crate) fn is_set(&self) -> bool {
        self.inner.is_set.get()
    }

    /// Waits until the latch is set; returns at once if it is set already.
    pub(crate) async fn wait(&self) {
        while !self.is_set() {
            self.inner.waiters.enqueue().woken().await;
        }
    }
}
