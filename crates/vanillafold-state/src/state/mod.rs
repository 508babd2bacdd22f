//! The state of the system, as a daemon knows it.

mod lookup;
mod root;
mod snapshot;

pub use root::State;
