//! What the roster knows of one daemon.

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, VmId};

use crate::table::Keyed;

/// The most unreleased starts that are kept apart; beyond it the oldest are merged.
const MAX_UNRELEASED: usize = 8;

/// The current start of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RosterMember {
    /// The daemon.
    pub daemon: DaemonId,
    /// Which start counts; every smaller one is superseded.
    pub incarnation: Incarnation,
    /// The VM that this start runs on.
    pub vm: VmId,
    /// Whether this start may begin no more work.
    pub is_fenced: bool,
    /// Whether this start has left, holding nothing.
    pub has_left: bool,
    /// Whether the start before this one may have held something when this one joined.
    pub has_predecessor: bool,
    /// Whether no start before this one could be using the floor when this one joined; once this
    /// one has left, whether none can when the next one joins.
    pub is_floor_settled: bool,
    /// Earlier starts that may still be alive behind a cut, oldest first.
    pub unreleased: Vec<UnreleasedIncarnation>,
}

/// A superseded start that nobody has seen dead.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct UnreleasedIncarnation {
    /// Which start.
    pub incarnation: Incarnation,
    /// Its VM; `None` if several starts were merged.
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

    /// The member after a later start has joined. A VM runs one process of a daemon at a time,
    /// so every earlier start on the same VM is dead.
    pub(super) fn succeeded_by(&self, vm: VmId, incarnation: Incarnation) -> Self {
        // Once it is fenced too, others may have taken over what it left.
        let is_clean = self.has_left && !self.is_fenced;
        let mut unreleased = self.unreleased.clone();
        if !self.has_left {
            unreleased.push(UnreleasedIncarnation {
                incarnation: self.incarnation,
                vm: Some(self.vm.clone()),
            });
        }
        unreleased.retain(|start| start.vm.as_ref() != Some(&vm));
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

    /// The member after an operator has vouched that every start up to `incarnation` is dead.
    pub(super) fn released(&self, incarnation: Incarnation) -> Self {
        let mut member = self.clone();
        member
            .unreleased
            .retain(|start| start.incarnation > incarnation);
        member
    }
}

impl RosterMember {
    /// Whether this start may hold units.
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
