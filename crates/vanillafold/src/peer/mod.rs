//! Talking to the other daemons: loads, offsets and digests, withdrawn keys, records.

pub(crate) mod codec;
mod handler;
mod load_book;
mod members;
mod reporter;
mod start;

pub(crate) use handler::NodeHandler;
pub(crate) use load_book::LoadBook;
pub(crate) use members::follow_members;
pub(crate) use reporter::report;
pub use start::PeerStartError;
pub(crate) use start::start_peers;
