//! The roster: the daemons that have joined, and the latest incarnation of each.

mod fold;
mod member;

pub use fold::Roster;
pub use member::{RosterMember, UnreleasedIncarnation};
