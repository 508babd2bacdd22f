//! The commands that publish changes.

mod apply;
mod daemon;
mod key;
mod zone;

pub(crate) use apply::apply;
pub(crate) use daemon::{DaemonError, fence, release};
pub(crate) use key::{KeyError, give, withdraw};
pub(crate) use zone::{ZoneCommand, ZoneError, zone_commands};
