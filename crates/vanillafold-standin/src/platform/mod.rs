//! The stand-in platform: the log's streams, the VM list and operations on VMs (drain, reboot), in
//! memory, with faults on demand.

mod faults;
mod log;
mod query;
mod rate;
mod service;
mod standin;
mod vms;

pub use faults::Faults;
pub use standin::{PlatformOptions, PlatformStandin};
