//! One VM that a runner process serves.

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

/// What a VM has seen, as `GET /control/stats` shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStats {
    /// The VM.
    pub vm: String,
    /// Requests whose work was started.
    pub requests: u64,
    /// Slots in use now.
    pub slots: u32,
    /// The most slots in use at one time.
    pub most_slots: u32,
    /// Connections open now.
    pub connections: u32,
    /// The most connections open at one time.
    pub most_connections: u32,
    /// Connections that were closed at once.
    pub refused_connections: u64,
    /// Requests refused for want of a slot.
    pub refused_busy: u64,
    /// Requests refused because the VM is leaving.
    pub refused_leaving: u64,
}

/// The limits of a VM.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VmLimits {
    pub(crate) slots: Slots,
    pub(crate) connections: Connections,
}

/// Why a request's work does not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkRefusal {
    Busy,
    Leaving,
}

/// One VM.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) name: VmName,
    pub(crate) address: SocketAddr,
    pub(crate) recorder: Rc<Recorder>,
    limits: VmLimits,
    settings: Cell<Settings>,
    leaving_since_us: Cell<Option<u64>>,
    stats: RefCell<RunnerStats>,
    /// How often it was rebooted; what began in an earlier boot is dead.
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

    /// Slots in use.
    pub(crate) fn load(&self) -> u32 {
        self.stats.borrow().slots
    }

    // --- Connections and slots -----------------------------------------------------------------

    /// Books a connection in; `false` if it must be closed at once.
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

    /// Books a slot in.
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

    /// Follows a body of `/control/mode`.
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

    /// Cuts everything off, refuses connections for a while and comes back in normal mode.
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

    /// The boot that is running.
    pub(crate) fn boot(&self) -> u64 {
        self.boot.get()
    }

    /// Ends when this boot does.
    pub(crate) async fn wait_until_rebooted(&self, boot: u64) {
        self.changed.until(|| self.boot.get() != boot).await;
    }

    /// Ends when the mode is another.
    pub(crate) async fn wait_until_mode_changes(&self, mode: Mode) {
        self.changed
            .until(|| self.settings.get().mode != mode)
            .await;
    }
}
