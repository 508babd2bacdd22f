//! Snapshots of the whole state, split into chunks that fit into records.

mod builder;
mod chunk;
mod error;
mod split;

pub use builder::SnapshotBuilder;
pub use chunk::{MAX_CHUNK_BYTES, MAX_CHUNKS, SnapshotChunk, SnapshotId};
pub use error::SnapshotError;
pub use split::Snapshot;
