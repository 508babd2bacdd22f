//! The roster and the records of the control stream that change it.

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, VmId};

use super::RosterMember;
use crate::RefusalReason;
use crate::digest::{ItemKind, LaneSum};
use crate::table::SortedVec;

/// The daemons that have joined according to the control stream, each with its latest incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Roster {
    members: SortedVec<RosterMember>,
}

impl Roster {
    /// Returns the roster's entry for a daemon, or `None` if it never joined.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&RosterMember> {
        self.members.get(daemon)
    }

    /// Returns the entries of all daemons that ever joined, sorted by name.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &RosterMember> {
        self.members.iter()
    }

    /// Returns whether this incarnation of the daemon has joined and is neither superseded nor
    /// fenced, and has not left.
    #[must_use]
    pub fn is_current(&self, daemon: &DaemonId, incarnation: Incarnation) -> bool {
        self.member(daemon)
            .is_some_and(|member| member.incarnation == incarnation && member.is_current())
    }

    pub(crate) fn join(
        &mut self,
        daemon: DaemonId,
        vm: VmId,
        incarnation: Incarnation,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        let joined = match self.members.get(&daemon) {
            Some(known) if known.incarnation >= incarnation => {
                return Err(RefusalReason::StaleIncarnation);
            }
            Some(known) => known.succeeded_by(vm, incarnation),
            None => RosterMember::first(daemon, vm, incarnation),
        };
        self.replace(joined, sum);
        Ok(())
    }

    pub(crate) fn fence(
        &mut self,
        daemon: &DaemonId,
        incarnation: Incarnation,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        let fenced = match self.members.get(daemon) {
            Some(known) if known.incarnation == incarnation && !known.is_fenced => RosterMember {
                is_fenced: true,
                ..known.clone()
            },
            _ => return Err(RefusalReason::NotCurrent),
        };
        self.replace(fenced, sum);
        Ok(())
    }

    pub(crate) fn leave(
        &mut self,
        daemon: &DaemonId,
        incarnation: Incarnation,
        is_floor_settled: bool,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        let left = match self.members.get(daemon) {
            Some(known) if known.incarnation == incarnation && known.is_current() => RosterMember {
                has_left: true,
                is_floor_settled,
                ..known.clone()
            },
            _ => return Err(RefusalReason::NotCurrent),
        };
        self.replace(left, sum);
        Ok(())
    }

    pub(crate) fn release(
        &mut self,
        daemon: &DaemonId,
        incarnation: Incarnation,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason> {
        let Some(known) = self.members.get(daemon) else {
            return Err(RefusalReason::NothingToRelease);
        };
        let released = known.released(incarnation);
        if released == *known {
            return Err(RefusalReason::NothingToRelease);
        }
        self.replace(released, sum);
        Ok(())
    }

    pub(crate) fn add_to(&self, sum: &mut LaneSum) {
        for member in self.members.iter() {
            sum.insert(ItemKind::RosterMember, member);
        }
    }

    fn replace(&mut self, member: RosterMember, sum: &mut LaneSum) {
        sum.insert(ItemKind::RosterMember, &member);
        if let Some(old) = self.members.insert(member) {
            sum.remove(ItemKind::RosterMember, &old);
        }
    }
}
