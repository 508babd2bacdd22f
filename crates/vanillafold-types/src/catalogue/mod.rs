//! The catalogue that operators publish: pools, teams, queues and keys.

mod class;
mod entry;
mod text;

pub use class::Class;
pub use entry::{EntryName, Key, MAX_DEADLINE_MS, Pool, Queue, Team, WILDCARD_TEAMS};
pub use text::CatalogueFile;
