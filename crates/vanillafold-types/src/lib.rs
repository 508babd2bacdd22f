//! Identifiers, sizes, rates, result codes and catalogue entries of vanillafold.
//!
//! | to name something | [`PoolId`], [`TeamId`], [`QueueId`], [`KeyId`], [`VmId`], ... |
//! |---|---|
//! | to measure something | [`Slots`], [`Millis`], [`ByteSize`], [`Percent`], [`Share`], ... |
//! | to answer a caller | [`ResultCode`], [`Outcome`] |
//! | to read INI with line numbers | [`Document`], [`Reader`], [`Problem`] |
//! | what operators publish | [`CatalogueFile`], [`Pool`], [`Team`], [`Queue`], [`Key`] |
//!
//! Everything here is plain data: no I/O, no clock.

mod catalogue;
mod code;
mod id;
mod ini;
mod size;

pub use catalogue::{
    CatalogueFile, Class, EntryName, Key, MAX_DEADLINE_MS, Pool, Queue, Team, WILDCARD_TEAMS,
};
pub use code::{Outcome, ParseOutcomeError, ResultCode};
pub use id::{
    AuthorId, DaemonId, IdError, KeyId, MAX_ID_CHARS, Owner, PoolId, QueueId, RackId, RequestId,
    TeamId, VmId, ZoneId,
};
pub use ini::{Document, Problem, Reader, Section, nearest_name};
pub use size::{
    ByteSize, Connections, Incarnation, Limit, Millis, Offset, ParseValueError, Percent, Revision,
    Sequence, Share, Slots,
};
