//! The records of the `catalogue` stream.

use bincode::{Decode, Encode};
use vanillafold_types::{EntryName, Key, KeyId, Pool, Queue, Revision, Team, ZoneId};

use super::Record;

/// A record of the `catalogue` stream.
pub type CatalogueRecord = Record<CatalogueChange>;

/// A change of the catalogue, published by operators.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum CatalogueChange {
    /// Changes entries atomically: all of them or none.
    Edit(Vec<EntryEdit>),
    /// Adds an API key. Each id is given at most once: neither a given nor a withdrawn id is
    /// accepted again.
    GiveKey(Key),
    /// Withdraws a key permanently, whether or not it was given.
    WithdrawKey(KeyId),
    /// Requests the evacuation of an availability zone, whether or not the zone exists: its targets
    /// get no new requests until the request is withdrawn. A repeated request replaces the earlier
    /// one.
    EvacuateZone(ZoneId),
    /// Withdraws the request to evacuate an availability zone.
    RestoreZone {
        /// The zone.
        zone: ZoneId,
        /// The revision of the request that is withdrawn.
        expected_revision: Revision,
    },
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EntryEdit {
    /// The entry's name: that of a pool, team or queue, never of a key.
    pub name: EntryName,
    /// The revision that the entry must have for the edit to be accepted; 0 if it must not exist.
    pub expected_revision: Revision,
    /// The entry's new value; `None` removes the entry.
    pub value: Option<Entry>,
}

/// The value of an entry that an edit can change.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Entry {
    /// A pool of VMs, with its slots and connections per VM.
    Pool(Pool),
    /// A team, with its share and limit.
    Team(Team),
    /// A queue, with its pool and the teams that may use it.
    Queue(Queue),
}

impl Entry {
    /// Returns the name that an edit of this entry must have.
    #[must_use]
    pub fn name(&self) -> EntryName {
        match self {
            Self::Pool(pool) => EntryName::Pool(pool.id.clone()),
            Self::Team(team) => EntryName::Team(team.id.clone()),
            Self::Queue(queue) => EntryName::Queue(queue.id.clone()),
        }
    }
}
