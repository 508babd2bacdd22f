//! The stand-in runner: work in slots, bounded connections, and faults on demand.

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
