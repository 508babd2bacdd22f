//! The state that the records of the `control` stream change.

use bincode::{Decode, Encode};
use vanillafold_types::Revision;

use super::{Membership, Memberships};
use crate::digest::LaneSum;
use crate::fold::StreamState;
use crate::{ControlChange, RefusalReason, Roster};

/// The pools of moved VMs and the roster of daemons.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ControlState {
    memberships: Memberships,
    roster: Roster,
}

impl ControlState {
    pub(crate) fn memberships(&self) -> &Memberships {
        &self.memberships
    }

    pub(crate) fn roster(&self) -> &Roster {
        &self.roster
    }
}

impl StreamState for ControlState {
    type Change = ControlChange;

    fn is_deduplicated(change: &ControlChange) -> bool {
        !matches!(change, ControlChange::Snapshot(_))
    }

    fn apply(
        &mut self,
        change: ControlChange,
        revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        match change {
            ControlChange::MoveVm {
                vm,
                from,
                to: pool,
                expected_revision,
            } => {
                let moved = Membership { vm, pool, revision };
                self.memberships
                    .move_vm(moved, &from, expected_revision, sum)
            }
            ControlChange::ReturnVm {
                vm,
                expected_revision,
            } => self.memberships.return_vm(&vm, expected_revision, sum),
            ControlChange::Snapshot(_) => Ok(()),
            ControlChange::Join {
                daemon,
                vm,
                incarnation,
            } => self.roster.join(daemon, vm, incarnation, sum),
            ControlChange::Fence {
                daemon,
                incarnation,
            } => self.roster.fence(&daemon, incarnation, sum),
            ControlChange::Release {
                daemon,
                incarnation,
            } => self.roster.release(&daemon, incarnation, sum),
            ControlChange::Leave {
                daemon,
                incarnation,
                is_floor_settled,
            } => self
                .roster
                .leave(&daemon, incarnation, is_floor_settled, sum),
        }
    }

    fn add_to(&self, sum: &mut LaneSum) {
        self.memberships.add_to(sum);
        self.roster.add_to(sum);
    }
}
