//! The commands of the tool.

mod apply;
mod check;
mod daemon;
mod file;
mod key;
mod zone;

pub(crate) use apply::apply;
pub(crate) use check::{CheckError, CheckOptions, check, check_options};
pub(crate) use daemon::{DaemonError, fence, release};
pub(crate) use file::{InvalidFileError, file, read_catalogue};
pub(crate) use key::{KeyError, give, withdraw};
pub(crate) use zone::{ZoneCommand, ZoneError, zone_commands};
