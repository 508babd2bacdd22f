//! Helpers shared by all stand-ins: the runtime, listening sockets, parsing of control bodies,
//! notification of tasks and seeded random numbers.

mod assignment;
mod listener;
mod notify;
mod random;

pub use assignment::{Assignment, AssignmentError, parse_assignments};
pub use listener::{accept_each, bind, print_ready, print_ready_with_control, run};
pub use notify::Notify;
pub use random::Random;
