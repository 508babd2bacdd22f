//! How the connections of a VM are split between daemons with no word on the request path.
//!
//! Every daemon computes the same split from the same list of daemons. Daemons of the VM's own
//! zone come first, because own-zone targets are used first; the rest is shared by the far ones.
//! Where there are fewer connections than far daemons, rendezvous hashing (Thaler, Ravishankar:
//! Using name-based mappings to increase hit rates, 1998) chooses who has one.
//!
//! While two daemons see lists that differ by `d` daemons, at most `d` daemons more than planned
//! reach one VM.

use vanillafold_types::{Connections, DaemonId, VmId, ZoneId};

use super::{DaemonMember, TargetLimits};
use crate::random::{hash_text, mix};

/// The connections that each of `daemons` may open to one VM: an equal share, at least 1.
///
/// The sum over all daemons is at most `connections_per_vm` if there are no more daemons than
/// connections; beyond that, [`is_assigned`] bounds who may open one.
#[must_use]
pub fn connection_share(connections_per_vm: Connections, daemons: usize) -> Connections {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    Connections::new((connections_per_vm.get() / daemons).max(1))
}

/// Whether `daemon` is one of the `fan_in` daemons that rendezvous hashing chooses for `vm`.
///
/// Exactly `fan_in` daemons of `daemons` reach a VM (all if there are fewer), and one more or
/// less in the list changes the choice for at most one of them.
#[must_use]
pub fn is_assigned<'a>(
    daemon: &DaemonId,
    vm: &VmId,
    daemons: impl IntoIterator<Item = &'a DaemonId>,
    fan_in: usize,
) -> bool {
    let vm_hash = hash_text(vm.as_str());
    let own = rank(daemon, vm_hash);
    let ahead = daemons
        .into_iter()
        .filter(|other| *other != daemon && rank(other, vm_hash) > own)
        .count();
    ahead < fan_in
}

/// The connections that `own` may open to `vm`, 0 if it has none.
///
/// The sum over `daemons` is at most `limits.connections_per_vm` if all use the same list. A
/// daemon gets no more connections than the VM has slots: each carries one request at a time.
#[must_use]
pub fn connections_allowed(
    own: &DaemonMember,
    vm: &VmId,
    zone: &ZoneId,
    daemons: &[DaemonMember],
    limits: TargetLimits,
) -> Connections {
    let near = || daemons.iter().filter(|member| member.zone == *zone);
    let far = || daemons.iter().filter(|member| member.zone != *zone);
    let (near_count, far_count) = (near().count(), far().count());
    let all = limits.connections_per_vm.get();
    let near_part = match far_count {
        0 => all,
        _ => all.div_ceil(2),
    };
    let near_split = Split::new(near_part, near_count, limits);
    let far_split = Split::new(all - near_split.sum(), far_count, limits);
    let (split, reached) = if own.zone == *zone {
        let ids = near().map(|member| &member.daemon);
        (
            &near_split,
            is_assigned(&own.daemon, vm, ids, near_split.fan_in),
        )
    } else {
        let ids = far().map(|member| &member.daemon);
        (
            &far_split,
            is_assigned(&own.daemon, vm, ids, far_split.fan_in),
        )
    };
    match reached {
        true => Connections::new(split.each),
        false => Connections::ZERO,
    }
}

/// Connections of one VM split between some daemons.
struct Split {
    each: u32,
    fan_in: usize,
}

impl Split {
    fn new(connections: u32, daemons: usize, limits: TargetLimits) -> Self {
        let share = connection_share(Connections::new(connections), daemons).get();
        let each = share.min(limits.slots_per_vm.get().max(1));
        Self {
            each,
            fan_in: daemons.min((connections / each) as usize),
        }
    }

    fn sum(&self) -> u32 {
        u32::try_from(self.fan_in).unwrap_or(u32::MAX) * self.each
    }
}

/// The name breaks ties, so that no two daemons have the same rank.
fn rank(daemon: &DaemonId, vm_hash: u64) -> (u64, &DaemonId) {
    (mix(hash_text(daemon.as_str()) ^ vm_hash), daemon)
}
