//! The catalogue that operators publish: pools, teams, queues and keys.

mod check;
mod class;
mod compare;
mod entry;
mod finding;
mod text;

pub use check::warnings;
pub use class::Class;
pub use compare::{Difference, EntryChange, Field, FieldChange, compare};
pub use entry::{
    EntryName, Key, MAX_DEADLINE_MS, MAX_REPLAYABLE_BODY, MIN_RETRY_REMAINING, Pool, Queue, Team,
    WILDCARD_TEAMS,
};
pub use finding::{Finding, FindingKind};
pub use text::CatalogueFile;
