//! The VMs that the platform's list has shown.

use vanillafold_state::State;
use vanillafold_types::VmId;
use vanillafold_wire::platform::{ListVersion, VmChanges, VmEntry, VmState};

use vanillafold_policy::{Member, MemberState};
use vanillafold_types::PoolId;

/// VMs by name, sorted, and how far each part of the list was read.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    vms: Vec<VmEntry>,
}

/// Pools whose members may have changed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum TouchedPools {
    /// Any of them.
    All,
    /// These, sorted.
    Some(Vec<PoolId>),
}

impl TouchedPools {
    /// Whether `pool` is one of them.
    pub(crate) fn contains(&self, pool: &PoolId) -> bool {
        match self {
            Self::All => true,
            Self::Some(pools) => pools.binary_search(pool).is_ok(),
        }
    }

    /// Whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        matches!(self, Self::Some(pools) if pools.is_empty())
    }
}

/// The members of one pool, sorted by VM.
#[derive(Debug)]
pub(crate) struct PoolMembers {
    pub(crate) pool: PoolId,
    pub(crate) members: Vec<Member>,
}

impl Inventory {
    /// Whether no VM is known.
    pub(crate) const fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// The VMs behind `vm`, or all, by name.
    pub(crate) fn after(&self, vm: Option<&VmId>) -> impl Iterator<Item = &VmEntry> {
        let first = vm.map_or(0, |vm| self.vms.partition_point(|known| known.vm <= *vm));
        self.vms[first..].iter()
    }

    /// Takes over a peer's VMs, until the platform's whole list is read.
    pub(crate) fn take_over(&mut self, mut vms: Vec<VmEntry>) {
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        vms.dedup_by(|a, b| a.vm == b.vm);
        self.vms = vms;
    }

    /// Forgets what peers gave, because the platform's whole list comes.
    pub(crate) fn begin_anew(&mut self) {
        self.vms.clear();
    }

    /// Takes in what changed; says whose members that may change. A VM that is listed again as it
    /// was touches none: the own zone's changes come once more with those of all zones.
    pub(crate) fn merge(
        &mut self,
        since: ListVersion,
        changes: VmChanges,
        state: &State,
    ) -> TouchedPools {
        // A list that begins again, as after a restart of the platform, is taken as it is.
        let restarted = changes.version < since;
        if restarted {
            self.vms.clear();
        }
        let mut touched = Vec::new();
        for vm in changes.vms {
            let found = self.find(&vm.vm);
            match found {
                Ok(index) if self.vms[index] == vm => continue,
                Err(_) if vm.state == VmState::Gone => continue,
                Ok(index) => touched.push(pool_of(&self.vms[index], state).clone()),
                Err(_) => {}
            }
            touched.push(pool_of(&vm, state).clone());
            match found {
                Ok(index) if vm.state == VmState::Gone => drop(self.vms.remove(index)),
                Ok(index) => self.vms[index] = vm,
                Err(index) => self.vms.insert(index, vm),
            }
        }
        if restarted {
            return TouchedPools::All;
        }
        touched.sort_unstable();
        touched.dedup();
        TouchedPools::Some(touched)
    }

    /// The members of the `touched` pools that have any, sorted by pool: their home VMs and those
    /// moved to them, less those moved away.
    pub(crate) fn members(&self, touched: &TouchedPools, state: &State) -> Vec<PoolMembers> {
        let mut vms: Vec<(&PoolId, &VmEntry)> = self
            .vms
            .iter()
            .map(|vm| (pool_of(vm, state), vm))
            .filter(|(pool, _)| touched.contains(pool))
            .collect();
        // Stable, so that the members of a pool stay sorted by VM.
        vms.sort_by_key(|(pool, _)| *pool);
        vms.chunk_by(|left, right| left.0 == right.0)
            .map(|vms| PoolMembers {
                pool: vms[0].0.clone(),
                members: vms.iter().map(|(_, vm)| member(vm)).collect(),
            })
            .collect()
    }

    /// The pool of a VM that the list has shown.
    pub(crate) fn pool_of<'a>(&'a self, vm: &VmId, state: &'a State) -> Option<&'a PoolId> {
        let index = self.find(vm).ok()?;
        Some(pool_of(&self.vms[index], state))
    }

    fn find(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|entry| entry.vm.cmp(vm))
    }
}

fn pool_of<'a>(vm: &'a VmEntry, state: &'a State) -> &'a PoolId {
    match state.membership(&vm.vm) {
        Some(membership) => &membership.pool,
        None => &vm.home_pool,
    }
}

fn member(vm: &VmEntry) -> Member {
    Member {
        vm: vm.vm.clone(),
        address: vm.address,
        zone: vm.zone.clone(),
        state: match vm.state {
            VmState::Live => MemberState::Live,
            VmState::Leaving | VmState::Gone => MemberState::Leaving,
        },
    }
}
