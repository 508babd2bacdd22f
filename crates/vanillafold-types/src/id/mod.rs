//! Names as newtypes, so that a team can't be passed where a pool is meant.

mod text;

pub use text::{
    AuthorId, DaemonId, IdError, KeyId, MAX_ID_CHARS, Owner, PoolId, QueueId, RackId, RequestId,
    TeamId, VmId, ZoneId,
};
