//! The processes of a whole deployment on loopback, for demonstrations, fault runs and benches.

mod catalogue;
mod child;
mod cluster;
mod error;
mod interrupt;
mod layout;
mod observer;

pub use catalogue::{DEMO_CATALOGUE, DEMO_OPERATOR, DEMO_TEAMS};
pub use child::{Child, Signal};
pub use cluster::{Cluster, KeyText};
pub use error::RigError;
pub use interrupt::Interrupt;
pub use layout::{DaemonPlace, Layout, RunnerPlace, Zone};
pub use observer::{DaemonView, Observer};
