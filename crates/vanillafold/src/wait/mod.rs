//! Waiting on one thread: lists of waiters and the order to stop.

mod latch;
#[cfg(test)]
mod tests;
mod wait_list;

pub(crate) use latch::Latch;
pub(crate) use wait_list::{WaitList, Waiter};
