//! vanillafold, a fleet capacity and maintenance manager: the daemon, and the crates behind it.
//!
//! | to run a daemon | [`Settings`], [`Daemon`] |
//! |---|---|
//! | names, sizes, result codes, the catalogue | [`types`] |
//! | the log's records and the state folded from them | [`state`] |
//! | routing, retries and placement, without I/O | [`policy`] |
//! | HTTP, the peer protocol, the platform's interfaces | [`wire`] |
//! | jobs on leased workers, without I/O | [`jobs`] |
//! | a daemon that runs jobs on a fleet | [`fleet`] |
//!
//! # Examples
//!
//! ```no_run
//! use std::path::Path;
//!
//! use vanillafold::{Daemon, Settings};
//!
//! let settings = Settings::from_file(Path::new("entry-a1.ini")).expect("valid settings");
//! Daemon::new(settings).run().expect("a daemon that starts");
//! ```

pub use vanillafold_jobs as jobs;
pub use vanillafold_policy as policy;
pub use vanillafold_state as state;
pub use vanillafold_types as types;
pub use vanillafold_wire as wire;

mod admin;
mod append;
mod caller;
mod claim;
mod counter;
mod dispatch;
pub mod fleet;
mod follow;
mod limit;
mod logging;
mod node;
mod peer;
mod recover;
mod settings;
mod supervisor;
mod wait;

pub use logging::{LogOutput, LoggingError, bounded_logger, start_logging};
/// Renders the page of metrics; [`install_metrics`] returns it.
pub use metrics_exporter_prometheus::PrometheusHandle;
pub use peer::PeerStartError;
pub use settings::{
    ConfiguredPeer, LimitSettings, PlatformSettings, Secret, SecretError, Settings, SettingsError,
    Timeouts,
};
pub use supervisor::{Daemon, DaemonError, SignalWatch, install_metrics};
