//! The zones that the operator evacuates, as far as a daemon knows, and how daemons compare what they
//! know.

use bincode::{Decode, Encode};

/// How new a daemon's knowledge of the evacuated zones is, without the zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationVersion {
    /// Offset of the operator's records up to which they have been read.
    pub as_of: u64,
    /// Offset up to which the records had been read when the set of zones last changed.
    pub changed_at: u64,
    /// Time since the operator's records were last read, in milliseconds: what was written before
    /// that is known.
    pub age_ms: u64,
}

impl EvacuationVersion {
    /// Returns whether a daemon that knows the records up to this version lacks a change that one with
    /// `other` knows.
    #[must_use]
    pub const fn lacks_change_of(&self, other: &Self) -> bool {
        other.changed_at > self.as_of
    }
}

/// The evacuated zones by the operator's records up to an offset. The offset orders all knowledge of
/// them, whether it comes from the store or from another daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct EvacuatedZones {
    as_of: u64,
    changed_at: u64,
    /// Sorted.
    zones: Vec<String>,
}

impl EvacuatedZones {
    /// Returns the evacuated zones, of which a complete read of the latest records has shown `zones`, in
    /// any order, and which holds all records before offset `as_of`.
    #[must_use]
    pub fn new(mut zones: Vec<String>, as_of: u64) -> Self {
        zones.sort_unstable();
        zones.dedup();
        Self {
            as_of,
            changed_at: as_of,
            zones,
        }
    }

    /// Returns the evacuated zones, sorted.
    #[must_use]
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns how new this knowledge is, if the records were last read `age_ms` ago.
    #[must_use]
    pub const fn version(&self, age_ms: u64) -> EvacuationVersion {
        EvacuationVersion {
            as_of: self.as_of,
            changed_at: self.changed_at,
            age_ms,
        }
    }

    /// Replaces the zones by later knowledge. Returns whether they have changed; earlier knowledge is
    /// ignored.
    pub fn replace(&mut self, later: &Self) -> bool {
        if later.as_of < self.as_of {
            return false;
        }
        let is_changed = later.zones != self.zones;
        if is_changed {
            self.zones.clone_from(&later.zones);
            // The change may be known from an offset that was read before this one's last read.
            self.changed_at = later.changed_at.max(self.as_of);
        }
        self.as_of = later.as_of;
        is_changed
    }

    /// Applies requests and withdrawals, in the order of their records, which end before offset `as_of`.
    /// Returns whether the zones have changed. Records that end before what is known are ignored: another
    /// read has overtaken theirs.
    pub fn apply(&mut self, changes: &[(String, ZoneChange)], as_of: u64) -> bool {
        if as_of <= self.as_of {
            return false;
        }
        let before = self.zones.clone();
        for (zone, change) in changes {
            match (self.zones.binary_search(zone), change) {
                (Err(at), ZoneChange::Evacuate) => self.zones.insert(at, zone.clone()),
                (Ok(at), ZoneChange::Restore) => {
                    self.zones.remove(at);
                }
                _ => {}
            }
        }
        let is_changed = before != self.zones;
        self.as_of = as_of;
        if is_changed {
            self.changed_at = self.as_of;
        }
        is_changed
    }
}

/// What an operator's record says about a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone is to be evacuated.
    Evacuate,
    /// The evacuation of the zone is withdrawn.
    Restore,
}
