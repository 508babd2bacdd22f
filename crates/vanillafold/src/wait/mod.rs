//! Waiting on one thread: lists of waiters and the order to stop.

mod shutdown;
#[cfg(test)]
mod tests;
mod wait_list;

pub(crate) use shutdown::Shutdown;
pub(crate) use wait_list::{Ticket, WaitList};
