//! The stand-in platform: log, VM list and VM orders, with faults on demand.

mod faults;
mod log;
mod query;
mod rate;
mod service;
mod standin;
mod vms;

pub use faults::Faults;
pub use standin::{PlatformOptions, PlatformStandin};
