//! The daemon's settings: an INI file that is checked as a whole before anything starts.

mod daemon;
mod draft;
mod secret;
mod value;

pub use daemon::{
    ConfiguredPeer, LimitSettings, PlatformSettings, Settings, SettingsError, Timeouts,
};
pub use secret::{Secret, SecretError};
