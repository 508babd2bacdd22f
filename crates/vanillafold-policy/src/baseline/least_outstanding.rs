//! Routing to the target with the fewest outstanding sends.

use vanillafold_types::{Millis, Slots, VmId};

use super::RoutingPolicy;
use crate::{
    Member, MemberState, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome,
    SplitMix,
};

/// Time until the next pick when all targets are full.
const RECHECK_INTERVAL: Millis = Millis::new(50);

/// Baseline that picks the live target where this daemon has the fewest outstanding sends.
#[derive(Debug)]
pub struct LeastOutstanding {
    slots_per_vm: Slots,
    // Sorted by VM id.
    targets: Vec<CountedTarget>,
}

/// A target with the number of its outstanding sends.
#[derive(Debug)]
struct CountedTarget {
    member: Member,
    outstanding: u32,
}

impl LeastOutstanding {
    /// Creates a baseline without targets that has at most `slots_per_vm` sends outstanding at
    /// each.
    #[must_use]
    pub const fn new(slots_per_vm: Slots) -> Self {
        Self {
            slots_per_vm,
            targets: Vec::new(),
        }
    }

    fn find_mut(&mut self, vm: &VmId) -> Option<&mut CountedTarget> {
        let position = self
            .targets
            .binary_search_by(|target| target.member.vm.cmp(vm));
        position.ok().map(|index| &mut self.targets[index])
    }
}

impl RoutingPolicy for LeastOutstanding {
    fn set_members(&mut self, members: Vec<Member>) {
        let mut targets: Vec<CountedTarget> = members
            .into_iter()
            .map(|member| CountedTarget {
                outstanding: self
                    .find_mut(&member.vm)
                    .map_or(0, |target| target.outstanding),
                member,
            })
            .collect();
        targets.sort_by(|a, b| a.member.vm.cmp(&b.member.vm));
        self.targets = targets;
    }

    fn pick(
        &mut self,
        _now: MonotonicMillis,
        rng: &mut SplitMix,
        _options: PickOptions<'_>,
    ) -> Result<PickedTarget, PickRefusal> {
        let least = self
            .targets
            .iter()
            .filter(|target| target.member.state == MemberState::Live)
            .min_by_key(|target| (target.outstanding, rng.next_u64()));
        match least {
            None => Err(PickRefusal::NoTarget),
            Some(target) if target.outstanding >= self.slots_per_vm.get() => {
                Err(PickRefusal::AllBusy {
                    recheck_after_ms: RECHECK_INTERVAL,
                })
            }
            Some(target) => Ok(PickedTarget {
                vm: target.member.vm.clone(),
                address: target.member.address,
                probe: false,
            }),
        }
    }

    fn send_started(&mut self, picked: &PickedTarget) {
        if let Some(target) = self.find_mut(&picked.vm) {
            target.outstanding += 1;
        }
    }

    fn send_finished(
        &mut self,
        picked: PickedTarget,
        _now: MonotonicMillis,
        _outcome: SendOutcome,
    ) {
        if let Some(target) = self.find_mut(&picked.vm) {
            target.outstanding -= 1;
        }
    }
}
