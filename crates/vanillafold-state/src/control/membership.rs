//! The pools of the VMs that were moved out of their home pools.

use bincode::{Decode, Encode};
use vanillafold_types::{PoolId, Revision, VmId};

use crate::RefusalReason;
use crate::digest::{ItemKind, LaneSum};
use crate::table::{Keyed, SortedVec};

/// The pool of a VM that was moved.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Membership {
    /// The VM that was moved.
    pub vm: VmId,
    /// The pool that the VM belongs to now.
    pub pool: PoolId,
    /// The offset of the record of the VM's last move, which the next move must expect.
    pub revision: Revision,
}

/// The memberships of the VMs that were moved. Every other VM belongs to its home pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Memberships {
    moved: SortedVec<Membership>,
}

impl Memberships {
    pub(crate) fn get(&self, vm: &VmId) -> Option<&Membership> {
        self.moved.get(vm)
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Membership> {
        self.moved.iter()
    }

    pub(super) fn move_vm(
        &mut self,
        moved: Membership,
        from: &PoolId,
        expected_revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        match self.moved.get(&moved.vm) {
            _ if moved.pool == *from => return Err(RefusalReason::SamePool),
            Some(current) if current.revision != expected_revision || current.pool != *from => {
                return Err(RefusalReason::MoveMismatch);
            }
            None if expected_revision != Revision::ZERO => return Err(RefusalReason::MoveMismatch),
            _ => {}
        }
        sum.insert(ItemKind::Membership, &moved);
        if let Some(old) = self.moved.insert(moved) {
            sum.remove(ItemKind::Membership, &old);
        }
        Ok(())
    }

    pub(super) fn return_vm(
        &mut self,
        vm: &VmId,
        expected_revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        match self.moved.get(vm) {
            None => return Err(RefusalReason::NeverMoved),
            Some(current) if current.revision != expected_revision => {
                return Err(RefusalReason::MoveMismatch);
            }
            Some(_) => {}
        }
        if let Some(old) = self.moved.remove(vm) {
            sum.remove(ItemKind::Membership, &old);
        }
        Ok(())
    }
}

impl Memberships {
    pub(super) fn add_to(&self, sum: &mut LaneSum) {
        for membership in self.moved.iter() {
            sum.insert(ItemKind::Membership, membership);
        }
    }
}

impl Keyed for Membership {
    type Key = VmId;

    fn key(&self) -> &VmId {
        &self.vm
    }
}
