//! The availability zones that operators have asked to evacuate.

use bincode::{Decode, Encode};
use vanillafold_types::{Revision, ZoneId};

use super::WithRevision;
use super::entries::{add_items, insert, remove};
use crate::RefusalReason;
use crate::digest::{ItemKind, LaneSum};
use crate::table::{Keyed, SortedVec};

/// The evacuated zones, each with the offset of its latest request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Evacuations {
    zones: SortedVec<WithRevision<ZoneId>>,
}

impl Evacuations {
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, WithRevision<ZoneId>> {
        self.zones.iter()
    }

    pub(crate) fn get(&self, zone: &ZoneId) -> Option<&WithRevision<ZoneId>> {
        self.zones.get(zone.as_str())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Adds a zone. A repeated request replaces the earlier one, so that a withdrawal of the
    /// earlier one that is appended later is refused.
    pub(super) fn request(&mut self, value: ZoneId, revision: Revision, sum: &mut LaneSum) {
        let item = WithRevision { value, revision };
        insert(&mut self.zones, ItemKind::EvacuatedZone, item, sum);
    }

    pub(super) fn withdraw(
        &mut self,
        zone: &ZoneId,
        expected_revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        match self.get(zone) {
            None => Err(RefusalReason::NotEvacuated),
            Some(current) if current.revision != expected_revision => {
                Err(RefusalReason::EvacuationMismatch)
            }
            Some(_) => {
                remove(&mut self.zones, ItemKind::EvacuatedZone, zone.as_str(), sum);
                Ok(())
            }
        }
    }

    /// Adds every zone to the digest `sum`.
    pub(super) fn add_to(&self, sum: &mut LaneSum) {
        add_items(&self.zones, ItemKind::EvacuatedZone, sum);
    }
}

impl Keyed for ZoneId {
    type Key = str;

    fn key(&self) -> &str {
        self.as_str()
    }
}
