//! The target with the fewest outstanding sends.

use vanillafold_types::{Millis, Slots, VmId};

use super::Route;
use crate::{
    Member, MemberState, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome,
    SplitMix,
};

/// When a full baseline looks again.
const RECHECK: Millis = Millis::new(50);

/// Baseline: of all live targets, the one where this daemon has the fewest outstanding sends.
#[derive(Debug)]
pub struct LeastOutstanding {
    slots_per_vm: Slots,
    // Sorted by VM.
    targets: Vec<Counted>,
}

/// A target with its outstanding sends.
#[derive(Debug)]
struct Counted {
    member: Member,
    outstanding: u32,
}

impl LeastOutstanding {
    /// No more than `slots_per_vm` are sent to one target at a time.
    #[must_use]
    pub const fn new(slots_per_vm: Slots) -> Self {
        Self {
            slots_per_vm,
            targets: Vec::new(),
        }
    }

    fn find_mut(&mut self, vm: &VmId) -> Option<&mut Counted> {
        let position = self
            .targets
            .binary_search_by(|target| target.member.vm.cmp(vm));
        position.ok().map(|index| &mut self.targets[index])
    }
}

impl Route for LeastOutstanding {
    fn set_members(&mut self, members: Vec<Member>) {
        let mut targets: Vec<Counted> = members
            .into_iter()
            .map(|member| Counted {
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
                    recheck_after_ms: RECHECK,
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
