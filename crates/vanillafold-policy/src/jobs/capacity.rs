//! Capacity planning: which VMs move between pools.

/// The demand and the capacity of one pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolDemand {
    /// Running work and waiting work that has to run soon, in thousandths of a core.
    pub demand_cpu_millis: u64,
    /// Capacity of the pool's VMs, including VMs that are moving to it, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// Whether this is the spare pool, whose VMs cost nothing.
    pub spare: bool,
    /// Whether the pool has had work, so that its demand is known.
    pub demand_known: bool,
}

/// A VM that can leave its pool now without ending any work.
#[derive(Debug, Clone, Copy)]
pub struct MovableVm {
    /// Index of its pool among the pools given to [`plan_moves`].
    pub pool: usize,
    /// Its capacity, in thousandths of a core.
    pub cpu_millis: u64,
    /// How long it has been idle, in milliseconds.
    pub idle_ms: u64,
    /// Whether its zone is being evacuated. It is not part of its pool's capacity and may only go to
    /// the spare pool.
    pub evacuated: bool,
}

/// A move of one VM to another pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmMove {
    /// Index of the VM among the VMs given to [`plan_moves`].
    pub vm: usize,
    /// Index of the destination among the pools given to [`plan_moves`].
    pub to_pool: usize,
}

/// A pool is short of capacity when its demand exceeds this percentage of its capacity.
const SHORTAGE_PERCENT: u64 = 100;
/// A pool releases a VM only if its remaining capacity is at least this percentage of its demand.
const RETAIN_PERCENT: u64 = 115;
/// Idle time after which a VM moves to the spare pool, in milliseconds.
///
/// A move there and back costs about as much as two seconds in a pool, and bursts of work are
/// shorter than the pauses between them.
const RELEASE_AFTER_IDLE_MS: u64 = 500;

/// Returns a number of hundredths of an amount, for comparisons.
fn percent(amount: u64, percent: u64) -> u128 {
    u128::from(amount) * u128::from(percent)
}

/// Returns the VM moves that bring capacity to the pools that are short of it, at most `limit`.
///
/// VMs of the spare pool go first, then idle VMs of other pools, the longest idle first. VMs that
/// no pool needs go to the spare pool.
///
/// The plan suits queues that in turn ask for about twice the capacity of their pool while the
/// fleet as a whole is half idle. A VM that has work stays in its pool, and a pool that has had no
/// work yet sends none of its VMs to the spare pool. VMs of an evacuated zone serve no pool: they go
/// to the spare pool once they are idle.
#[must_use]
pub fn plan_moves(pools: &[PoolDemand], vms: &[MovableVm], limit: usize) -> Vec<VmMove> {
    let mut capacity: Vec<u64> = pools.iter().map(|pool| pool.capacity_cpu_millis).collect();
    let mut moves = Vec::new();
    let is_short = |capacity: &[u64], pool: usize| {
        let demand = pools[pool].demand_cpu_millis;
        !pools[pool].spare && percent(demand, 100) > percent(capacity[pool], SHORTAGE_PERCENT)
    };
    let can_release = |capacity: &[u64], vm: &MovableVm| {
        let remaining = capacity[vm.pool].saturating_sub(vm.cpu_millis);
        let demand = pools[vm.pool].demand_cpu_millis;
        pools[vm.pool].spare
            || vm.evacuated
            || percent(remaining, 100) >= percent(demand, RETAIN_PERCENT)
    };
    // The preferred donor comes last, so that it is found and removed at little cost.
    let mut donors: Vec<usize> = (0..vms.len())
        .filter(|index| !vms[*index].evacuated)
        .collect();
    donors.sort_by_key(|index| (pools[vms[*index].pool].spare, vms[*index].idle_ms));
    while moves.len() < limit {
        let neediest = (0..pools.len())
            .filter(|pool| is_short(&capacity, *pool))
            .max_by_key(|pool| {
                pools[*pool]
                    .demand_cpu_millis
                    .saturating_sub(capacity[*pool])
            });
        let Some(to) = neediest else { break };
        let donor = donors
            .iter()
            .rposition(|index| vms[*index].pool != to && can_release(&capacity, &vms[*index]));
        let Some(position) = donor else { break };
        let vm = donors.remove(position);
        capacity[vms[vm].pool] = capacity[vms[vm].pool].saturating_sub(vms[vm].cpu_millis);
        capacity[to] = capacity[to].saturating_add(vms[vm].cpu_millis);
        moves.push(VmMove { vm, to_pool: to });
    }
    let Some(spare) = pools.iter().position(|pool| pool.spare) else {
        return moves;
    };
    donors.extend((0..vms.len()).filter(|index| vms[*index].evacuated));
    donors.sort_unstable();
    for index in donors {
        let vm = &vms[index];
        let idle = vm.pool != spare && vm.idle_ms >= RELEASE_AFTER_IDLE_MS;
        let idle = idle && pools[vm.pool].demand_known;
        if moves.len() < limit && idle && can_release(&capacity, vm) {
            if !vm.evacuated {
                capacity[vm.pool] = capacity[vm.pool].saturating_sub(vm.cpu_millis);
            }
            moves.push(VmMove {
                vm: index,
                to_pool: spare,
            });
        }
    }
    moves
}
