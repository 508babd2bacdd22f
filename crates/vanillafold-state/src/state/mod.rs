//! The state of the system, as a daemon knows it.

mod adopt;
mod lookup;
mod root;

pub use root::State;
