//! The VMs in the platform's list.

use vanillafold_state::State;
use vanillafold_types::{VmId, ZoneId};
use vanillafold_wire::platform::{ListVersion, VmChanges, VmEntry, VmState};

use vanillafold_policy::{Member, MemberState};
use vanillafold_types::PoolId;

/// The VMs in the platform's list, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    vms: Vec<VmEntry>,
}

/// Pools whose members may have changed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum TouchedPools {
    /// Any pool.
    All,
    /// These pools, sorted.
    Some(Vec<PoolId>),
}

impl TouchedPools {
    /// Returns whether `pool` is one of the touched pools.
    pub(crate) fn contains(&self, pool: &PoolId) -> bool {
        match self {
            Self::All => true,
            Self::Some(pools) => pools.binary_search(pool).is_ok(),
        }
    }

    /// Returns whether no pool is touched.
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
    /// Returns whether no VM is known.
    pub(crate) const fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Returns the VMs whose names follow `vm`, or all if it is `None`, sorted by name.
    pub(crate) fn after(&self, vm: Option<&VmId>) -> impl Iterator<Item = &VmEntry> {
        let first = vm.map_or(0, |vm| self.vms.partition_point(|known| known.vm <= *vm));
        self.vms[first..].iter()
    }

    /// Replaces the list by a peer's, which serves until the platform's whole list is read.
    pub(crate) fn replace_from_peer(&mut self, mut vms: Vec<VmEntry>) {
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        vms.dedup_by(|a, b| a.vm == b.vm);
        self.vms = vms;
    }

    /// Removes all VMs. Called before the platform's whole list is merged, because a peer's list
    /// may hold VMs that are gone.
    pub(crate) fn clear(&mut self) {
        self.vms.clear();
    }

    /// Merges changes of the list; returns the pools whose members may change. A VM that is listed
    /// again unchanged touches no pool: changes in this daemon's zone are read twice, with the
    /// zone's list and with that of all zones.
    pub(crate) fn merge(
        &mut self,
        since: ListVersion,
        changes: VmChanges,
        state: &State,
    ) -> TouchedPools {
        // A lower version means that the list has begun anew, for example after a restart of the
        // platform; it then replaces everything.
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

    /// Returns the members of the `touched` pools that have any, sorted by pool: their home VMs and
    /// the VMs moved to them, without those moved away.
    pub(crate) fn members(&self, touched: &TouchedPools, state: &State) -> Vec<PoolMembers> {
        let mut vms: Vec<(&PoolId, &VmEntry)> = self
            .vms
            .iter()
            .map(|vm| (pool_of(vm, state), vm))
            .filter(|(pool, _)| touched.contains(pool))
            .collect();
        // The sort is stable, so the members of a pool stay sorted by VM.
        vms.sort_by_key(|(pool, _)| *pool);
        vms.chunk_by(|left, right| left.0 == right.0)
            .map(|vms| PoolMembers {
                pool: vms[0].0.clone(),
                members: vms.iter().map(|(_, vm)| member(vm)).collect(),
            })
            .collect()
    }

    /// Returns the number of VMs in a zone.
    pub(crate) fn count_in(&self, zone: &ZoneId) -> usize {
        self.vms.iter().filter(|vm| vm.zone == *zone).count()
    }

    /// Returns the present pool of a VM; `None` if the list does not have it.
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
