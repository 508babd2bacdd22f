//! Lookups in the state, by binary search.

use vanillafold_types::{
    EntryName, Key, KeyId, Pool, PoolId, Queue, Revision, Team, TeamId, VmId, ZoneId,
};

use super::State;
use crate::{AuthenticationError, Membership, Roster, WithRevision};

impl State {
    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, id: &str) -> Option<&WithRevision<Queue>> {
        self.catalogue.state().queue(id)
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, id: &PoolId) -> Option<&WithRevision<Pool>> {
        self.catalogue.state().pool(id.as_str())
    }

    /// Returns the team with this name.
    #[must_use]
    pub fn team(&self, id: &TeamId) -> Option<&WithRevision<Team>> {
        self.catalogue.state().team(id.as_str())
    }

    /// Returns the revision that the next edit of an entry must expect; 0 if the entry doesn't
    /// exist. Keys can't be edited, so theirs is 0.
    #[must_use]
    pub fn revision(&self, name: &EntryName) -> Revision {
        self.catalogue.state().revision(name)
    }

    /// Returns the pools, sorted by id.
    pub fn pools(&self) -> impl ExactSizeIterator<Item = &WithRevision<Pool>> {
        self.catalogue.state().pools()
    }

    /// Returns the teams, sorted by id.
    pub fn teams(&self) -> impl ExactSizeIterator<Item = &WithRevision<Team>> {
        self.catalogue.state().teams()
    }

    /// Returns the queues, sorted by id.
    pub fn queues(&self) -> impl ExactSizeIterator<Item = &WithRevision<Queue>> {
        self.catalogue.state().queues()
    }

    /// Returns the keys that the log has given and not withdrawn, sorted by id. They include keys
    /// with an early withdrawal: see [`State::early_withdrawals`].
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &WithRevision<Key>> {
        self.catalogue.state().keys().given()
    }

    /// Returns the key ids that the log has withdrawn, sorted.
    pub fn withdrawn_keys(&self) -> impl ExactSizeIterator<Item = &KeyId> {
        self.catalogue.state().keys().withdrawn()
    }

    /// Returns the key ids with an early withdrawal that the log has not withdrawn yet, sorted.
    pub fn early_withdrawals(&self) -> impl ExactSizeIterator<Item = &KeyId> {
        self.early_withdrawals.iter()
    }

    /// Returns the evacuated zones, sorted by name, each with the offset of the latest request to
    /// evacuate it. A zone needs no VM to be among them.
    pub fn evacuated_zones(&self) -> impl ExactSizeIterator<Item = &WithRevision<ZoneId>> {
        self.catalogue.state().evacuations().iter()
    }

    /// Returns the offset of the latest request to evacuate a zone, which a withdrawal must expect;
    /// `None` if the zone is not evacuated.
    #[must_use]
    pub fn evacuation(&self, zone: &ZoneId) -> Option<Revision> {
        let evacuations = self.catalogue.state().evacuations();
        evacuations.get(zone).map(|evacuated| evacuated.revision)
    }

    /// Returns the key that a caller presents as `{key-id}.{secret}`.
    ///
    /// # Errors
    ///
    /// Returns an [`AuthenticationError`]. It is [`AuthenticationError::Withdrawn`] only for the
    /// right secret, so that it reveals nothing to callers that never had the key.
    pub fn authenticate(&self, presented_key: &str) -> Result<&Key, AuthenticationError> {
        self.catalogue
            .state()
            .keys()
            .authenticate(presented_key, &self.early_withdrawals)
    }

    /// Returns the pool that a VM belongs to; `home` is the VM's pool in the platform's list.
    #[must_use]
    pub fn pool_of(&self, vm: &VmId, home: &PoolId) -> PoolId {
        match self.membership(vm) {
            Some(membership) => membership.pool.clone(),
            None => home.clone(),
        }
    }

    /// Returns the pool of a VM that was moved, with the revision of its last move. `None` means
    /// that the VM is in its home pool and that the next move must expect revision 0.
    #[must_use]
    pub fn membership(&self, vm: &VmId) -> Option<&Membership> {
        self.control.state().memberships().get(vm)
    }

    /// Returns the pools of the VMs that were moved, sorted by VM.
    pub fn memberships(&self) -> impl ExactSizeIterator<Item = &Membership> {
        self.control.state().memberships().iter()
    }

    /// Returns the roster: the daemons that have joined, and the latest incarnation of each.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        self.control.state().roster()
    }

    /// Returns the VMs that were moved to a pool that is not in the catalogue, sorted by VM. A move
    /// and the removal of its pool can race, since neither stream waits for the other.
    pub fn memberships_without_pool(&self) -> impl Iterator<Item = &Membership> {
        self.memberships()
            .filter(|membership| self.pool(&membership.pool).is_none())
    }
}
