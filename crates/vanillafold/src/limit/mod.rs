//! Upper limits: the escrow of this daemon, kept in step with log and peers.

mod duty;
mod message;
mod settings;

pub(crate) use duty::{keep_escrow, receive};
pub(crate) use message::NodeMessage;
pub(crate) use settings::escrow_settings;
