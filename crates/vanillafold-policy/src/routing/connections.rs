//! Split of a VM's connections between daemons, without communication on the request path.
//!
//! Every daemon computes the same split from the same list of daemons. Daemons in the VM's zone
//! come first, because targets in a daemon's own zone are used first; daemons in other zones share
//! the rest. Where there are fewer connections than daemons, rendezvous hashing (Thaler,
//! Ravishankar: Using name-based mappings to increase hit rates, 1998) chooses the daemons that get
//! one.
//!
//! While daemons see lists that differ by `d` daemons, at most `d` more daemons than planned open
//! connections to one VM.

use vanillafold_types::{Connections, DaemonId, VmId, ZoneId};

use super::{DaemonMember, TargetLimits};
use crate::random::{hash_text, mix};

/// Returns how many connections each of `daemons` may open to one VM: an equal share, at least 1.
///
/// The sum over all daemons is at most `connections_per_vm` if there are no more daemons than
/// connections; beyond that, [`is_assigned`] limits which daemons may open one.
#[must_use]
pub fn connection_share(connections_per_vm: Connections, daemons: usize) -> Connections {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    Connections::new((connections_per_vm.get() / daemons).max(1))
}

/// Returns whether `daemon` is one of the `fan_in` daemons that rendezvous hashing chooses for
/// `vm`.
///
/// Exactly `fan_in` of `daemons` are assigned to a VM (all if there are fewer). Adding a daemon to
/// the list or removing one changes the assignment of at most one of the others.
#[must_use]
pub fn is_assigned<'a>(
    daemon: &DaemonId,
    vm: &VmId,
    daemons: impl IntoIterator<Item = &'a DaemonId>,
    fan_in: usize,
) -> bool {
    let vm_hash = hash_text(vm.as_str());
    let own = rank(daemon, vm_hash);
    let ranked_higher = daemons
        .into_iter()
        .filter(|other| *other != daemon && rank(other, vm_hash) > own)
        .count();
    ranked_higher < fan_in
}

/// Returns how many connections `own` may open to `vm`, 0 if it is not assigned to `vm`.
///
/// The sum over `daemons` is at most `limits.connections_per_vm` if all use the same list. A
/// daemon gets no more connections than the VM has slots, because each connection carries one
/// request at a time.
#[must_use]
pub fn connections_allowed(
    own: &DaemonMember,
    vm: &VmId,
    zone: &ZoneId,
    daemons: &[DaemonMember],
    limits: TargetLimits,
) -> Connections {
    let same_zone = || daemons.iter().filter(|member| member.zone == *zone);
    let other_zones = || daemons.iter().filter(|member| member.zone != *zone);
    let (same_zone_count, other_zones_count) = (same_zone().count(), other_zones().count());
    let total = limits.connections_per_vm.get();
    let same_zone_part = match other_zones_count {
        0 => total,
        _ => total.div_ceil(2),
    };
    let same_zone_split = Split::new(same_zone_part, same_zone_count, limits);
    let other_zones_split = Split::new(total - same_zone_split.sum(), other_zones_count, limits);
    let (split, assigned) = if own.zone == *zone {
        let ids = same_zone().map(|member| &member.daemon);
        (
            &same_zone_split,
            is_assigned(&own.daemon, vm, ids, same_zone_split.fan_in),
        )
    } else {
        let ids = other_zones().map(|member| &member.daemon);
        (
            &other_zones_split,
            is_assigned(&own.daemon, vm, ids, other_zones_split.fan_in),
        )
    };
    match assigned {
        true => Connections::new(split.per_daemon),
        false => Connections::ZERO,
    }
}

/// An equal split of some connections of one VM between some daemons.
struct Split {
    per_daemon: u32,
    fan_in: usize,
}

impl Split {
    fn new(connections: u32, daemons: usize, limits: TargetLimits) -> Self {
        let share = connection_share(Connections::new(connections), daemons).get();
        let per_daemon = share.min(limits.slots_per_vm.get().max(1));
        Self {
            per_daemon,
            fan_in: daemons.min((connections / per_daemon) as usize),
        }
    }

    fn sum(&self) -> u32 {
        u32::try_from(self.fan_in).unwrap_or(u32::MAX) * self.per_daemon
    }
}

/// Returns the rendezvous rank of a daemon for a VM. The id breaks ties, so that no two daemons
/// have the same rank.
fn rank(daemon: &DaemonId, vm_hash: u64) -> (u64, &DaemonId) {
    (mix(hash_text(daemon.as_str()) ^ vm_hash), daemon)
}
