//! The supervisor tree: the daemon at its root, a supervised task for each duty, and under the
//! callers' duty a task for each connection.

mod daemon;
mod signal;
mod task;

pub use daemon::{Daemon, DaemonError, install_metrics};
pub use signal::SignalWatch;
