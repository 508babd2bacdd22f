//! The catalogue and how the records of the `catalogue` stream change it.

use bincode::de::{BorrowDecoder, Decoder};
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{BorrowDecode, Decode, Encode};
use vanillafold_types::{EntryName, Key, Pool, Queue, Revision, Team};

use super::edit;
use super::entries::Entries;
use super::evacuations::Evacuations;
use super::key_ring::KeyRing;
use super::with_revision::WithRevision;
use crate::digest::LaneSum;
use crate::fold::StreamState;
use crate::{CatalogueChange, EntryEdit, RefusalReason};

/// The catalogue: entries, keys and evacuated zones. Every pool and team that a queue or key refers
/// to exists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Catalogue {
    pub(super) entries: Entries,
    pub(super) keys: KeyRing,
    /// Not part of the encoding, which earlier releases read too: a snapshot holds the zones at its
    /// end.
    evacuations: Evacuations,
}

impl Catalogue {
    pub(crate) fn pool(&self, id: &str) -> Option<&WithRevision<Pool>> {
        self.entries.pools.get(id)
    }

    pub(crate) fn team(&self, id: &str) -> Option<&WithRevision<Team>> {
        self.entries.teams.get(id)
    }

    pub(crate) fn queue(&self, id: &str) -> Option<&WithRevision<Queue>> {
        self.entries.queues.get(id)
    }

    pub(crate) fn pools(&self) -> std::slice::Iter<'_, WithRevision<Pool>> {
        self.entries.pools.iter()
    }

    pub(crate) fn teams(&self) -> std::slice::Iter<'_, WithRevision<Team>> {
        self.entries.teams.iter()
    }

    pub(crate) fn queues(&self) -> std::slice::Iter<'_, WithRevision<Queue>> {
        self.entries.queues.iter()
    }

    pub(crate) fn revision(&self, name: &EntryName) -> Revision {
        self.entries.revision(name)
    }

    pub(crate) fn keys(&self) -> &KeyRing {
        &self.keys
    }

    pub(crate) fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Adds the evacuated zones to a decoded catalogue, and to its digest `sum`.
    pub(crate) fn add_evacuations(&mut self, evacuations: Evacuations, sum: &mut LaneSum) {
        evacuations.add_to(sum);
        self.evacuations = evacuations;
    }

    fn edit(
        &mut self,
        edits: Vec<EntryEdit>,
        revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        edit::check(self, &edits)?;
        for edit in edits {
            self.entries.apply(edit, revision, sum);
        }
        Ok(())
    }

    fn give_key(
        &mut self,
        key: Key,
        revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        match self.team(key.team.as_str()) {
            Some(_) => self.keys.give(key, revision, sum),
            None => Err(RefusalReason::UnknownTeam),
        }
    }
}

impl StreamState for Catalogue {
    type Change = CatalogueChange;

    fn is_deduplicated(_: &CatalogueChange) -> bool {
        true
    }

    fn apply(
        &mut self,
        change: CatalogueChange,
        revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        match change {
            CatalogueChange::Edit(edits) => self.edit(edits, revision, sum),
            CatalogueChange::GiveKey(key) => self.give_key(key, revision, sum),
            CatalogueChange::WithdrawKey(id) => {
                self.keys.withdraw(id, sum);
                Ok(())
            }
            CatalogueChange::EvacuateZone(zone) => {
                self.evacuations.request(zone, revision, sum);
                Ok(())
            }
            CatalogueChange::RestoreZone {
                zone,
                expected_revision,
            } => self.evacuations.withdraw(&zone, expected_revision, sum),
        }
    }

    fn add_to(&self, sum: &mut LaneSum) {
        self.entries.add_to(sum);
        self.keys.add_to(sum);
        self.evacuations.add_to(sum);
    }
}

impl Encode for Catalogue {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.entries.encode(encoder)?;
        self.keys.encode(encoder)
    }
}

impl<Context> Decode<Context> for Catalogue {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        Ok(Self {
            entries: Entries::decode(decoder)?,
            keys: KeyRing::decode(decoder)?,
            evacuations: Evacuations::default(),
        })
    }
}

impl<'de, Context> BorrowDecode<'de, Context> for Catalogue {
    fn borrow_decode<D: BorrowDecoder<'de, Context = Context>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Self::decode(decoder)
    }
}
