//! Waking tasks of one thread.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::task::{Poll, Waker};

/// Wakes every task that waits for a change.
#[derive(Debug, Default)]
pub struct Notify {
    generation: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Wakes all that wait now.
    pub fn notify_all(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Ends with the first [`Notify::notify_all`] after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + '_ {
        let seen = self.generation.get();
        let mut registered = false;
        poll_fn(move |context| {
            if self.generation.get() != seen {
                return Poll::Ready(());
            }
            // A future of this crate stays in one task, whose waker never changes.
            if !registered {
                self.register(context.waker());
                registered = true;
            }
            Poll::Pending
        })
    }

    /// Ends as soon as a condition holds that changes with [`Notify::notify_all`] only.
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
