//! Waiting on one thread: lists of waiters and the order to stop.

mod shutdown;
mod wait_list;

pub use shutdown::Shutdown;
pub use wait_list::{Ticket, WaitList};
