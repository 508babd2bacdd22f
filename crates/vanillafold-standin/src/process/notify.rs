//! Notification of tasks on one thread.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::task::{Poll, Waker};

/// Notifies all tasks of one thread that wait for a change of some shared state.
#[derive(Debug, Default)]
pub struct Notify {
    generation: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Wakes all tasks that are waiting now.
    pub fn notify_all(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Returns a future that completes with the first [`Notify::notify_all`] after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + '_ {
        let seen = self.generation.get();
        let mut registered = false;
        poll_fn(move |context| {
            if self.generation.get() != seen {
                return Poll::Ready(());
            }
            // A future of this crate stays in one task, whose waker never changes, so registering it
            // once is enough.
            if !registered {
                self.register(context.waker());
                registered = true;
            }
            Poll::Pending
        })
    }

    /// Waits until a condition holds. It is checked again after each [`Notify::notify_all`] only.
    pub async fn wait_until(&self, holds: impl Fn() -> bool) {
        while !holds() {
            self.changed().await;
        }
    }

    fn register(&self, waker: &Waker) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|known| known.will_wake(waker)) {
            wakers.push(waker.clone());
        }
    }
}
