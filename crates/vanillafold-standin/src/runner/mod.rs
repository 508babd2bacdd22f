//! The stand-in runner: VMs that do the work of requests in a limited number of slots, over a
//! limited number of connections, and misbehave on demand.

mod connection;
mod control;
mod mode;
mod recorder;
mod standin;
mod vm;
mod work;
mod work_request;

pub use mode::{Mode, ParseModeError};
pub use standin::{RunnerOptions, RunnerStandin};
pub use vm::RunnerStats;
