//! How many VMs of each pool are available.

use super::rows::{PoolSizeRow, VmRow, VmState};
use super::{Name, NameMap, Recording, Timeline};

/// A change of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PoolChange {
    /// Its size or budget.
    Size(PoolSizeRow),
    /// One of its VMs.
    Vm(VmRow),
}

impl PoolChange {
    pub(crate) fn at_us(&self) -> u64 {
        match self {
            Self::Size(row) => row.at_us,
            Self::Vm(row) => row.at_us,
        }
    }

    pub(crate) fn pool(&self) -> Name {
        match self {
            Self::Size(row) => row.pool,
            Self::Vm(row) => row.pool,
        }
    }
}

/// All changes of pools, in the order of time; at one time sizes come first.
pub(crate) fn pool_changes(recording: &Recording) -> Vec<PoolChange> {
    let sizes = recording
        .rows
        .pool_sizes
        .iter()
        .copied()
        .map(PoolChange::Size);
    let vms = recording.rows.vms.iter().copied().map(PoolChange::Vm);
    let mut changes: Vec<PoolChange> = sizes.chain(vms).collect();
    changes.sort_by_key(PoolChange::at_us);
    changes
}

/// A pool at one time.
#[derive(Debug, Default)]
pub(crate) struct PoolState {
    pub(crate) size: Option<PoolSizeRow>,
    /// The fewest VMs that must be available, over time.
    pub(crate) min_available: Timeline<u32>,
    down: NameMap<VmOutage>,
}

#[derive(Debug, Default)]
struct VmOutage {
    planned: bool,
}

impl PoolState {
    /// How many VMs are available; none while the pool's size is not known.
    pub(crate) fn available(&self) -> Option<u32> {
        let down = u32::try_from(self.down.len()).unwrap_or(u32::MAX);
        self.size.map(|size| size.vms.saturating_sub(down))
    }

    /// Whether planned maintenance of a VM is under way.
    pub(crate) fn in_maintenance(&self) -> bool {
        self.down.iter().any(|(_, outage)| outage.planned)
    }

    fn resize(&mut self, row: &PoolSizeRow) {
        self.size = Some(*row);
        self.min_available.push(row.at_us, row.min_available);
    }
}

impl NameMap<PoolState> {
    /// Takes a change.
    pub(crate) fn apply(&mut self, change: &PoolChange) {
        match change {
            PoolChange::Size(row) => self.entry(row.pool).resize(row),
            PoolChange::Vm(row) if row.state == VmState::Up => self.mark_up(row.vm),
            PoolChange::Vm(row) => {
                let outage = self.entry(row.pool).down.entry(row.vm);
                outage.planned |= row.state == VmState::DownPlanned;
            }
        }
    }

    /// A VM that moved comes up in another pool than the one it went down in.
    fn mark_up(&mut self, vm: Name) {
        self.values_mut().for_each(|pool| pool.down.remove(vm));
    }
}
