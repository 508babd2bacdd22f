//! Validation of an edit against the catalogue, before any part of it is applied.

use vanillafold_types::{EntryName, Queue, Revision, TeamId};

use super::Catalogue;
use super::range;
use crate::{Entry, EntryEdit, RefusalReason};

/// Checks first each entry of an edit by itself, then the references of each. Returns the reason of
/// the first refusal.
pub(super) fn check(catalogue: &Catalogue, edits: &[EntryEdit]) -> Result<(), RefusalReason> {
    let check = EditCheck::new(catalogue, edits)?;
    edits.iter().try_for_each(|edit| check.check_entry(edit))?;
    edits
        .iter()
        .try_for_each(|edit| check.check_references(edit))
}

/// An edit and the catalogue that it is checked against.
struct EditCheck<'a> {
    catalogue: &'a Catalogue,
    /// Sorted by name, for binary search.
    edits: Vec<&'a EntryEdit>,
}

impl<'a> EditCheck<'a> {
    fn new(catalogue: &'a Catalogue, edits: &'a [EntryEdit]) -> Result<Self, RefusalReason> {
        let mut edits: Vec<&EntryEdit> = edits.iter().collect();
        edits.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        match edits.as_slice() {
            [] => Err(RefusalReason::EmptyEdit),
            _ if edits.windows(2).any(|pair| pair[0].name == pair[1].name) => {
                Err(RefusalReason::DuplicateEntry)
            }
            _ => Ok(Self { catalogue, edits }),
        }
    }

    /// Checks the name, expected revision and values of one entry by itself.
    fn check_entry(&self, edit: &EntryEdit) -> Result<(), RefusalReason> {
        let current = self.catalogue.entries.revision(&edit.name);
        match &edit.value {
            _ if matches!(edit.name, EntryName::Key(_)) => Err(RefusalReason::KeyInEdit),
            Some(value) if value.name() != edit.name => Err(RefusalReason::NameMismatch),
            None if current == Revision::ZERO => Err(RefusalReason::MissingEntry),
            _ if current != edit.expected_revision => Err(RefusalReason::RevisionMismatch),
            Some(value) => range::check(value),
            None => Ok(()),
        }
    }

    /// Checks that the entry refers only to entries that exist after the edit, and that a removed
    /// entry is no longer referred to.
    fn check_references(&self, edit: &EntryEdit) -> Result<(), RefusalReason> {
        match (&edit.name, &edit.value) {
            (_, Some(Entry::Queue(queue))) => self.check_queue(queue),
            (EntryName::Pool(id), None)
                if self.is_used_by_other_queue(|queue| queue.pool == *id) =>
            {
                Err(RefusalReason::PoolInUse)
            }
            (EntryName::Team(id), None) if self.is_team_used(id) => Err(RefusalReason::TeamInUse),
            _ => Ok(()),
        }
    }

    fn check_queue(&self, queue: &Queue) -> Result<(), RefusalReason> {
        if !self.exists_after_edit(&EntryName::Pool(queue.pool.clone())) {
            return Err(RefusalReason::UnknownPool);
        }
        let teams_exist = queue
            .teams
            .iter()
            .all(|team| self.exists_after_edit(&EntryName::Team(team.clone())));
        match teams_exist {
            true => Ok(()),
            false => Err(RefusalReason::UnknownTeam),
        }
    }

    /// Returns whether the entry exists after the edit.
    fn exists_after_edit(&self, name: &EntryName) -> bool {
        match self.find_edit(name) {
            Some(edit) => edit.value.is_some(),
            None => self.catalogue.entries.revision(name) != Revision::ZERO,
        }
    }

    fn is_team_used(&self, id: &TeamId) -> bool {
        self.is_used_by_other_queue(|queue| queue.teams.contains(id))
            || self.catalogue.keys.is_team_used(id)
    }

    /// Returns whether `uses` holds for a queue that is not part of the edit. The queues of the
    /// edit are checked by [`EditCheck::check_queue`].
    fn is_used_by_other_queue(&self, uses: impl Fn(&Queue) -> bool) -> bool {
        self.catalogue
            .entries
            .queues
            .iter()
            .filter(|queue| uses(&queue.value))
            .any(|queue| {
                self.find_edit(&EntryName::Queue(queue.value.id.clone()))
                    .is_none()
            })
    }

    fn find_edit(&self, name: &EntryName) -> Option<&'a EntryEdit> {
        let index = self
            .edits
            .binary_search_by(|edit| edit.name.cmp(name))
            .ok()?;
        Some(self.edits[index])
    }
}
