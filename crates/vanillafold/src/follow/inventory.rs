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

    /// Takes in what changed; says whether anything did.
    pub(crate) fn merge(&mut self, since: ListVersion, changes: VmChanges) -> bool {
        // A list that begins again, as after a restart of the platform, is taken as it is.
        let restarted = changes.version < since;
        if restarted {
            self.vms.clear();
        }
        let changed = restarted || !changes.vms.is_empty();
        for vm in changes.vms {
            match (self.find(&vm.vm), vm.state) {
                (Ok(index), VmState::Gone) => drop(self.vms.remove(index)),
                (Err(_), VmState::Gone) => {}
                (Ok(index), _) => self.vms[index] = vm,
                (Err(index), _) => self.vms.insert(index, vm),
            }
        }
        changed
    }

    /// The members of `pool`, sorted by VM: its home VMs and those moved to it, less those
    /// moved away.
    pub(crate) fn members(&self, pool: &PoolId, state: &State) -> Vec<Member> {
        self.vms
            .iter()
            .filter(|vm| state.pool_of(&vm.vm, &vm.home_pool) == *pool)
            .map(member)
            .collect()
    }

    fn find(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|entry| entry.vm.cmp(vm))
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
