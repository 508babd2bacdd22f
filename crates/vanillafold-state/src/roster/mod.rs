//! Which start of each daemon counts.

mod fold;
mod member;

pub use fold::Roster;
pub use member::{RosterMember, UnreleasedIncarnation};
