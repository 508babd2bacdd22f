//! Messages between daemons: loads, offsets and digests, withdrawn keys, claims, units of limits,
//! and the transfer of state and records.

pub(crate) mod codec;
mod handler;
mod members;
mod peer_loads;
mod reporter;
mod start;

pub(crate) use handler::NodeHandler;
pub(crate) use members::update_members;
pub(crate) use peer_loads::PeerLoads;
pub(crate) use reporter::run_reporter;
pub use start::PeerStartError;
pub(crate) use start::start_peers;
