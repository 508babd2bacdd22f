//! The number of requests that the other daemons have outstanding at each VM.

use vanillafold_types::{DaemonId, Slots, VmId};
use vanillafold_wire::LoadReport;

/// The loads that the peers have reported, sorted by VM and then by peer.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    loads: Vec<PeerLoad>,
}

#[derive(Debug)]
struct PeerLoad {
    vm: VmId,
    peer: DaemonId,
    outstanding: u32,
}

/// The number of requests that all peers together have outstanding at a VM.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct VmLoad {
    pub(crate) vm: VmId,
    pub(crate) outstanding: Slots,
}

impl PeerLoads {
    /// Merges a peer's report; returns the new sum for each VM in it.
    pub(crate) fn merge(&mut self, peer: &DaemonId, report: LoadReport) -> Vec<VmLoad> {
        let mut changed = Vec::with_capacity(report.entries.len());
        for entry in report.entries {
            self.set(peer, &entry.vm, entry.outstanding);
            changed.push(self.sum(&entry.vm));
        }
        changed
    }

    /// Removes the loads of a silent peer; returns the new sum for each VM that it had reported.
    pub(crate) fn forget(&mut self, peer: &DaemonId) -> Vec<VmLoad> {
        let vms: Vec<VmId> = self
            .loads
            .iter()
            .filter(|load| load.peer == *peer)
            .map(|load| load.vm.clone())
            .collect();
        self.loads.retain(|load| load.peer != *peer);
        vms.iter().map(|vm| self.sum(vm)).collect()
    }

    fn set(&mut self, peer: &DaemonId, vm: &VmId, outstanding: u32) {
        let found = self
            .loads
            .binary_search_by(|load| load.vm.cmp(vm).then_with(|| load.peer.cmp(peer)));
        match (found, outstanding) {
            (Ok(index), 0) => drop(self.loads.remove(index)),
            (Ok(index), _) => self.loads[index].outstanding = outstanding,
            (Err(_), 0) => {}
            (Err(index), _) => {
                let load = PeerLoad {
                    vm: vm.clone(),
                    peer: peer.clone(),
                    outstanding,
                };
                self.loads.insert(index, load);
            }
        }
    }

    fn sum(&self, vm: &VmId) -> VmLoad {
        let first = self.loads.partition_point(|load| load.vm < *vm);
        let sum = self.loads[first..]
            .iter()
            .take_while(|load| load.vm == *vm)
            .map(|load| load.outstanding)
            .sum();
        VmLoad {
            vm: vm.clone(),
            outstanding: Slots::new(sum),
        }
    }
}
