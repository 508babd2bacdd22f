//! The API keys of teams: those in force, and the grow-only set of withdrawn ones.

use bincode::{Decode, Encode};
use subtle::ConstantTimeEq as _;
use vanillafold_types::{Key, KeyId, Revision, TeamId};

use super::WithRevision;
use super::entries::{add_items, insert, remove};
use super::presented_key::{key_digest, presented_id};
use crate::RefusalReason;
use crate::digest::{ItemKind, LaneSum};
use crate::table::{Keyed, SortedVec};

/// Why a presented key was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// The text is empty, too long or not of the form `{key-id}.{secret}`.
    #[error("expected a key KEY-ID.SECRET; check it with its owner")]
    Malformed,
    /// No key has this id and secret, or the key was withdrawn before it was given.
    #[error("the key is not known; check it with its owner")]
    Unknown,
    /// The id and secret are those of a withdrawn key.
    #[error("the key was withdrawn; ask an operator for a new one")]
    Withdrawn,
}

/// The keys in force (`given`) and the grow-only set of withdrawn ones. No id is in both.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct KeyRing {
    given: SortedVec<WithRevision<Key>>,
    withdrawn: SortedVec<WithdrawnKey>,
}

/// A withdrawn key, kept so that its id is never given again.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct WithdrawnKey {
    id: KeyId,
    /// The digest of its text; `None` if it was withdrawn before it was given.
    digest: Option<[u8; 32]>,
}

impl KeyRing {
    pub(crate) fn given(&self) -> std::slice::Iter<'_, WithRevision<Key>> {
        self.given.iter()
    }

    pub(crate) fn withdrawn(&self) -> impl ExactSizeIterator<Item = &KeyId> {
        self.withdrawn.iter().map(|key| &key.id)
    }

    pub(crate) fn is_withdrawn(&self, id: &KeyId) -> bool {
        self.withdrawn.contains(id.as_str())
    }

    pub(super) fn is_team_used(&self, id: &TeamId) -> bool {
        self.given.iter().any(|key| key.value.team == *id)
    }

    /// Adds a key. The caller has checked that its team exists.
    pub(super) fn give(
        &mut self,
        value: Key,
        revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        match value.id.as_str() {
            id if self.withdrawn.contains(id) => Err(RefusalReason::WithdrawnKey),
            id if self.given.contains(id) => Err(RefusalReason::GivenKey),
            _ => {
                insert(
                    &mut self.given,
                    ItemKind::Key,
                    WithRevision { value, revision },
                    sum,
                );
                Ok(())
            }
        }
    }

    /// Withdraws a key permanently. A repeated withdrawal changes nothing.
    pub(super) fn withdraw(&mut self, id: KeyId, sum: &mut LaneSum) {
        if self.is_withdrawn(&id) {
            return;
        }
        let digest = self.given.get(id.as_str()).map(|key| key.value.digest);
        remove(&mut self.given, ItemKind::Key, id.as_str(), sum);
        let withdrawn = WithdrawnKey { id, digest };
        insert(&mut self.withdrawn, ItemKind::WithdrawnKey, withdrawn, sum);
    }

    /// Adds every key to the digest `sum`.
    pub(super) fn add_to(&self, sum: &mut LaneSum) {
        add_items(&self.given, ItemKind::Key, sum);
        add_items(&self.withdrawn, ItemKind::WithdrawnKey, sum);
    }

    /// Returns the key whose text is `presented`. `early` holds the ids of early withdrawals, which
    /// reached this daemon by another way than the log.
    pub(crate) fn authenticate(
        &self,
        presented: &str,
        early: &SortedVec<KeyId>,
    ) -> Result<&Key, AuthenticationError> {
        let id = presented_id(presented).ok_or(AuthenticationError::Malformed)?;
        let digest = key_digest(presented);
        let given = self.given.get(id).map(|key| &key.value);
        let withdrawn = self.withdrawn.get(id).and_then(|key| key.digest);
        match (given, withdrawn) {
            (Some(key), _) if !digests_equal(&key.digest, &digest) => {
                Err(AuthenticationError::Unknown)
            }
            (Some(_), _) if early.contains(id) => Err(AuthenticationError::Withdrawn),
            (Some(key), _) => Ok(key),
            (None, Some(known)) if digests_equal(&known, &digest) => {
                Err(AuthenticationError::Withdrawn)
            }
            (None, _) => Err(AuthenticationError::Unknown),
        }
    }
}

/// Compares two digests in constant time, so that the time taken reveals nothing about a key.
fn digests_equal(left: &[u8; 32], right: &[u8; 32]) -> bool {
    left.ct_eq(right).into()
}

impl Keyed for WithdrawnKey {
    type Key = str;

    fn key(&self) -> &str {
        self.id.as_str()
    }
}
