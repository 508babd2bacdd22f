//! Which VMs change their pool.

/// What a pool needs and has.
#[derive(Debug, Clone, Copy)]
pub struct PoolDemand {
    /// Running and waiting work that has to run soon, in thousandths of a core.
    pub demand_cpu_millis: u64,
    /// What its VMs have, those on their way to it included, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// It is the spare pool, whose VMs cost nothing.
    pub spare: bool,
    /// Work has come to it, so that its needs are known.
    pub demand_known: bool,
}

/// A VM that could leave its pool now without ending any work.
#[derive(Debug, Clone, Copy)]
pub struct MovableVm {
    /// Its pool, as an index.
    pub pool: usize,
    /// What it has, in thousandths of a core.
    pub cpu_millis: u64,
    /// How long it has had nothing to do, in milliseconds.
    pub idle_ms: u64,
}

/// A move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmMove {
    /// Which of the VMs, as an index.
    pub vm: usize,
    /// The pool that it goes to, as an index.
    pub to_pool: usize,
}

/// A pool gets a VM when what it wants exceeds what it has by this share, in percent.
const SHORT_PERCENT: u64 = 100;
/// A pool keeps this much above what it wants, in percent.
const KEEP_PERCENT: u64 = 115;
/// A VM goes to the spare pool after it has been idle for this long, in milliseconds: a move there
/// and back costs about as much as two seconds in a pool, and bursts are shorter than lulls.
const SHED_AFTER_IDLE_MS: u64 = 500;

/// Plans moves: VMs of the spare pool and idle VMs of other pools go to pools that are short, and
/// VMs that nobody needs go to the spare pool.
///
/// Answers queues that ask by turns for about twice their pool while the fleet as a whole is half
/// idle. A VM that has work stays, and so does that of a pool to which no work has come yet.
#[must_use]
pub fn plan_moves(pools: &[PoolDemand], vms: &[MovableVm]) -> Vec<VmMove> {
    let mut has: Vec<u64> = pools.iter().map(|pool| pool.capacity_cpu_millis).collect();
    let mut taken = vec![false; vms.len()];
    let mut moves = Vec::new();
    let short = |has: &[u64], pool: usize| {
        let wanted = pools[pool].demand_cpu_millis;
        !pools[pool].spare && wanted * 100 > has[pool] * SHORT_PERCENT
    };
    let keeps = |has: &[u64], vm: &MovableVm| {
        let left = has[vm.pool].saturating_sub(vm.cpu_millis);
        pools[vm.pool].spare || left * 100 >= pools[vm.pool].demand_cpu_millis * KEEP_PERCENT
    };
    loop {
        let worst = (0..pools.len())
            .filter(|pool| short(&has, *pool))
            .max_by_key(|pool| pools[*pool].demand_cpu_millis.saturating_sub(has[*pool]));
        let Some(to) = worst else { break };
        let giver = (0..vms.len())
            .filter(|at| !taken[*at] && vms[*at].pool != to && keeps(&has, &vms[*at]))
            .max_by_key(|at| (pools[vms[*at].pool].spare, vms[*at].idle_ms));
        let Some(vm) = giver else { break };
        taken[vm] = true;
        has[vms[vm].pool] = has[vms[vm].pool].saturating_sub(vms[vm].cpu_millis);
        has[to] += vms[vm].cpu_millis;
        moves.push(VmMove { vm, to_pool: to });
    }
    let spare = pools.iter().position(|pool| pool.spare);
    let Some(spare) = spare else {
        return moves;
    };
    for (at, vm) in vms.iter().enumerate() {
        let idle = vm.pool != spare && vm.idle_ms >= SHED_AFTER_IDLE_MS;
        let idle = idle && pools[vm.pool].demand_known;
        if idle && !taken[at] && keeps(&has, vm) {
            has[vm.pool] -= vm.cpu_millis;
            moves.push(VmMove {
                vm: at,
                to_pool: spare,
            });
        }
    }
    moves
}
