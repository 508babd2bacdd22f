//! Fleet daemons as processes among stand-ins of the users' platform, with faults from outside.
//!
//! | module | content |
//! |---|---|
//! | `world` | starts everything |
//! | `daemon` | a daemon's process and settings |
//! | `network`, `relay`, `address` | relays between the processes |
//! | `store` | the metadata store |
//! | `runner`, `vms` | runners and the VMs that they run on |
//! | `caller` | callers |
//! | `config` | the operator's configuration |
//! | `journal` | what was seen |
//! | `soak` | random series of faults and evacuations, and a judge of what was seen |
//!
//! The stand-ins share one thread; the daemons are processes of their own.

mod address;
mod caller;
mod config;
mod daemon;
mod http;
mod journal;
mod network;
mod relay;
mod runner;
mod soak;
mod store;
mod vms;
mod world;

pub use caller::{CALLER_TIMEOUT, Caller, JobShape};
pub use daemon::Daemon;
pub use journal::{AttemptId, CallerRequest, Event, EventKind, Journal, Outcome, RunEnd};
pub use network::{Link, Network};
pub use relay::{Gate, Gates, Reachability, Relay};
pub use runner::{Runner, RunnerFault, RunnerOptions};
pub use soak::{SoakOptions, SoakReport, Violation, ViolationKind, judge, run_soak};
pub use store::{Store, StoreCall, StoreEffect, StoreFault};
pub use world::{World, WorldOptions, world_directory};
