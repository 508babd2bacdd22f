//! Operations on VMs: their orders to the platform, answers and effects.

use vanillafold_policy::MonotonicMillis;

use super::incarnation::WorkerIncarnation;
use super::root::Shard;
use crate::id::WorkerId;
use crate::spec::Resources;
use crate::worker::{Worker, WorkerEntry};

/// State of a VM on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM is in service in its pool.
    Up,
    /// The VM is being moved to a pool.
    Moving,
    /// The VM is under maintenance.
    Maintenance,
    /// The VM has failed.
    Down,
}

/// A VM as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Pool that the VM belongs to.
    pub pool: String,
    /// State of the VM.
    pub state: VmState,
    /// Total resources of the VM.
    pub capacity: Resources,
    /// Labels of the VM.
    pub labels: Vec<String>,
    /// Worker that runs on the VM, if any.
    pub worker: Option<WorkerId>,
    /// Availability zone of the VM; empty if the platform does not tell.
    pub zone: String,
}

/// An operation on a VM, to be sent to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmOperation {
    /// Moves the VM to another pool.
    Move {
        /// Name of the VM.
        machine: String,
        /// Pool that the VM moves to.
        pool: String,
    },
    /// Starts the maintenance of the VM.
    Upkeep {
        /// Name of the VM.
        machine: String,
        /// Number of the maintenance wave; 0 if the operation belongs to no wave.
        wave: u64,
    },
}

/// An operation on a VM that was issued and has not taken full effect yet.
#[derive(Debug)]
pub(super) struct PendingOperation {
    pub(super) vm: String,
    /// Pool that the VM moves to; `None` for maintenance.
    pub(super) to_pool: Option<String>,
    /// Maintenance wave of the operation; `None` for a move.
    pub(super) wave: Option<u64>,
    /// Incarnation of the worker that ran on the VM when the operation was issued.
    worker: Option<WorkerIncarnation>,
    /// When the operation entered its phase.
    phase_since: MonotonicMillis,
    phase: OperationPhase,
    /// Whether an earlier attempt got no answer and may have been carried out.
    unanswered: bool,
    /// Whether an order before this operation may have been carried out, by this or an earlier owner,
    /// in which case the platform confirms this one without doing anything.
    may_be_repetition: bool,
}

impl PendingOperation {
    /// Returns whether a repetition may end runs of another incarnation than the one that the operation
    /// was issued for. These runs were not considered then.
    fn ends_later_runs(&self, vm: &Vm, workers: &[Worker]) -> bool {
        let Some(id) = &vm.worker else { return false };
        let found = workers.binary_search_by(|worker| worker.entry.id.cmp(id));
        found.is_ok_and(|at| {
            let worker = &workers[at];
            !worker.runs.is_empty() && self.worker != Some(WorkerIncarnation::of(worker))
        })
    }
}

/// Progress of an operation on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OperationPhase {
    /// The operation was sent and has no answer yet.
    Sent,
    /// The operation got no answer and will be repeated.
    Unanswered,
    /// The platform has carried out the operation, or has refused to repeat one that it may have
    /// carried out. The list of VMs shows its effect.
    Done,
}

/// What the list of VMs tells of an operation that is done.
#[derive(Debug)]
enum ListedEffect {
    /// The operation has not taken full effect yet, or the list can't show it.
    Pending,
    /// The VM is in service with the worker that it had before.
    WorkerKept,
    /// The VM has left service or has another worker, so that its former worker has ended. `back` tells
    /// whether the VM is in service as ordered.
    WorkerEnded { back: bool },
    /// The VM is in service as ordered or no longer listed. Nothing is known of its former worker.
    Settled,
}

impl ListedEffect {
    fn new(pending: &PendingOperation, vm: Option<&Vm>) -> Self {
        let Some(vm) = vm else { return Self::Settled };
        let is_in_pool = pending.to_pool.as_ref().is_none_or(|to| vm.pool == *to);
        let former = pending.worker.as_ref().map(|worker| &worker.id);
        match (vm.state, &vm.worker) {
            (VmState::Up, worker)
                if worker.as_ref() == former && (pending.unanswered || is_in_pool) =>
            {
                Self::WorkerKept
            }
            (VmState::Up, Some(worker)) if Some(worker) != former => {
                Self::WorkerEnded { back: is_in_pool }
            }
            (VmState::Up, _) if is_in_pool => Self::Settled,
            (VmState::Maintenance | VmState::Moving, _) => Self::WorkerEnded { back: false },
            (VmState::Up | VmState::Down, _) => Self::Pending,
        }
    }
}

/// How far the list of VMs may lag behind, in milliseconds. For this long a VM operation is not
/// checked against the list, and a new owner plans no operations.
const VM_LIST_LAG_MS: u64 = 800;
/// Time after which an unanswered VM operation is repeated, in milliseconds.
const VM_OPERATION_RETRY_MS: u64 = 400;
/// Time between two planning passes, in milliseconds. The list of VMs is read about twice a second.
pub(super) const PLAN_INTERVAL_MS: u64 = 100;

impl Shard {
    /// Updates the list of VMs and drops the operations that have taken effect. `requested_at` is
    /// when the list was requested: it does not show what was carried out later.
    pub fn set_vms(&mut self, vms: Vec<Vm>, requested_at: MonotonicMillis) {
        self.has_unreadable_vms = false;
        self.replace_vms(vms, requested_at);
    }

    /// Updates the list of VMs by one that has further rows, which can't be read. Known VMs that it
    /// does not show stay as they are: they may be under maintenance, and their workers in use.
    pub fn set_readable_vms(&mut self, mut vms: Vec<Vm>, requested_at: MonotonicMillis) {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let is_shown = |vm: &Vm| vms.binary_search_by(|row| row.name.cmp(&vm.name)).is_ok();
        let kept = self.vms.iter().filter(|vm| !is_shown(vm)).cloned();
        let kept: Vec<Vm> = kept.collect();
        vms.extend(kept);
        self.has_unreadable_vms = true;
        self.replace_vms(vms, requested_at);
    }

    fn replace_vms(&mut self, mut vms: Vec<Vm>, requested_at: MonotonicMillis) {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        vms.dedup_by(|a, b| a.name == b.name);
        for vm in vms.iter_mut().filter(|vm| vm.zone.is_empty()) {
            let worker = vm.worker.as_ref().and_then(|id| self.worker_position(id));
            let before = self.vms.binary_search_by(|row| row.name.cmp(&vm.name));
            match (worker, before) {
                (Some(at), _) => vm.zone.clone_from(&self.workers[at].entry.zone),
                (None, Ok(at)) => vm.zone.clone_from(&self.vms[at].zone),
                (None, Err(_)) => {}
            }
        }
        self.vms = vms;
        self.vms_listed = true;
        let vms = &self.vms;
        let ended_workers = &mut self.ended_workers;
        let mut still_in_service = Vec::new();
        self.pending_operations.retain(|pending| {
            let earliest_ms = pending.phase_since.get() + VM_LIST_LAG_MS;
            let shows_effect = requested_at.get() >= earliest_ms;
            if pending.phase != OperationPhase::Done || !shows_effect {
                return true;
            }
            let found = vms.binary_search_by(|row| row.name.cmp(&pending.vm));
            match ListedEffect::new(pending, found.ok().map(|at| &vms[at])) {
                ListedEffect::Pending => true,
                ListedEffect::Settled => false,
                ListedEffect::WorkerKept => {
                    let worker = pending.worker.as_ref();
                    still_in_service.extend(worker.map(|worker| worker.id.clone()));
                    false
                }
                ListedEffect::WorkerEnded { back } => {
                    ended_workers.extend(pending.worker.clone());
                    !back
                }
            }
        });
        for id in still_in_service {
            self.return_to_service(&id);
        }
        self.name_vms_of_workers();
        self.confirm_crashes_by_vm();
        self.refresh_workers_due();
    }

    /// Puts a worker back into service after an operation on its VM that did not end it: the platform
    /// had nothing to do, did not carry the operation out, or started the worker again under its id.
    fn return_to_service(&mut self, id: &WorkerId) {
        log::info!(worker = id.as_str(); "the worker is on its VM after an operation on it; it stays in service");
        if let Ok(at) = self.removed_position(id) {
            self.removed_workers.remove(at);
        }
        if let Some(at) = self.worker_position(id) {
            self.workers[at].draining = false;
            self.workers[at].vm_operation_pending = false;
        }
    }

    /// Keeps the name of its VM with each worker, as the list no longer shows it once the worker is
    /// lost. A worker stays on one VM.
    fn name_vms_of_workers(&mut self) {
        let unnamed = |at: &usize| self.workers[*at].vm.is_empty();
        let unnamed: Vec<usize> = (0..self.workers.len()).filter(unnamed).collect();
        if unnamed.is_empty() {
            return;
        }
        for vm in &self.vms {
            let Some(id) = &vm.worker else { continue };
            let found = unnamed.binary_search_by(|at| self.workers[*at].entry.id.cmp(id));
            if let Ok(found) = found {
                self.workers[unnamed[found]].vm.clone_from(&vm.name);
            }
        }
    }

    /// Returns whether VM operations are pending; their VMs register new workers when they are back
    /// in service.
    #[must_use]
    pub const fn expects_workers(&self) -> bool {
        !self.pending_operations.is_empty()
    }

    /// Returns the VM operations issued since the last call.
    pub fn take_vm_operations(&mut self) -> Vec<VmOperation> {
        std::mem::take(&mut self.vm_operations)
    }

    /// Processes the confirmation that the platform carried out a VM operation. A second
    /// confirmation of the same operation is ignored.
    ///
    /// The platform also confirms an operation that is already done. Only if no order before can have
    /// been carried out does the confirmation show that runs on the VM have ended, and only those of
    /// the incarnation for which the operation was issued. Otherwise the list of VMs shows it.
    pub fn vm_operation_done(
        &mut self,
        operation: &VmOperation,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) {
        let vm = match operation {
            VmOperation::Move { machine, .. } | VmOperation::Upkeep { machine, .. } => machine,
        };
        let Ok(at) = self.pending_position(vm) else {
            return;
        };
        let pending = &mut self.pending_operations[at];
        if pending.phase == OperationPhase::Done {
            return;
        }
        pending.phase = OperationPhase::Done;
        pending.phase_since = now;
        let may_be_done_before = pending.unanswered || pending.may_be_repetition;
        let worker = pending.worker.clone();
        if let VmOperation::Upkeep { machine, wave } = operation {
            self.record_maintenance_started(*wave, machine);
        }
        match worker {
            Some(worker) if may_be_done_before && self.has_runs(&worker.id) => log::info!(
                vm = vm.as_str(), worker = worker.id.as_str(), started_unix_ms = worker.started_unix_ms;
                "VM operation confirmed that may have been done before; the list of VMs will show whether its worker has ended"
            ),
            Some(worker) => self.remove_incarnation(&worker, now, now_unix_ms),
            None => {}
        }
    }

    fn has_runs(&self, id: &WorkerId) -> bool {
        let worker = self.worker_position(id).map(|at| &self.workers[at]);
        worker.is_some_and(|worker| !worker.runs.is_empty())
    }

    /// Removes the workers that have ended with operations on their VMs, as the list of VMs shows.
    pub(super) fn remove_ended_workers(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        for worker in std::mem::take(&mut self.ended_workers) {
            self.remove_incarnation(&worker, now, now_unix_ms);
        }
    }

    /// Removes a worker that has ended with an operation on its VM, and ends all its runs. A later
    /// incarnation with the same id stays.
    fn remove_incarnation(
        &mut self,
        ended: &WorkerIncarnation,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) {
        let Some(at) = self.worker_position(&ended.id) else {
            return;
        };
        let known = WorkerIncarnation::of(&self.workers[at]);
        if known != *ended {
            log::info!(
                worker = known.id.as_str(), started_unix_ms = known.started_unix_ms,
                ended_unix_ms = ended.started_unix_ms;
                "an operation on the VM has ended an earlier incarnation of the worker; this one stays"
            );
            return;
        }
        let removed = known;
        self.end_lost_runs(at, |_| true, now, now_unix_ms);
        self.workers.remove(at);
        self.workers_version += 1;
        self.forget_advice(&removed.id);
        log::info!(
            worker = removed.id.as_str(), started_unix_ms = removed.started_unix_ms;
            "worker removed: an operation on its VM has ended it"
        );
        match self.removed_position(&removed.id) {
            Ok(at) => self.removed_workers[at] = removed,
            Err(at) => self.removed_workers.insert(at, removed),
        }
    }

    fn removed_position(&self, id: &WorkerId) -> Result<usize, usize> {
        self.removed_workers.binary_search_by(|row| row.id.cmp(id))
    }

    /// Returns whether an operation on its VM has ended the incarnation of a worker that registered
    /// this entry.
    pub(super) fn was_removed(&self, entry: &WorkerEntry) -> bool {
        let Ok(at) = self.removed_position(&entry.id) else {
            return false;
        };
        let removed = &self.removed_workers[at];
        match (removed.started_unix_ms, entry.started_unix_ms) {
            (Some(removed), Some(registered)) => registered <= removed,
            _ => true,
        }
    }

    /// Processes the failure of a VM operation; `unknown` if it may have been carried out.
    pub fn vm_operation_failed(
        &mut self,
        operation: &VmOperation,
        unknown: bool,
        now: MonotonicMillis,
    ) {
        let vm = match operation {
            VmOperation::Move { machine, .. } | VmOperation::Upkeep { machine, .. } => machine,
        };
        let Ok(at) = self.pending_position(vm) else {
            return;
        };
        let pending = &mut self.pending_operations[at];
        match pending.phase {
            OperationPhase::Done => {}
            _ if unknown => {
                pending.phase_since = now;
                pending.phase = OperationPhase::Unanswered;
                pending.unanswered = true;
                if let Some(wave) = pending.wave {
                    self.record_maintenance_unanswered(wave, vm);
                }
            }
            // An earlier attempt may be the reason for the refusal: until the list of VMs shows
            // otherwise, the VM counts as out of service.
            _ if pending.unanswered => {
                pending.phase_since = now;
                pending.phase = OperationPhase::Done;
            }
            _ => {
                self.pending_operations.remove(at);
                if let Some(at) = self.worker_of_vm(vm) {
                    self.workers[at].draining = false;
                    self.workers[at].vm_operation_pending = false;
                    let pause = now.get() + VM_OPERATION_RETRY_MS;
                    self.workers[at].no_vm_operation_before = MonotonicMillis::new(pause);
                }
            }
        }
    }

    /// Returns the position of a VM's pending operation, or where to insert one.
    pub(super) fn pending_position(&self, vm: &str) -> Result<usize, usize> {
        self.pending_operations
            .binary_search_by(|row| row.vm.as_str().cmp(vm))
    }

    /// Returns whether the worker that the platform lists for a VM is accounted for, or the VM has no
    /// worker. Registered workers that no VM lists have ended, and nothing waits for them.
    pub(super) fn is_vm_worker_accounted(&self, vm: &Vm) -> bool {
        vm.worker.as_ref().is_none_or(|id| {
            self.worker_position(id)
                .is_some_and(|at| self.workers[at].is_accounted())
        })
    }

    pub(super) fn worker_of_vm(&self, vm: &str) -> Option<usize> {
        let found = self.vms.binary_search_by(|row| row.name.as_str().cmp(vm));
        let worker = self.vms[found.ok()?].worker.as_ref()?;
        self.worker_position(worker)
    }

    /// Sets whether operations on VMs may be issued. While they may not, no VM is drained for one, and
    /// unanswered ones are not repeated.
    pub fn set_may_operate_vms(&mut self, may_operate: bool) {
        if self.may_operate_vms != may_operate {
            log::info!(may_operate = may_operate; "right to operate on VMs changed: it needs a recent confirmation of the ownership by the store");
            self.may_operate_vms = may_operate;
        }
    }

    /// Plans maintenance and moves.
    pub(super) fn plan_vm_operations(&mut self, now: MonotonicMillis) {
        let earliest_ms = self.taken_over_at.get() + VM_LIST_LAG_MS;
        let is_early = now.get() < earliest_ms || now < self.next_plan_at;
        let is_informed = self.vms_listed && self.evacuations.are_known();
        if !is_informed || !self.may_operate_vms || is_early {
            return;
        }
        self.next_plan_at = MonotonicMillis::new(now.get() + PLAN_INTERVAL_MS);
        self.retry_vm_operations(now);
        for at in 0..self.waves.len() {
            self.plan_wave(at, now);
        }
        if self.settings.moves_enabled {
            self.plan_moves(now);
        }
    }

    fn retry_vm_operations(&mut self, now: MonotonicMillis) {
        for row in &mut self.pending_operations {
            let due = now.since(row.phase_since).get() >= VM_OPERATION_RETRY_MS;
            let found = self.vms.binary_search_by(|vm| vm.name.cmp(&row.vm));
            let vm = found.ok().map(|at| &self.vms[at]);
            let is_evacuated = vm.is_some_and(|vm| self.evacuations.excludes(vm));
            // A move would bring the VM into service in a zone that is being evacuated.
            let is_barred = row.to_pool.is_some() && is_evacuated;
            if row.phase != OperationPhase::Unanswered || !due || is_barred {
                continue;
            }
            // The list of VMs shows whether the operation was carried out.
            if vm.is_some_and(|vm| row.ends_later_runs(vm, &self.workers)) {
                row.phase = OperationPhase::Done;
                row.phase_since = now;
                continue;
            }
            row.phase = OperationPhase::Sent;
            self.vm_operations.push(match (&row.to_pool, row.wave) {
                (Some(pool), _) => VmOperation::Move {
                    machine: row.vm.clone(),
                    pool: pool.clone(),
                },
                (None, wave) => VmOperation::Upkeep {
                    machine: row.vm.clone(),
                    wave: wave.unwrap_or(0),
                },
            });
        }
    }

    /// Returns whether this owner must not issue an operation for the VM now: one is pending, or an
    /// earlier owner may have issued one less than `vm_operation_pause_ms` ago. An operation takes
    /// the VM out of service for a while and then starts a new worker incarnation, so a VM whose
    /// worker has been up for longer than the pause had no operation during it.
    pub(super) fn is_operation_barred(&self, vm: &Vm, now: MonotonicMillis) -> bool {
        let paused = now.get() < self.taken_over_at.get() + self.settings.vm_operation_pause_ms;
        let worker = vm.worker.as_ref().and_then(|id| self.worker_position(id));
        let up_longer_than_pause = worker.is_some_and(|at| {
            self.workers[at].uptime_ms(now) > Some(self.settings.vm_operation_pause_ms)
        });
        self.pending_position(&vm.name).is_ok() || (paused && !up_longer_than_pause)
    }

    pub(super) fn start_operation(
        &mut self,
        vm: String,
        to_pool: Option<String>,
        wave: Option<u64>,
        now: MonotonicMillis,
    ) {
        let worker = self.worker_of_vm(&vm);
        if let Some(at) = worker {
            self.workers[at].draining = true;
            self.workers[at].vm_operation_pending = true;
        }
        let worker = worker.map(|at| WorkerIncarnation::of(&self.workers[at]));
        let may_be_repetition = wave.is_some_and(|wave| self.may_be_maintained_before(wave, &vm));
        self.vm_operations.push(match &to_pool {
            Some(pool) => VmOperation::Move {
                machine: vm.clone(),
                pool: pool.clone(),
            },
            None => VmOperation::Upkeep {
                machine: vm.clone(),
                wave: wave.unwrap_or(0),
            },
        });
        let at = self.pending_position(&vm).unwrap_or_else(|at| at);
        let pending = PendingOperation {
            vm,
            to_pool,
            wave,
            worker,
            phase_since: now,
            phase: OperationPhase::Sent,
            unanswered: false,
            may_be_repetition,
        };
        self.pending_operations.insert(at, pending);
    }
}
