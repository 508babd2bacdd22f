//! A FIFO list of tasks that wait to be woken, for example until a unit or a slot is free.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;

/// The waiting tasks of one thread, in the order in which they are woken.
#[derive(Debug, Default)]
pub(crate) struct WaitList {
    /// The waiters in order, including those that gave up since the last compaction.
    senders: RefCell<VecDeque<oneshot::Sender<()>>>,
    /// The number of [`Waiter`]s that exist.
    count: Cell<usize>,
}

/// A place in a [`WaitList`]; dropping it removes the place.
#[derive(Debug)]
pub(crate) struct Waiter {
    list: Rc<WaitList>,
    receiver: oneshot::Receiver<()>,
}

impl WaitList {
    /// Returns an empty list.
    #[must_use]
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    /// Returns the number of waiters; woken ones count until they are dropped.
    #[must_use]
    pub(crate) fn len(&self) -> usize {
        self.count.get()
    }

    /// Returns whether there are no waiters.
    #[must_use]
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a place at the end.
    #[must_use]
    pub(crate) fn enqueue(self: &Rc<Self>) -> Waiter {
        let (sender, receiver) = oneshot::channel();
        self.compact();
        self.senders.borrow_mut().push_back(sender);
        self.new_waiter(receiver)
    }

    /// Adds a place at the front, with which a task that was woken but found nothing free keeps its
    /// turn.
    #[must_use]
    pub(crate) fn enqueue_front(self: &Rc<Self>) -> Waiter {
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().push_front(sender);
        self.new_waiter(receiver)
    }

    /// Wakes the first waiter that has not given up. Without a waiter it has no effect.
    pub(crate) fn wake_first(&self) {
        loop {
            let Some(sender) = self.senders.borrow_mut().pop_front() else {
                return;
            };
            if sender.send(()).is_ok() {
                return;
            }
        }
    }

    /// Wakes every waiter.
    pub(crate) fn wake_all(&self) {
        let senders = std::mem::take(&mut *self.senders.borrow_mut());
        for sender in senders {
            // Sending fails only if the waiter gave up.
            let _ = sender.send(());
        }
    }

    fn new_waiter(self: &Rc<Self>, receiver: oneshot::Receiver<()>) -> Waiter {
        self.count.set(self.count.get() + 1);
        Waiter {
            list: Rc::clone(self),
            receiver,
        }
    }

    /// Drops the entries of waiters that gave up, once they outnumber the other waiters by more
    /// than 16.
    fn compact(&self) {
        let mut senders = self.senders.borrow_mut();
        if senders.len() > 2 * self.count.get() + 16 {
            senders.retain(|sender| !sender.is_closed());
        }
    }
}

impl Waiter {
    /// Waits until the list wakes this place.
    pub(crate) async fn woken(&mut self) {
        // A sender is dropped only after it sent or with the list, which this waiter keeps alive.
        let _ = (&mut self.receiver).await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.list.count.set(self.list.count.get() - 1);
    }
}
