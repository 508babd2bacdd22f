//! The VMs: what is true now, and what the lagging list shows of it.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use vanillafold_types::{VmId, ZoneId};
use vanillafold_wire::platform::{ParseVmEntryError, VmEntry, VmState};

/// A VM as it is.
#[derive(Debug, Clone)]
pub(crate) struct Vm {
    pub(crate) entry: VmEntry,
    /// Where its runner takes controls, if not at its own address.
    pub(crate) control: Option<SocketAddr>,
    pub(crate) reboots: bool,
}

impl Vm {
    /// Reads `id zone rack pool address state [control]`.
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
            reboots: false,
        })
    }
}

/// A change that the list may not show yet.
#[derive(Debug)]
struct Change {
    at: Instant,
    version: u64,
    entry: VmEntry,
}

/// A VM as the list shows it.
#[derive(Debug)]
struct ShownVm {
    version: u64,
    entry: VmEntry,
}

/// Every VM, sorted by its id.
#[derive(Debug, Default)]
pub(crate) struct VmTable {
    vms: Vec<Vm>,
    version: u64,
    pending: VecDeque<Change>,
    shown: Vec<ShownVm>,
    shown_version: u64,
}

impl VmTable {
    pub(crate) fn get_mut(&mut self, id: &VmId) -> Option<&mut Vm> {
        let index = self.vms.binary_search_by(|vm| vm.entry.vm.cmp(id)).ok()?;
        self.vms.get_mut(index)
    }

    /// Adds or replaces a VM.
    pub(crate) fn set(&mut self, vm: Vm, now: Instant) {
        let found = self
            .vms
            .binary_search_by(|known| known.entry.vm.cmp(&vm.entry.vm));
        self.note(vm.entry.clone(), now);
        match found {
            Ok(index) => self.vms[index] = vm,
            Err(index) => self.vms.insert(index, vm),
        }
    }

    /// Changes a VM's state.
    pub(crate) fn set_state(&mut self, id: &VmId, state: VmState, now: Instant) {
        let Some(vm) = self.get_mut(id) else { return };
        vm.entry.state = state;
        let entry = vm.entry.clone();
        self.note(entry, now);
    }

    /// The version that the list shows and its lines, of the VMs that changed after `since`.
    pub(crate) fn list(
        &mut self,
        zone: Option<&ZoneId>,
        since: u64,
        lag: Duration,
        now: Instant,
    ) -> (u64, String) {
        self.show(lag, now);
        let mut lines = String::new();
        let changed = self
            .shown
            .iter()
            .filter(|shown| shown.version > since)
            .filter(|shown| zone.is_none_or(|zone| shown.entry.zone == *zone));
        for shown in changed {
            // Writing to memory can't fail.
            let _ = writeln!(lines, "{}", shown.entry);
        }
        (self.shown_version, lines)
    }

    fn note(&mut self, entry: VmEntry, at: Instant) {
        self.version += 1;
        let version = self.version;
        self.pending.push_back(Change { at, version, entry });
    }

    /// Lets the list show the changes that are old enough. It never goes back.
    fn show(&mut self, lag: Duration, now: Instant) {
        let old_enough = self
            .pending
            .partition_point(|change| change.at + lag <= now);
        for Change { version, entry, .. } in self.pending.drain(..old_enough) {
            let found = self
                .shown
                .binary_search_by(|shown| shown.entry.vm.cmp(&entry.vm));
            let fresh = ShownVm { version, entry };
            match found {
                Ok(index) => self.shown[index] = fresh,
                Err(index) => self.shown.insert(index, fresh),
            }
            self.shown_version = version;
        }
    }
}
