//! Synchronisation of tasks on one thread: a latch and a coalescing notification.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};

#[derive(Debug)]
struct Waiter {
    id: u64,
    waker: Waker,
}

/// A flag that stays set once it is set; any number of tasks may wait for it.
///
/// It has no clones: tasks share it by reference or in an `Rc`. [`Latch::run_until_set`] drops a
/// future when the flag is set. The crate `vanillafold` has another latch for its stop signals,
/// whose clones share one flag.
#[derive(Debug, Default)]
pub struct Latch {
    is_set: Cell<bool>,
    next_id: Cell<u64>,
    // Sorted by id. Ids are assigned in rising order; a waiter is inserted on its first poll.
    waiters: RefCell<Vec<Waiter>>,
}

impl Latch {
    /// Sets the latch and wakes all tasks that wait for it.
    pub fn set(&self) {
        self.is_set.set(true);
        let waiters = self.waiters.take();
        for waiter in waiters {
            waiter.waker.wake();
        }
    }

    /// Returns whether the latch is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the latch is set; returns at once if it is set already.
    pub fn wait(&self) -> LatchWait<'_> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        LatchWait { latch: self, id }
    }

    /// Runs a future until it completes or the latch is set. Returns `None` if the latch was set;
    /// the future is then dropped.
    pub async fn run_until_set<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        let mut until_set = pin!(self.wait());
        poll_fn(|cx| match until_set.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(None),
            Poll::Pending => future.as_mut().poll(cx).map(Some),
        })
        .await
    }

    fn register(&self, id: u64, waker: &Waker) {
        let mut waiters = self.waiters.borrow_mut();
        match waiters.binary_search_by_key(&id, |waiter| waiter.id) {
            Ok(index) => waiters[index].waker.clone_from(waker),
            Err(index) => waiters.insert(
                index,
                Waiter {
                    id,
                    waker: waker.clone(),
                },
            ),
        }
    }

    fn deregister(&self, id: u64) {
        let mut waiters = self.waiters.borrow_mut();
        if let Ok(index) = waiters.binary_search_by_key(&id, |waiter| waiter.id) {
            waiters.remove(index);
        }
    }
}

/// The future that [`Latch::wait`] returns.
#[derive(Debug)]
pub struct LatchWait<'a> {
    latch: &'a Latch,
    id: u64,
}

impl Future for LatchWait<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.latch.is_set() {
            return Poll::Ready(());
        }
        self.latch.register(self.id, cx.waker());
        Poll::Pending
    }
}

impl Drop for LatchWait<'_> {
    fn drop(&mut self) {
        self.latch.deregister(self.id);
    }
}

/// A notification for one waiting task. Notifications sent before it is consumed are coalesced into
/// one.
#[derive(Debug, Default)]
pub struct Notify {
    pending: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Sends a notification and wakes the waiting task, if any.
    pub fn notify_one(&self) {
        self.pending.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits for a notification and consumes it.
    pub async fn notified(&self) {
        poll_fn(|cx| {
            if self.pending.replace(false) {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
