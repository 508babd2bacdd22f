//! Synchronisation between the tasks of one thread: FIFO lists of waiters and one-way latches.

mod latch;
#[cfg(test)]
mod tests;
mod wait_list;

pub(crate) use latch::Latch;
pub(crate) use wait_list::{WaitList, Waiter};
