//! Counts the accepted requests that a graceful stop waits for.

use std::cell::Cell;
use std::rc::Rc;

use crate::wait::WaitList;

/// The count of accepted requests that have not ended; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    count: Cell<u64>,
    idle: Rc<WaitList>,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(InFlight);

impl InFlight {
    pub(crate) fn new() -> Self {
        Self {
            inner: Rc::new(Inner {
                count: Cell::new(0),
                idle: WaitList::new(),
            }),
        }
    }

    /// Returns the number of requests that have not ended.
    pub(crate) fn count(&self) -> u64 {
        self.inner.count.get()
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.inner.count.set(self.inner.count.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Waits until no request is left.
    pub(crate) async fn drained(&self) {
        while self.count() > 0 {
            self.inner.idle.enqueue().woken().await;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let inner = &self.0.inner;
        inner.count.set(inner.count.get() - 1);
        if inner.count.get() == 0 {
            inner.idle.wake_all();
        }
    }
}
