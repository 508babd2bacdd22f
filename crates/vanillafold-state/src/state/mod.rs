//! The state that a daemon folds from both streams of the log.

mod lookup;
mod root;
mod snapshot;

pub use root::State;
