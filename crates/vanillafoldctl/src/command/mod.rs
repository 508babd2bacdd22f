//! The commands that publish changes.

mod apply;
mod daemon;
mod key;

pub(crate) use apply::apply;
pub(crate) use daemon::{DaemonError, fence, release};
pub(crate) use key::{KeyError, give, withdraw};
