//! The records of the `catalogue` stream.

use bincode::{Decode, Encode};
use vanillafold_types::{EntryName, Key, KeyId, Pool, Queue, Revision, Team};

use super::Record;

/// A record of the `catalogue` stream.
pub type CatalogueRecord = Record<CatalogueChange>;

/// What operators change.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum CatalogueChange {
    /// Changes entries, all of them or none.
    Edit(Vec<EntryEdit>),
    /// Gives a key. An id is given once: neither a given nor a withdrawn id is given again.
    GiveKey(Key),
    /// Withdraws a key for good, whether or not it was given.
    WithdrawKey(KeyId),
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EntryEdit {
    /// The entry; pools, teams and queues only.
    pub name: EntryName,
    /// The revision that this edit replaces; 0 if the entry must not exist.
    pub expected_revision: Revision,
    /// The entry from now on; `None` removes it.
    pub value: Option<Entry>,
}

/// An entry that an edit can hold.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Entry {
    /// A pool.
    Pool(Pool),
    /// A team.
    Team(Team),
    /// A queue.
    Queue(Queue),
}

impl Entry {
    /// The name that an edit of this entry carries.
    #[must_use]
    pub fn name(&self) -> EntryName {
        match self {
            Self::Pool(pool) => EntryName::Pool(pool.id.clone()),
            Self::Team(team) => EntryName::Team(team.id.clone()),
            Self::Queue(queue) => EntryName::Queue(queue.id.clone()),
        }
    }
}
