//! One VM of a runner process: its settings, slots, connections and statistics.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use vanillafold_types::{Connections, Millis, Slots};

use super::mode::{Mode, Settings};
use super::recorder::Recorder;
use crate::process::{AssignmentError, Notify};
use crate::trace::{VmName, monotonic_us};

/// The statistics of a VM, as `GET /control/stats` returns them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStats {
    /// The VM's id.
    pub vm: String,
    /// How many requests' work was started.
    pub requests: u64,
    /// How many slots are in use now.
    pub slots: u32,
    /// The highest number of slots in use at one time.
    pub most_slots: u32,
    /// How many connections are open now.
    pub connections: u32,
    /// The highest number of connections open at one time.
    pub most_connections: u32,
    /// How many connections were closed as soon as they were accepted.
    pub refused_connections: u64,
    /// How many requests were refused because all slots were in use.
    pub refused_busy: u64,
    /// How many requests were refused because the VM was leaving its pool.
    pub refused_leaving: u64,
}

/// The numbers of slots and connections of a VM.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VmLimits {
    pub(crate) slots: Slots,
    pub(crate) connections: Connections,
}

/// Why a VM does not start the work of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkRefusal {
    Busy,
    Leaving,
}

/// A VM that takes requests at an address of its own.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) name: VmName,
    pub(crate) address: SocketAddr,
    pub(crate) recorder: Rc<Recorder>,
    limits: VmLimits,
    settings: Cell<Settings>,
    leaving_since_us: Cell<Option<u64>>,
    stats: RefCell<RunnerStats>,
    /// How often the VM was rebooted; connections and work of an earlier boot have ended.
    boot: Cell<u64>,
    is_rebooting: Cell<bool>,
    changed: Notify,
}

impl Vm {
    pub(crate) fn new(
        name: VmName,
        address: SocketAddr,
        limits: VmLimits,
        recorder: Rc<Recorder>,
    ) -> Self {
        let stats = RunnerStats {
            vm: name.to_string(),
            ..RunnerStats::default()
        };
        Self {
            name,
            address,
            recorder,
            limits,
            settings: Cell::default(),
            leaving_since_us: Cell::default(),
            stats: RefCell::new(stats),
            boot: Cell::default(),
            is_rebooting: Cell::default(),
            changed: Notify::default(),
        }
    }

    pub(crate) fn stats(&self) -> RunnerStats {
        self.stats.borrow().clone()
    }

    pub(crate) fn settings(&self) -> Settings {
        self.settings.get()
    }

    pub(crate) fn leaving_since_us(&self) -> Option<u64> {
        self.leaving_since_us.get()
    }

    /// Returns how many slots are in use; the `vf-load` of an answer.
    pub(crate) fn load(&self) -> u32 {
        self.stats.borrow().slots
    }

    // --- Connections and slots -----------------------------------------------------------------

    /// Counts a new connection; returns `false` if it must be closed at once instead.
    pub(crate) fn try_open_connection(&self) -> bool {
        let is_refusing = self.is_rebooting.get() || self.settings.get().mode == Mode::Refuse;
        let mut stats = self.stats.borrow_mut();
        if is_refusing || stats.connections >= self.limits.connections.get() {
            stats.refused_connections += 1;
            return false;
        }
        stats.connections += 1;
        stats.most_connections = stats.most_connections.max(stats.connections);
        true
    }

    pub(crate) fn close_connection(&self) {
        self.stats.borrow_mut().connections -= 1;
    }

    /// Takes a slot for the work of a request, or says why the VM refuses it.
    pub(crate) fn acquire_slot(&self) -> Result<(), WorkRefusal> {
        let mut stats = self.stats.borrow_mut();
        match () {
            () if self.settings.get().leaving => {
                stats.refused_leaving += 1;
                Err(WorkRefusal::Leaving)
            }
            () if stats.slots >= self.limits.slots.get() => {
                stats.refused_busy += 1;
                Err(WorkRefusal::Busy)
            }
            () => {
                stats.requests += 1;
                stats.slots += 1;
                stats.most_slots = stats.most_slots.max(stats.slots);
                Ok(())
            }
        }
    }

    pub(crate) fn release_slot(&self) {
        self.stats.borrow_mut().slots -= 1;
    }

    // --- Controls ------------------------------------------------------------------------------

    /// Changes the settings as the body of a request to `/control/mode` says.
    pub(crate) fn set_mode(&self, body: &[u8]) -> Result<(), AssignmentError> {
        let settings = self.settings.get().with_changes(body)?;
        self.set_settings(settings);
        Ok(())
    }

    fn set_settings(&self, settings: Settings) {
        let previous = self.settings.replace(settings);
        match (previous.leaving, settings.leaving) {
            (false, true) => {
                self.leaving_since_us.set(Some(monotonic_us()));
                self.recorder.record_vm_down(&self.name);
            }
            (true, false) => {
                self.leaving_since_us.set(None);
                self.recorder.record_vm_up(&self.name);
            }
            _ => {}
        }
        self.changed.notify_all();
    }

    /// Ends all connections and work, closes new connections for `reboot_ms`, and returns to the
    /// default settings. Does nothing if the VM is rebooting already.
    pub(crate) async fn reboot(&self, reboot_ms: Millis) {
        if self.is_rebooting.replace(true) {
            return;
        }
        self.boot.set(self.boot.get() + 1);
        self.set_settings(Settings {
            leaving: true,
            ..self.settings.get()
        });
        sleep(reboot_ms.duration()).await;
        self.is_rebooting.set(false);
        self.set_settings(Settings::default());
    }

    // --- Waiting -------------------------------------------------------------------------------

    /// Returns the number of the current boot, from 0.
    pub(crate) fn boot(&self) -> u64 {
        self.boot.get()
    }

    /// Waits until the VM is rebooted after this boot.
    pub(crate) async fn wait_until_rebooted(&self, boot: u64) {
        self.changed.wait_until(|| self.boot.get() != boot).await;
    }

    /// Waits until the VM is in another mode than this.
    pub(crate) async fn wait_until_mode_changes(&self, mode: Mode) {
        self.changed
            .wait_until(|| self.settings.get().mode != mode)
            .await;
    }
}
