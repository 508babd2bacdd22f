//! The VMs' true state, and the VM list, which may lag behind it.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use vanillafold_types::{VmId, ZoneId};
use vanillafold_wire::platform::{ParseVmEntryError, VmEntry, VmState};

/// The true state of a VM.
#[derive(Debug, Clone)]
pub(crate) struct Vm {
    pub(crate) entry: VmEntry,
    /// Where the VM's runner takes control requests, if not at the VM's own address.
    pub(crate) control: Option<SocketAddr>,
    pub(crate) is_rebooting: bool,
}

impl Vm {
    /// Parses a line `id zone rack pool address state [control]`.
    pub(crate) fn parse(line: &str) -> Result<Self, ParseVmEntryError> {
        let (entry, control) = match line.rsplit_once(' ') {
            Some((entry, last)) => match last.parse() {
                Ok(control) => (entry, Some(control)),
                Err(_) => (line, None),
            },
            None => (line, None),
        };
        Ok(Self {
            entry: entry.parse()?,
            control,
            is_rebooting: false,
        })
    }
}

/// A change of a VM that is not in the list yet.
#[derive(Debug)]
struct Change {
    at: Instant,
    version: u64,
    entry: VmEntry,
}

/// A VM as the list shows it, and the version in which it last changed there.
#[derive(Debug)]
struct ListedVm {
    version: u64,
    entry: VmEntry,
}

/// All VMs, sorted by id: their true state, pending changes, and the list.
#[derive(Debug, Default)]
pub(crate) struct VmTable {
    vms: Vec<Vm>,
    version: u64,
    pending: VecDeque<Change>,
    listed: Vec<ListedVm>,
    listed_version: u64,
}

impl VmTable {
    pub(crate) fn get_mut(&mut self, id: &VmId) -> Option<&mut Vm> {
        let index = self.vms.binary_search_by(|vm| vm.entry.vm.cmp(id)).ok()?;
        self.vms.get_mut(index)
    }

    /// Adds a VM, or replaces the one with the same id.
    pub(crate) fn insert_or_replace(&mut self, vm: Vm, now: Instant) {
        let found = self
            .vms
            .binary_search_by(|known| known.entry.vm.cmp(&vm.entry.vm));
        self.record_change(vm.entry.clone(), now);
        match found {
            Ok(index) => self.vms[index] = vm,
            Err(index) => self.vms.insert(index, vm),
        }
    }

    /// Changes the state of a VM, if there is one of this id.
    pub(crate) fn set_state(&mut self, id: &VmId, state: VmState, now: Instant) {
        let Some(vm) = self.get_mut(id) else { return };
        vm.entry.state = state;
        let entry = vm.entry.clone();
        self.record_change(entry, now);
    }

    /// Returns the version of the list and the lines of the VMs that changed after `since_version`,
    /// of one zone if one is given.
    pub(crate) fn list(
        &mut self,
        zone: Option<&ZoneId>,
        since_version: u64,
        lag: Duration,
        now: Instant,
    ) -> (u64, String) {
        self.publish_changes(lag, now);
        let mut lines = String::new();
        let changed = self
            .listed
            .iter()
            .filter(|listed| listed.version > since_version)
            .filter(|listed| zone.is_none_or(|zone| listed.entry.zone == *zone));
        for listed in changed {
            // Writing to memory can't fail.
            let _ = writeln!(lines, "{}", listed.entry);
        }
        (self.listed_version, lines)
    }

    fn record_change(&mut self, entry: VmEntry, at: Instant) {
        self.version += 1;
        let version = self.version;
        self.pending.push_back(Change { at, version, entry });
    }

    /// Moves the pending changes that are at least `lag` old into the list. A listed change stays
    /// listed even if the lag grows.
    fn publish_changes(&mut self, lag: Duration, now: Instant) {
        let due_count = self
            .pending
            .partition_point(|change| change.at + lag <= now);
        for Change { version, entry, .. } in self.pending.drain(..due_count) {
            let found = self
                .listed
                .binary_search_by(|listed| listed.entry.vm.cmp(&entry.vm));
            let listed_vm = ListedVm { version, entry };
            match found {
                Ok(index) => self.listed[index] = listed_vm,
                Err(index) => self.listed.insert(index, listed_vm),
            }
            self.listed_version = version;
        }
    }
}
