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
        poll_fn(move |context| {
            if self.generation.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
    }
}
