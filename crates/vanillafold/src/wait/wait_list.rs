//! Requests that wait for something to come free, first come first served.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;

/// A list of waiters of one thread.
#[derive(Debug, Default)]
pub(crate) struct WaitList {
    waiters: RefCell<VecDeque<oneshot::Sender<()>>>,
    live: Cell<usize>,
}

/// A place in a [`WaitList`]; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct Waiter {
    list: Rc<WaitList>,
    receiver: oneshot::Receiver<()>,
}

impl WaitList {
    /// An empty list.
    #[must_use]
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self::default())
    }

    /// How many wait.
    #[must_use]
    pub(crate) fn len(&self) -> usize {
        self.live.get()
    }

    /// Whether nobody waits.
    #[must_use]
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Joins at the end.
    #[must_use]
    pub(crate) fn enqueue(self: &Rc<Self>) -> Waiter {
        let (sender, receiver) = oneshot::channel();
        self.sweep();
        self.waiters.borrow_mut().push_back(sender);
        self.waiter(receiver)
    }

    /// Joins at the front: for a waiter that was woken and found nothing free after all.
    #[must_use]
    pub(crate) fn enqueue_front(self: &Rc<Self>) -> Waiter {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push_front(sender);
        self.waiter(receiver)
    }

    /// Wakes the first that still waits.
    pub(crate) fn wake_first(&self) {
        loop {
            let Some(sender) = self.waiters.borrow_mut().pop_front() else {
                return;
            };
            if sender.send(()).is_ok() {
                return;
            }
        }
    }

    /// Wakes everybody.
    pub(crate) fn wake_all(&self) {
        let waiters = std::mem::take(&mut *self.waiters.borrow_mut());
        for sender in waiters {
            // One that has given up needs no waking.
            let _ = sender.send(());
        }
    }

    fn waiter(self: &Rc<Self>, receiver: oneshot::Receiver<()>) -> Waiter {
        self.live.set(self.live.get() + 1);
        Waiter {
            list: Rc::clone(self),
            receiver,
        }
    }

    /// Drops the places of waiters that gave up, once they are the most of the list.
    fn sweep(&self) {
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() > 2 * self.live.get() + 16 {
            waiters.retain(|sender| !sender.is_closed());
        }
    }
}

impl Waiter {
    /// Waits to be woken.
    pub(crate) async fn woken(&mut self) {
        // A sender is only dropped by sending or with the list, which the waiter keeps alive.
        let _ = (&mut self.receiver).await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.list.live.set(self.list.live.get() - 1);
    }
}
