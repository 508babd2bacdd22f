//! Each target in turn.

use super::Route;
use crate::{
    Member, MemberState, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome,
    SplitMix,
};

/// Baseline: each live target in turn, whatever its load and health.
#[derive(Debug, Default)]
pub struct RoundRobin {
    members: Vec<Member>,
    turn: usize,
}

impl Route for RoundRobin {
    fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
        self.members
            .retain(|member| member.state == MemberState::Live);
    }

    fn pick(
        &mut self,
        _now: MonotonicMillis,
        _rng: &mut SplitMix,
        _options: PickOptions<'_>,
    ) -> Result<PickedTarget, PickRefusal> {
        if self.members.is_empty() {
            return Err(PickRefusal::NoTarget);
        }
        self.turn = (self.turn + 1) % self.members.len();
        let member = &self.members[self.turn];
        Ok(PickedTarget {
            vm: member.vm.clone(),
            address: member.address,
            probe: false,
        })
    }

    fn send_started(&mut self, _picked: &PickedTarget) {}

    fn send_finished(
        &mut self,
        _picked: PickedTarget,
        _now: MonotonicMillis,
        _outcome: SendOutcome,
    ) {
    }
}
