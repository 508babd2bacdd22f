//! The roster's entry for one daemon.

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, VmId};

use crate::table::Keyed;

/// The most unreleased incarnations that are listed; beyond that, the oldest ones are merged.
const MAX_UNRELEASED: usize = 8;

/// A daemon's latest incarnation and what is known of the earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RosterMember {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// The latest incarnation that joined; every smaller one is superseded.
    pub incarnation: Incarnation,
    /// The VM that this incarnation runs on.
    pub vm: VmId,
    /// Whether this incarnation was fenced and must not start work any more.
    pub is_fenced: bool,
    /// Whether this incarnation has left in a planned stop, holding no units.
    pub has_left: bool,
    /// Whether the previous incarnation may still have held units when this one joined.
    pub has_predecessor: bool,
    /// Whether no earlier incarnation could be using the floor when this one joined. Once this one
    /// has left, whether none can be using it when the next one joins.
    pub is_floor_settled: bool,
    /// Earlier incarnations that may still be alive in a network partition, oldest first.
    pub unreleased: Vec<UnreleasedIncarnation>,
}

/// A superseded incarnation whose process is not known to be dead.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct UnreleasedIncarnation {
    /// The incarnation; the latest one if several were merged.
    pub incarnation: Incarnation,
    /// The VM that it ran on; `None` if several incarnations were merged.
    pub vm: Option<VmId>,
}

impl RosterMember {
    pub(super) fn first(daemon: DaemonId, vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            daemon,
            incarnation,
            vm,
            is_fenced: false,
            has_left: false,
            has_predecessor: false,
            is_floor_settled: true,
            unreleased: Vec::new(),
        }
    }

    /// Returns the entry after a later incarnation has joined. A VM runs one process of a daemon at
    /// a time, so every earlier incarnation on the same VM is dead.
    pub(super) fn succeeded_by(&self, vm: VmId, incarnation: Incarnation) -> Self {
        // If the incarnation was fenced after it left, other daemons may have taken over its
        // surplus.
        let is_clean = self.has_left && !self.is_fenced;
        let mut unreleased = self.unreleased.clone();
        if !self.has_left {
            unreleased.push(UnreleasedIncarnation {
                incarnation: self.incarnation,
                vm: Some(self.vm.clone()),
            });
        }
        unreleased.retain(|earlier| earlier.vm.as_ref() != Some(&vm));
        if unreleased.len() > MAX_UNRELEASED {
            unreleased.remove(0);
            unreleased[0].vm = None;
        }
        Self {
            daemon: self.daemon.clone(),
            incarnation,
            vm,
            is_fenced: false,
            has_left: false,
            has_predecessor: !is_clean,
            is_floor_settled: is_clean && self.is_floor_settled && unreleased.is_empty(),
            unreleased,
        }
    }

    /// Returns the entry after an operator has confirmed that every incarnation up to `incarnation`
    /// is dead.
    pub(super) fn released(&self, incarnation: Incarnation) -> Self {
        let mut member = self.clone();
        member
            .unreleased
            .retain(|earlier| earlier.incarnation > incarnation);
        member
    }
}

impl RosterMember {
    /// Returns whether the latest incarnation may hold units: it was not fenced and has not left.
    #[must_use]
    pub fn is_current(&self) -> bool {
        !self.is_fenced && !self.has_left
    }
}

impl Keyed for RosterMember {
    type Key = DaemonId;

    fn key(&self) -> &DaemonId {
        &self.daemon
    }
}
