//! The processes of a whole deployment on loopback, for demonstrations, fault runs and benches.

mod catalogue;
mod child;
mod claim;
mod cluster;
mod error;
mod faults;
mod interrupt;
mod layout;
mod loads;
mod observer;
mod site;

pub use catalogue::{DEMO_CATALOGUE, DEMO_OPERATOR, DEMO_TEAMS, demo_catalogue};
pub use child::{Child, Signal};
pub use claim::{built_programs, claim_rig};
pub use cluster::{Cluster, KeyText};
pub use error::RigError;
pub use faults::{FAULTS, Fault, inject, observe_for, shuffled};
pub use interrupt::Interrupt;
pub use layout::{DaemonPlace, Layout, RunnerPlace, Zone};
pub use loads::{Latency, LoadPlan, LoadSummary, Loads, OutcomeCount, audit};
pub use observer::{DaemonView, Observer};
pub use site::RigSite;
