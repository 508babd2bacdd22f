//! The size and the unavailable VMs of each pool over time.

use super::rows::{PoolSizeRow, VmRow, VmState};
use super::{Name, NameMap, Recording, Timeline};

/// A change of a pool's size, budget or VMs.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PoolChange {
    /// The pool's size or budget changed.
    Size(PoolSizeRow),
    /// A VM of the pool became available or unavailable.
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

/// Returns all changes of pools in order of time; at the same time, sizes come first.
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

/// The state of a pool at one time.
#[derive(Debug, Default)]
pub(crate) struct PoolState {
    pub(crate) size: Option<PoolSizeRow>,
    /// The minimum number of VMs that must be available, over time.
    pub(crate) min_available: Timeline<u32>,
    down: NameMap<VmOutage>,
}

#[derive(Debug, Default)]
struct VmOutage {
    planned: bool,
}

impl PoolState {
    /// Returns the number of available VMs; `None` while the pool's size is unknown.
    pub(crate) fn available(&self) -> Option<u32> {
        let down = u32::try_from(self.down.len()).unwrap_or(u32::MAX);
        self.size.map(|size| size.vms.saturating_sub(down))
    }

    /// Returns whether a VM is unavailable for planned maintenance.
    pub(crate) fn in_maintenance(&self) -> bool {
        self.down.iter().any(|(_, outage)| outage.planned)
    }

    fn resize(&mut self, row: &PoolSizeRow) {
        self.size = Some(*row);
        self.min_available.push(row.at_us, row.min_available);
    }
}

impl NameMap<PoolState> {
    /// Applies a change to the pool that it belongs to.
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

    /// Marks a VM as available in every pool, as a VM that moved comes up in another pool than the
    /// one in which it went down.
    fn mark_up(&mut self, vm: Name) {
        self.values_mut().for_each(|pool| pool.down.remove(vm));
    }
}
