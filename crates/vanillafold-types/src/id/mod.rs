//! Identifiers, each kind a type of its own so that a team can't be passed as a pool.

mod text;

pub use text::{
    AuthorId, DaemonId, IdError, KeyId, MAX_ID_CHARS, Owner, PoolId, QueueId, RackId, RequestId,
    TeamId, VmId, ZoneId,
};
