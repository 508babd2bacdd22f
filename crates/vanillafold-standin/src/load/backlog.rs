//! The queue of requests that are due and wait for a free connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Context, Poll, Waker};

use super::request::PlannedRequest;

/// Requests that wait for a sender, and senders that wait for a request.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    requests: RefCell<VecDeque<PlannedRequest>>,
    /// Each sender at most once, in the order in which they began to wait.
    idle: RefCell<VecDeque<IdleSender>>,
    most_waiting: Cell<usize>,
    closed: Cell<bool>,
}

#[derive(Debug)]
struct IdleSender {
    sender: usize,
    waker: Waker,
}

impl Backlog {
    pub(crate) fn push(&self, request: PlannedRequest) {
        let mut requests = self.requests.borrow_mut();
        requests.push_back(request);
        self.most_waiting
            .set(self.most_waiting.get().max(requests.len()));
        if let Some(idle) = self.idle.borrow_mut().pop_front() {
            idle.waker.wake();
        }
    }

    /// Returns `true` if a sender waits for a request.
    pub(crate) fn has_idle_sender(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Returns the largest number of requests that waited at one time.
    pub(crate) fn most_waiting(&self) -> usize {
        self.most_waiting.get()
    }

    /// Makes [`Backlog::next`] return `None` once no request waits.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        for idle in self.idle.take() {
            idle.waker.wake();
        }
    }

    /// Waits for the next request for `sender`; returns `None` if the backlog is closed and empty.
    pub(crate) async fn next(&self, sender: usize) -> Option<PlannedRequest> {
        poll_fn(|context| self.poll_next(sender, context)).await
    }

    fn poll_next(&self, sender: usize, context: &Context<'_>) -> Poll<Option<PlannedRequest>> {
        let mut idle = self.idle.borrow_mut();
        // A stale waker of this sender would be woken instead of that of another, idle sender.
        idle.retain(|waiting| waiting.sender != sender);
        match self.requests.borrow_mut().pop_front() {
            Some(request) => Poll::Ready(Some(request)),
            None if self.closed.get() => Poll::Ready(None),
            None => {
                let waker = context.waker().clone();
                idle.push_back(IdleSender { sender, waker });
                Poll::Pending
            }
        }
    }
}
