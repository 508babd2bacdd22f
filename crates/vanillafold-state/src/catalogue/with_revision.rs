//! An entry with its revision.

use bincode::{Decode, Encode};
use vanillafold_types::{Key, KeyId, Pool, Queue, Revision, Team};

use crate::table::Keyed;

/// An entry with the revision that the next edit of it replaces.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WithRevision<T> {
    /// The entry.
    pub value: T,
    /// The offset of the record that last changed it.
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
