//! Upper limits: the escrow of this daemon, kept in step with log and peers.

mod escrow;
mod message;
mod settings;

pub(crate) use escrow::{receive, run_escrow};
pub(crate) use message::NodeMessage;
pub(crate) use settings::escrow_settings;
