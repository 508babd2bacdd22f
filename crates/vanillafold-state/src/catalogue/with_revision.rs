//! Entries with their revisions, and the keys by which tables sort them.

use bincode::{Decode, Encode};
use vanillafold_types::{Key, KeyId, Pool, Queue, Revision, Team};

use crate::table::Keyed;

/// An entry with its revision, which the next edit of the entry must expect.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WithRevision<T> {
    /// The pool, team, queue or key.
    pub value: T,
    /// The offset of the record that last changed the entry.
    pub revision: Revision,
}

impl<T: Keyed> Keyed for WithRevision<T> {
    type Key = T::Key;

    fn key(&self) -> &T::Key {
        self.value.key()
    }
}

macro_rules! keyed_by_id {
    ($($entry:ty),*) => {
        $(impl Keyed for $entry {
            type Key = str;

            fn key(&self) -> &str {
                self.id.as_str()
            }
        })*
    };
}

keyed_by_id!(Pool, Team, Queue, Key);

impl Keyed for KeyId {
    type Key = str;

    fn key(&self) -> &str {
        self.as_str()
    }
}
