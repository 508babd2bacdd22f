//! The supervisor tree: the daemon at its root, supervised tasks below it, and below the callers'
//! task one task for each connection.

mod daemon;
mod signal;
mod task;

pub use daemon::{Daemon, DaemonError, install_metrics};
pub use signal::SignalWatch;
