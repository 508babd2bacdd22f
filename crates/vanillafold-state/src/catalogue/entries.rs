//! The catalogue's tables of pools, teams and queues.

use bincode::{Decode, Encode};
use vanillafold_types::{EntryName, Pool, Queue, Revision, Team};

use super::WithRevision;
use crate::digest::{ItemKind, LaneSum};
use crate::table::{Keyed, SortedVec};
use crate::{Entry, EntryEdit};

/// The tables of pools, teams and queues, each entry with its revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Entries {
    pub(super) pools: SortedVec<WithRevision<Pool>>,
    pub(super) teams: SortedVec<WithRevision<Team>>,
    pub(super) queues: SortedVec<WithRevision<Queue>>,
}

impl Entries {
    /// Returns the entry's revision, or 0 if the entry does not exist. Keys have no revision here.
    pub(super) fn revision(&self, name: &EntryName) -> Revision {
        let revision = match name {
            EntryName::Pool(id) => self.pools.get(id.as_str()).map(|pool| pool.revision),
            EntryName::Team(id) => self.teams.get(id.as_str()).map(|team| team.revision),
            EntryName::Queue(id) => self.queues.get(id.as_str()).map(|queue| queue.revision),
            EntryName::Key(_) => None,
        };
        revision.unwrap_or(Revision::ZERO)
    }

    /// Applies an edit that [`edit::check`](super::edit::check) has accepted.
    pub(super) fn apply(&mut self, edit: EntryEdit, revision: Revision, sum: &mut LaneSum) {
        match edit.value {
            Some(Entry::Pool(value)) => {
                insert(
                    &mut self.pools,
                    ItemKind::Pool,
                    WithRevision { value, revision },
                    sum,
                );
            }
            Some(Entry::Team(value)) => {
                insert(
                    &mut self.teams,
                    ItemKind::Team,
                    WithRevision { value, revision },
                    sum,
                );
            }
            Some(Entry::Queue(value)) => {
                insert(
                    &mut self.queues,
                    ItemKind::Queue,
                    WithRevision { value, revision },
                    sum,
                );
            }
            None => self.remove(&edit.name, sum),
        }
    }

    fn remove(&mut self, name: &EntryName, sum: &mut LaneSum) {
        match name {
            EntryName::Pool(id) => remove(&mut self.pools, ItemKind::Pool, id.as_str(), sum),
            EntryName::Team(id) => remove(&mut self.teams, ItemKind::Team, id.as_str(), sum),
            EntryName::Queue(id) => remove(&mut self.queues, ItemKind::Queue, id.as_str(), sum),
            EntryName::Key(_) => {}
        }
    }

    /// Adds every entry to the digest `sum`.
    pub(super) fn add_to(&self, sum: &mut LaneSum) {
        add_items(&self.pools, ItemKind::Pool, sum);
        add_items(&self.teams, ItemKind::Team, sum);
        add_items(&self.queues, ItemKind::Queue, sum);
    }
}

/// Inserts or replaces an item and updates the digest `sum`.
pub(super) fn insert<T: Keyed + Encode>(
    table: &mut SortedVec<T>,
    kind: ItemKind,
    item: T,
    sum: &mut LaneSum,
) {
    sum.insert(kind, &item);
    if let Some(old) = table.insert(item) {
        sum.remove(kind, &old);
    }
}

/// Removes the item with this key, if there is one, and updates the digest `sum`.
pub(super) fn remove<T: Keyed + Encode>(
    table: &mut SortedVec<T>,
    kind: ItemKind,
    key: &T::Key,
    sum: &mut LaneSum,
) {
    if let Some(old) = table.remove(key) {
        sum.remove(kind, &old);
    }
}

/// Adds every item of a table to the digest `sum`.
pub(super) fn add_items<T: Encode>(table: &SortedVec<T>, kind: ItemKind, sum: &mut LaneSum) {
    for item in table.iter() {
        sum.insert(kind, item);
    }
}
