//! Identifiers, numbers with units, result codes and catalogue entries of vanillafold.
//!
//! | Purpose | Types |
//! |---|---|
//! | Identifiers | [`PoolId`], [`TeamId`], [`QueueId`], [`KeyId`], [`VmId`], ... |
//! | Numbers with a unit | [`Slots`], [`Millis`], [`ByteSize`], [`Percent`], [`Share`], ... |
//! | Results of requests | [`ResultCode`], [`Outcome`] |
//! | INI files with line numbers | [`Document`], [`Reader`], [`Problem`] |
//! | The catalogue of operators | [`CatalogueFile`], [`Pool`], [`Team`], [`Queue`], [`Key`] |
//! | Checks of a catalogue before it is published | [`warnings`], [`compare`], [`Finding`] |
//!
//! The package holds plain data: it does no I/O and reads no clock.

mod catalogue;
mod code;
mod id;
mod ini;
mod size;

pub use catalogue::{
    CatalogueFile, Class, Difference, EntryChange, EntryName, Field, FieldChange, Finding,
    FindingKind, Key, MAX_DEADLINE_MS, MAX_REPLAYABLE_BODY, MIN_RETRY_REMAINING, Pool, Queue, Team,
    WILDCARD_TEAMS, compare, warnings,
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
