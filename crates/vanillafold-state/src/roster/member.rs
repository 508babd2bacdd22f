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
    /// Whether another start came before this one.
    pub has_predecessor: bool,
    /// Earlier starts that may still be alive behind a cut, oldest first.
    pub unreleased: Vec<UnreleasedStart>,
}

/// A superseded start that nobody has seen dead.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct UnreleasedStart {
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
            has_predecessor: false,
            unreleased: Vec::new(),
        }
    }

    /// The member after a later start has joined. A VM runs one process of a daemon at a time,
    /// so every earlier start on the same VM is dead.
    pub(super) fn succeeded_by(&self, vm: VmId, incarnation: Incarnation) -> Self {
        let mut unreleased = self.unreleased.clone();
        unreleased.push(UnreleasedStart {
            incarnation: self.incarnation,
            vm: Some(self.vm.clone()),
        });
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
            has_predecessor: true,
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

impl Keyed for RosterMember {
    type Key = DaemonId;

    fn key(&self) -> &DaemonId {
        &self.daemon
    }
}
