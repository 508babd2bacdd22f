//! What the rest of the system asks the state, by binary search.

use vanillafold_types::{EntryName, Key, KeyId, Pool, PoolId, Queue, Revision, Team, TeamId, VmId};

use super::State;
use crate::{AuthenticationError, Membership, Roster, WithRevision};

impl State {
    /// The queue of this name.
    #[must_use]
    pub fn queue(&self, id: &str) -> Option<&WithRevision<Queue>> {
        self.catalogue.state().queue(id)
    }

    /// The pool of this name.
    #[must_use]
    pub fn pool(&self, id: &PoolId) -> Option<&WithRevision<Pool>> {
        self.catalogue.state().pool(id.as_str())
    }

    /// The team of this name.
    #[must_use]
    pub fn team(&self, id: &TeamId) -> Option<&WithRevision<Team>> {
        self.catalogue.state().team(id.as_str())
    }

    /// The revision that the next edit of an entry replaces; 0 if there is no such entry. Keys
    /// aren't edited, so theirs is 0.
    #[must_use]
    pub fn revision(&self, name: &EntryName) -> Revision {
        self.catalogue.state().revision(name)
    }

    /// The pools, sorted by id.
    pub fn pools(&self) -> impl ExactSizeIterator<Item = &WithRevision<Pool>> {
        self.catalogue.state().pools()
    }

    /// The teams, sorted by id.
    pub fn teams(&self) -> impl ExactSizeIterator<Item = &WithRevision<Team>> {
        self.catalogue.state().teams()
    }

    /// The queues, sorted by id.
    pub fn queues(&self) -> impl ExactSizeIterator<Item = &WithRevision<Queue>> {
        self.catalogue.state().queues()
    }

    /// The keys that were given and that the log has not withdrawn, sorted by id. Those withdrawn
    /// ahead of the log are among them: see [`State::early_withdrawals`].
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &WithRevision<Key>> {
        self.catalogue.state().keys().given()
    }

    /// The key ids that the log has withdrawn, sorted.
    pub fn withdrawn_keys(&self) -> impl ExactSizeIterator<Item = &KeyId> {
        self.catalogue.state().keys().withdrawn()
    }

    /// The key ids withdrawn ahead of the log that it has not withdrawn yet, sorted.
    pub fn early_withdrawals(&self) -> impl ExactSizeIterator<Item = &KeyId> {
        self.early_withdrawals.iter()
    }

    /// The key that a caller presents as `{key-id}.{secret}`.
    ///
    /// # Errors
    ///
    /// A [`AuthenticationError`]; [`AuthenticationError::Withdrawn`] only for the right secret, so that it tells a
    /// stranger nothing.
    pub fn authenticate(&self, presented_key: &str) -> Result<&Key, AuthenticationError> {
        self.catalogue
            .state()
            .keys()
            .authenticate(presented_key, &self.early_withdrawals)
    }

    /// The pool that a VM belongs to; `home` is the pool that the platform's list gives it.
    #[must_use]
    pub fn pool_of(&self, vm: &VmId, home: &PoolId) -> PoolId {
        match self.membership(vm) {
            Some(membership) => membership.pool.clone(),
            None => home.clone(),
        }
    }

    /// The last move of a VM; `None` if it is in its home pool and the next move replaces
    /// revision 0.
    #[must_use]
    pub fn membership(&self, vm: &VmId) -> Option<&Membership> {
        self.control.state().memberships().get(vm)
    }

    /// The VMs that were moved, sorted by id.
    pub fn memberships(&self) -> impl ExactSizeIterator<Item = &Membership> {
        self.control.state().memberships().iter()
    }

    /// Which start of each daemon counts.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        self.control.state().roster()
    }

    /// The VMs that were moved into a pool that is not in the catalogue, sorted by id. A move and
    /// the removal of its pool can race, since neither stream waits for the other.
    pub fn memberships_without_pool(&self) -> impl Iterator<Item = &Membership> {
        self.memberships()
            .filter(|membership| self.pool(&membership.pool).is_none())
    }
}
