//! The teams' concurrency limits: runs this daemon's escrow and exchanges its messages with peers.

mod escrow;
mod message;
mod settings;

pub(crate) use escrow::{receive, run_escrow};
pub(crate) use message::NodeMessage;
pub(crate) use settings::escrow_settings;
