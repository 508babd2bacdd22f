//! Starts a whole deployment (platform stand-in, runners, daemons) as processes on loopback and
//! injects faults into it, for demonstrations, fault runs, benchmarks and tests.

mod catalogue;
mod child;
mod cluster;
mod error;
mod faults;
mod interrupt;
mod layout;
mod loads;
mod observer;
mod options;
mod test_support;

pub use catalogue::{DEMO_CATALOGUE, DEMO_OPERATOR, DEMO_TEAMS, demo_catalogue};
pub use child::{Child, Signal};
pub use cluster::{Cluster, KeyWithSecret};
pub use error::RigError;
pub use faults::{FAULTS, Fault, inject_fault, observe_for, shuffled_faults};
pub use interrupt::Interrupt;
pub use layout::{DaemonSpec, Layout, RunnerSpec, Zone};
pub use loads::{Latency, LoadGenerators, LoadPlan, LoadSummary, OutcomeCount, run_audit};
pub use observer::{DaemonView, Observer};
pub use options::RigOptions;
pub use test_support::{built_programs, reserve_rig_addresses};
