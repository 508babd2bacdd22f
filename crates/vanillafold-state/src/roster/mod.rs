//! The roster: the membership of the daemons and the current incarnation of each.

mod fold;
mod member;

pub use fold::Roster;
pub use member::{RosterMember, UnreleasedIncarnation};
