//! Requests that are due and wait for a free connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Context, Poll, Waker};

use super::job::Job;

/// Requests that wait, and senders that wait for requests.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    jobs: RefCell<VecDeque<Job>>,
    /// Each sender at most once; the one that has waited longest is first.
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
    pub(crate) fn push(&self, job: Job) {
        let mut jobs = self.jobs.borrow_mut();
        jobs.push_back(job);
        self.most_waiting
            .set(self.most_waiting.get().max(jobs.len()));
        if let Some(idle) = self.idle.borrow_mut().pop_front() {
            idle.waker.wake();
        }
    }

    /// Whether a sender waits for a request.
    pub(crate) fn has_idle(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// The most requests that waited at one time.
    pub(crate) fn most_waiting(&self) -> usize {
        self.most_waiting.get()
    }

    /// Lets the senders end once no request waits.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        for idle in self.idle.take() {
            idle.waker.wake();
        }
    }

    /// The next request for a sender; `None` at the end.
    pub(crate) async fn next(&self, sender: usize) -> Option<Job> {
        poll_fn(|context| self.poll_next(sender, context)).await
    }

    fn poll_next(&self, sender: usize, context: &Context<'_>) -> Poll<Option<Job>> {
        let mut idle = self.idle.borrow_mut();
        // A waker left behind would be woken in place of a sender that is free.
        idle.retain(|waiting| waiting.sender != sender);
        match self.jobs.borrow_mut().pop_front() {
            Some(job) => Poll::Ready(Some(job)),
            None if self.closed.get() => Poll::Ready(None),
            None => {
                let waker = context.waker().clone();
                idle.push_back(IdleSender { sender, waker });
                Poll::Pending
            }
        }
    }
}
