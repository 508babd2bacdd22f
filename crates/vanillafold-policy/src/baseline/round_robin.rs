//! Round-robin routing.

use super::RoutingPolicy;
use crate::{
    Member, MemberState, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome,
    SplitMix,
};

/// Baseline that picks the live targets in turn, whatever their load and health.
#[derive(Debug, Default)]
pub struct RoundRobin {
    members: Vec<Member>,
    next_index: usize,
}

impl RoutingPolicy for RoundRobin {
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
        self.next_index = (self.next_index + 1) % self.members.len();
        let member = &self.members[self.next_index];
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
