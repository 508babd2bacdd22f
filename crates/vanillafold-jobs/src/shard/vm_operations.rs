//! VM operations: moves between pools, and maintenance in waves.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    MaintenanceCandidate, MaintenanceChoice, MovableVm, PoolDemand, WaveProgress,
    choose_maintenance, paced_unavailable, plan_moves,
};

use super::root::Shard;
use crate::id::WorkerId;
use crate::job::{Job, TaskStatus};
use crate::spec::Resources;
use crate::worker::{Run, RunPhase, Worker};

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
}

/// A maintenance wave requested by the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Names of the VMs that need maintenance.
    pub vms: Vec<String>,
    /// Time within which the wave should complete, in milliseconds.
    pub duration_ms: u64,
    /// Maximum number of VMs that may be under maintenance at one time.
    pub max_unavailable: u32,
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

/// Status of a maintenance wave, as reported to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaveStatus {
    /// Number of the wave.
    pub wave: u64,
    /// Whether the maintenance of all its VMs has finished.
    pub completed: bool,
}

/// An operation on a VM that was issued and has not taken full effect yet.
#[derive(Debug)]
pub(super) struct PendingOperation {
    vm: String,
    /// Pool that the VM moves to; `None` for maintenance.
    to_pool: Option<String>,
    /// Maintenance wave of the operation; `None` for a move.
    wave: Option<u64>,
    /// Worker that ran on the VM when the operation was issued.
    worker: Option<WorkerId>,
    /// When the operation entered its phase.
    phase_since: MonotonicMillis,
    phase: OperationPhase,
    /// Whether an earlier attempt got no answer and may have been carried out.
    unanswered: bool,
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

/// A maintenance wave in progress.
#[derive(Debug)]
pub(super) struct WaveState {
    pub(super) wave: Wave,
    /// When this owner first saw the wave.
    seen_at: MonotonicMillis,
    /// VMs whose maintenance has started, sorted.
    pub(super) started: Vec<String>,
    /// VMs whose maintenance has not started, sorted.
    remaining: Vec<String>,
    completed: bool,
    /// The value of `completed` that was last reported to the operator.
    reported_completed: Option<bool>,
}

/// A wave that this owner first sees this long after its takeover was unknown to earlier owners, in
/// milliseconds. Daemons learn of a wave one after the other, all of them in less time than this.
const WAVE_PROPAGATION_MS: u64 = 5_000;
/// How far the list of VMs may lag behind, in milliseconds. For this long a VM operation is not
/// checked against the list, and a new owner plans no operations.
const VM_LIST_LAG_MS: u64 = 800;
/// Time after which an unanswered VM operation is repeated, in milliseconds.
const VM_OPERATION_RETRY_MS: u64 = 400;
/// Time between two planning passes, in milliseconds. The list of VMs is read about twice a second.
const PLAN_INTERVAL_MS: u64 = 100;
/// Capacity planned for arriving work, in percent of the CPU that the work keeps busy. The excess
/// clears the work that queues up until the capacity is there.
const ARRIVAL_PERCENT: u64 = 120;
/// Time after a takeover in which operations of an earlier owner may still take effect and be
/// noticed, in milliseconds.
const SETTLING_MS: u64 = 2_000;
/// Time until the list of VMs shows that a maintenance has ended, in milliseconds: its lag and the
/// time between two reads.
const MAINTENANCE_END_LAG_MS: u64 = 1_300;
/// Time between two log lines about the progress of a maintenance wave, in milliseconds.
const WAVE_LOG_INTERVAL_MS: u64 = 2_000;
/// Time between two passes that move persistent tasks off VMs that are due for maintenance, in
/// milliseconds: a fraction of the time that one of them takes to start elsewhere.
const EVACUATION_INTERVAL_MS: u64 = 200;
/// Part of the platform's rate limit for VM operations that moves may use, in percent. Maintenance
/// and repeats need the rest.
const MOVES_RATE_PERCENT: u64 = 80;

impl Shard {
    /// Updates the list of VMs and drops the operations that have taken effect. `requested_at` is
    /// when the list was requested: it does not show what was carried out later.
    pub fn set_vms(&mut self, mut vms: Vec<Vm>, requested_at: MonotonicMillis) {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        self.vms = vms;
        self.vms_listed = true;
        let vms = &self.vms;
        let mut not_carried_out = Vec::new();
        self.pending_operations.retain(|pending| {
            let earliest_ms = pending.phase_since.get() + VM_LIST_LAG_MS;
            let shows_effect = requested_at.get() >= earliest_ms;
            if pending.phase != OperationPhase::Done || !shows_effect {
                return true;
            }
            let found = vms.binary_search_by(|row| row.name.cmp(&pending.vm));
            let Ok(at) = found else { return false };
            let is_up = vms[at].state == VmState::Up;
            match &pending.to_pool {
                _ if is_up && pending.unanswered && vms[at].worker == pending.worker => {
                    not_carried_out.extend(pending.worker.clone());
                    false
                }
                Some(pool) => !is_up || vms[at].pool != *pool,
                None => !is_up,
            }
        });
        for id in not_carried_out {
            log::info!(worker = id.as_str(); "an operation on the worker's VM was not carried out; the worker stays in service");
            if let Some(at) = self.worker_position(&id) {
                self.workers[at].draining = false;
                self.workers[at].vm_operation_pending = false;
            }
        }
        self.refresh_workers_due();
    }

    /// Updates the list of workers whose VMs are due for maintenance.
    fn refresh_workers_due(&mut self) {
        let open = self.waves.iter().filter(|state| !state.completed);
        let names = open.flat_map(|state| &state.remaining);
        let worker_of = |name: &String| {
            let found = self.vms.binary_search_by(|row| row.name.cmp(name));
            self.vms[found.ok()?].worker.clone()
        };
        let mut due: Vec<WorkerId> = names.filter_map(worker_of).collect();
        due.sort_unstable();
        self.workers_due = due;
    }

    /// Adds a maintenance wave, unless it is known.
    pub fn add_wave(&mut self, wave: Wave, now: MonotonicMillis) {
        if self
            .waves
            .iter()
            .any(|known| known.wave.number == wave.number)
        {
            return;
        }
        let stored = self.stored_waves.iter().find(|row| row.0 == wave.number);
        let started = stored.map_or(Vec::new(), |row| row.1.clone());
        let is_remaining = |name: &&String| started.binary_search(*name).is_err();
        let mut remaining: Vec<String> = wave.vms.iter().filter(is_remaining).cloned().collect();
        remaining.sort_unstable();
        self.waves.push(WaveState {
            wave,
            seen_at: now,
            started,
            remaining,
            completed: false,
            reported_completed: None,
        });
        self.refresh_workers_due();
    }

    /// Returns the next wave status that has not been reported to the operator.
    #[must_use]
    pub fn next_wave_status(&self) -> Option<WaveStatus> {
        let unreported = self
            .waves
            .iter()
            .find(|state| state.reported_completed != Some(state.completed));
        unreported.map(|state| WaveStatus {
            wave: state.wave.number,
            completed: state.completed,
        })
    }

    /// Records that a wave status was reported to the operator.
    pub fn wave_status_reported(&mut self, status: &WaveStatus) {
        let state = self
            .waves
            .iter_mut()
            .find(|row| row.wave.number == status.wave);
        if let Some(state) = state {
            state.reported_completed = Some(status.completed);
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
        let worker = pending.worker.clone();
        if let VmOperation::Upkeep { machine, wave } = operation {
            self.record_maintenance_started(*wave, machine);
        }
        // The operation ended the worker that ran on the VM, and with it all runs there.
        let Some(id) = worker else { return };
        if let Some(at) = self.worker_position(&id) {
            self.end_lost_runs(at, |_| true, now, now_unix_ms);
            self.workers.remove(at);
            self.workers_version += 1;
        }
        if let Err(at) = self.removed_workers.binary_search(&id) {
            self.removed_workers.insert(at, id);
        }
    }

    fn record_maintenance_started(&mut self, wave: u64, vm: &str) {
        let Some(state) = self.waves.iter_mut().find(|row| row.wave.number == wave) else {
            return;
        };
        let found = state.started.binary_search_by(|name| name.as_str().cmp(vm));
        if let Err(at) = found {
            state.started.insert(at, vm.to_owned());
            let remaining = &mut state.remaining;
            if let Ok(at) = remaining.binary_search_by(|name| name.as_str().cmp(vm)) {
                remaining.remove(at);
            }
            self.dirty_waves.push(wave);
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
    fn pending_position(&self, vm: &str) -> Result<usize, usize> {
        self.pending_operations
            .binary_search_by(|row| row.vm.as_str().cmp(vm))
    }

    /// Returns whether the worker that the platform lists for a VM has responded, or the VM has no
    /// worker. Registered workers that no VM lists have ended, and nothing waits for them.
    pub(super) fn vm_worker_responded(&self, vm: &Vm) -> bool {
        vm.worker.as_ref().is_none_or(|id| {
            self.worker_position(id)
                .is_some_and(|at| self.workers[at].responded)
        })
    }

    fn worker_of_vm(&self, vm: &str) -> Option<usize> {
        let found = self.vms.binary_search_by(|row| row.name.as_str().cmp(vm));
        let worker = self.vms[found.ok()?].worker.as_ref()?;
        self.worker_position(worker)
    }

    // --- Plans -----------------------------------------------------------------------------

    /// Plans maintenance and moves.
    pub(super) fn plan_vm_operations(&mut self, now: MonotonicMillis) {
        let earliest_ms = self.taken_over_at.get() + VM_LIST_LAG_MS;
        let is_early = now.get() < earliest_ms || now < self.next_plan_at;
        if !self.vms_listed || is_early {
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
            if row.phase != OperationPhase::Unanswered || !due {
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
    fn is_operation_barred(&self, vm: &Vm, now: MonotonicMillis) -> bool {
        let paused = now.get() < self.taken_over_at.get() + self.settings.vm_operation_pause_ms;
        let worker = vm.worker.as_ref().and_then(|id| self.worker_position(id));
        let up_longer_than_pause = worker.is_some_and(|at| {
            self.workers[at].uptime_ms(now) > Some(self.settings.vm_operation_pause_ms)
        });
        self.pending_position(&vm.name).is_ok() || (paused && !up_longer_than_pause)
    }

    fn plan_wave(&mut self, at: usize, now: MonotonicMillis) {
        let state = &self.waves[at];
        let number = state.wave.number;
        if state.completed {
            return;
        }
        let state = &self.waves[at];
        let mut remaining = Vec::new();
        let mut unavailable = 0;
        for name in &state.wave.vms {
            let Ok(position) = self.vms.binary_search_by(|row| row.name.cmp(name)) else {
                continue;
            };
            let pending = self.pending_position(name);
            let has_maintenance_pending =
                pending.is_ok_and(|at| self.pending_operations[at].wave.is_some());
            let started = state.remaining.binary_search(name).is_err();
            match self.vms[position].state {
                VmState::Maintenance => unavailable += 1,
                _ if has_maintenance_pending => unavailable += 1,
                _ if started => {}
                _ => remaining.push(position),
            }
        }
        if remaining.is_empty() && unavailable == 0 {
            log::info!(wave = number; "maintenance wave completed");
            self.waves[at].completed = true;
            self.refresh_workers_due();
            return;
        }
        self.log_wave(number, &remaining, unavailable, now);
        self.start_maintenance(at, remaining.clone(), unavailable, now);
        if self.next_evacuation_at <= now {
            self.next_evacuation_at = MonotonicMillis::new(now.get() + EVACUATION_INTERVAL_MS);
            self.evacuate_persistent(&remaining, now);
        }
        self.refresh_workers_due();
    }

    /// Logs the progress of a wave and what its next VM waits for, at most once every
    /// [`WAVE_LOG_INTERVAL_MS`].
    fn log_wave(
        &mut self,
        number: u64,
        remaining: &[usize],
        unavailable: u32,
        now: MonotonicMillis,
    ) {
        if now < self.next_wave_log_at {
            return;
        }
        self.next_wave_log_at = MonotonicMillis::new(now.get() + WAVE_LOG_INTERVAL_MS);
        let Some(vm) = remaining.first().map(|position| &self.vms[*position]) else {
            return;
        };
        let worker = vm.worker.as_ref().and_then(|id| self.worker_position(id));
        let worker = worker.map(|at| &self.workers[at]);
        let persistent = worker.map_or(0, |worker| {
            worker.runs.iter().filter(|run| run.persistent).count()
        });
        log::info!(
            wave = number, remaining = remaining.len(), in_maintenance = unavailable,
            next_vm = vm.name.as_str(), state = format!("{:?}", vm.state),
            has_worker = vm.worker.is_some(), known = worker.is_some(),
            barred = self.is_operation_barred(vm, now),
            unresponsive = worker.is_some_and(|worker| worker.unresponsive),
            runs = worker.map_or(0, |worker| worker.runs.len()), persistent_runs = persistent;
            "maintenance wave in progress"
        );
    }

    /// Stops persistent runs on VMs that are due for maintenance, as far as the limits of their
    /// steps allow and other VMs have capacity, so that they start there. `remaining` holds the
    /// positions of the VMs.
    ///
    /// A step that may miss one task moves one after the other, and the step with the most tasks on
    /// such VMs determines how long the wave takes. If its tasks waited for the other tasks on their
    /// VMs to be movable too, the step would stand still for most of the time.
    fn evacuate_persistent(&mut self, remaining: &[usize], now: MonotonicMillis) {
        if self.is_settling(now) {
            return;
        }
        for position in remaining {
            let Some(at) = self.maintainable_worker(&self.vms[*position]) else {
                continue;
            };
            let worker = &self.workers[at];
            // A pool in which such tasks wait already has no room for more.
            let has_room = !self.unplaced_pools.contains(&worker.entry.pool);
            let is_barred = worker.vm_operation_pending || worker.no_vm_operation_before > now;
            if !has_room || worker.unresponsive || is_barred {
                continue;
            }
            for run_at in 0..self.workers[at].runs.len() {
                let run = &self.workers[at].runs[run_at];
                let is_running = matches!(run.phase, RunPhase::Running { .. });
                if run.persistent
                    && is_running
                    && self.has_unavailability_limit(run)
                    && self.may_be_unavailable(run)
                    && self.fits_where(run, now, |other| !self.is_due(other))
                {
                    self.order_stop(at, run_at, now);
                }
            }
        }
    }

    /// Returns whether the takeover was so recent that an operation of an earlier owner may still end
    /// tasks which their workers have just reported as running. Such tasks count as available, so
    /// none is stopped meanwhile for the sake of a wave.
    const fn is_settling(&self, now: MonotonicMillis) -> bool {
        self.unaccounted || now.get() < self.taken_over_at.get() + SETTLING_MS
    }

    /// Returns whether the VM of a worker is due for maintenance.
    fn is_due(&self, worker: &Worker) -> bool {
        self.is_worker_due_for_maintenance(&worker.entry.id)
    }

    /// Returns whether a run's step limits how many of its tasks may be unavailable.
    fn has_unavailability_limit(&self, run: &Run) -> bool {
        let step = self.described_step(run.task);
        step.is_some_and(|(_, step)| step.max_unavailable.is_some())
    }

    /// Returns how many VMs of a wave may be unavailable now.
    fn wave_limit(&self, at: usize, remaining: usize, now: MonotonicMillis) -> u32 {
        let state = &self.waves[at];
        match self.is_first_owner_of(state) {
            true => paced_unavailable(WaveProgress {
                remaining: remaining as u64,
                max_unavailable: state.wave.max_unavailable,
                vm_unavailable_ms: self.settings.maintenance_ms + MAINTENANCE_END_LAG_MS,
                duration_ms: state.wave.duration_ms,
                elapsed_ms: now.since(state.seen_at).get(),
            }),
            // It is unknown when a wave began that an earlier owner has worked on.
            false => state.wave.max_unavailable,
        }
    }

    /// Starts the maintenance of as many VMs as a wave allows, or drains them for it. `remaining`
    /// holds the positions of its VMs whose maintenance has not started.
    fn start_maintenance(
        &mut self,
        at: usize,
        mut remaining: Vec<usize>,
        unavailable: u32,
        now: MonotonicMillis,
    ) {
        let number = self.waves[at].wave.number;
        let free_slots = self
            .wave_limit(at, remaining.len(), now)
            .saturating_sub(unavailable);
        remaining.retain(|position| {
            let vm = &self.vms[*position];
            vm.state == VmState::Up && !self.is_operation_barred(vm, now)
        });
        let mut candidates: Vec<MaintenanceCandidate> = remaining
            .iter()
            .map(|position| self.maintenance_candidate(&self.vms[*position], now))
            .collect();
        let mut used_slots = 0;
        while used_slots < free_slots {
            let is_evictable = |chosen: usize| self.is_evictable(at, remaining[chosen], now);
            match choose_maintenance(&candidates, is_evictable) {
                MaintenanceChoice::Wait => return,
                MaintenanceChoice::Drain(chosen) => {
                    // An eviction before this one may have made the VM's tasks indispensable.
                    let current = self.maintenance_candidate(&self.vms[remaining[chosen]], now);
                    if current.blocked {
                        candidates[chosen] = current;
                        continue;
                    }
                    candidates.swap_remove(chosen);
                    let name = self.vms[remaining.swap_remove(chosen)].name.clone();
                    if let Some(at) = self.worker_of_vm(&name) {
                        self.workers[at].draining = true;
                        self.evict_persistent(at, now);
                    }
                }
                MaintenanceChoice::Start(chosen) => {
                    let empty = candidates.swap_remove(chosen).empty;
                    let name = self.vms[remaining.swap_remove(chosen)].name.clone();
                    self.start_operation(name, None, Some(number), now);
                    if !empty {
                        // The next candidate is chosen in the next pass, when it is known where the
                        // tasks of this VM were placed.
                        return;
                    }
                }
            }
            used_slots += 1;
        }
    }

    fn start_operation(
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
        let worker = worker.map(|at| self.workers[at].entry.id.clone());
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
        };
        self.pending_operations.insert(at, pending);
    }

    /// Returns whether no earlier owner can have issued operations for a wave. If an earlier owner
    /// has ordered the maintenance of a VM, the platform confirms a second order as done without
    /// repeating the maintenance, so runs that have started on the VM since would continue.
    fn is_first_owner_of(&self, state: &WaveState) -> bool {
        state.seen_at.since(self.taken_over_at).get() >= WAVE_PROPAGATION_MS
    }

    fn maintenance_candidate(&self, vm: &Vm, now: MonotonicMillis) -> MaintenanceCandidate {
        let Some(at) = self.maintainable_worker(vm) else {
            return MaintenanceCandidate {
                empty: vm.worker.is_none(),
                draining: false,
                used_cpu_millis: 0,
                persistent_tasks: 0,
                blocked: vm.worker.is_some(),
            };
        };
        let worker = &self.workers[at];
        let persistent_tasks = worker.runs.iter().filter(|run| run.persistent).count();
        let blocked = worker
            .runs
            .iter()
            .any(|run| run.persistent && !self.may_be_unavailable(run));
        MaintenanceCandidate {
            empty: worker.runs.is_empty() && worker.no_vm_operation_before <= now,
            draining: worker.draining,
            used_cpu_millis: worker.used.cpu_millis,
            persistent_tasks: u32::try_from(persistent_tasks).unwrap_or(u32::MAX),
            blocked: blocked || worker.no_vm_operation_before > now,
        }
    }

    /// Returns the position of the worker on a VM; `None` if there is none, or if runs of earlier
    /// owners may still be in progress on it, because it has not responded.
    fn maintainable_worker(&self, vm: &Vm) -> Option<usize> {
        let at = self.worker_position(vm.worker.as_ref()?)?;
        let awaits_response = self.unaccounted && !self.workers[at].responded;
        (!awaits_response).then_some(at)
    }

    /// Returns whether the maintenance of a VM may end all runs on it: only persistent ones, which
    /// other workers can take and whose steps allow all of them to be unavailable now.
    fn is_evictable(&self, wave: usize, vm: usize, now: MonotonicMillis) -> bool {
        let Some(at) = self.maintainable_worker(&self.vms[vm]) else {
            return false;
        };
        let worker = &self.workers[at];
        worker.runs.iter().any(|run| run.persistent)
            && worker.no_vm_operation_before <= now
            && !worker.unresponsive
            && self.is_first_owner_of(&self.waves[wave])
            && self.may_all_be_unavailable(at, now)
    }

    /// Returns whether a worker has only persistent runs, which may all be unavailable now and fit
    /// on other workers.
    fn may_all_be_unavailable(&self, at: usize, now: MonotonicMillis) -> bool {
        self.workers[at].runs.iter().all(|run| {
            let siblings = self.workers[at]
                .runs
                .iter()
                .filter(|row| run.task.is_sibling_of(row.task));
            let sibling_count = u32::try_from(siblings.count()).unwrap_or(u32::MAX);
            run.persistent
                && matches!(run.phase, RunPhase::Running { .. })
                && self.allows_unavailable(run, sibling_count)
                && self.fits_elsewhere(at, run, now)
        })
    }

    /// Stops the persistent runs on a draining worker, as far as the limits of their steps allow.
    fn evict_persistent(&mut self, at: usize, now: MonotonicMillis) {
        if self.is_settling(now) {
            return;
        }
        for position in 0..self.workers[at].runs.len() {
            let run = &self.workers[at].runs[position];
            let running = matches!(run.phase, RunPhase::Running { .. });
            if run.persistent
                && running
                && self.may_be_unavailable(run)
                && self.fits_elsewhere(at, run, now)
            {
                self.order_stop(at, position, now);
            }
        }
    }

    /// Returns whether another worker has capacity for a persistent run.
    fn fits_elsewhere(&self, at: usize, run: &Run, now: MonotonicMillis) -> bool {
        let here = &self.workers[at].entry;
        self.fits_where(run, now, |worker| {
            worker.entry.pool == here.pool && worker.entry.id != here.id
        })
    }

    /// Returns whether a worker for which `may_run` is true has capacity for a persistent run, in
    /// the pool where the run's queue is served.
    fn fits_where(
        &self,
        run: &Run,
        now: MonotonicMillis,
        may_run: impl Fn(&Worker) -> bool,
    ) -> bool {
        let Some((job, step)) = self.described_step(run.task) else {
            return true;
        };
        let queue = self.catalogue.queue(&job.spec.queue);
        let pool = queue.map_or(&job.spec.pool, |queue| &queue.pool);
        self.workers.iter().any(|worker| {
            let same_step = |row: &&Run| row.task.step_id() == run.task.step_id();
            let step_runs = worker.runs.iter().filter(same_step);
            let labels = &worker.entry.labels;
            worker.entry.pool == *pool
                && may_run(worker)
                && worker.accepts_tasks(now)
                && worker.entry.capacity.fits(worker.used, run.reservation)
                && (step.required_label.is_empty() || labels.contains(&step.required_label))
                && (step.anti_affinity == 0 || step_runs.count() < step.anti_affinity as usize)
        })
    }

    /// Returns whether the step's limit allows the scheduler to make this run unavailable now.
    fn may_be_unavailable(&self, run: &Run) -> bool {
        self.allows_unavailable(run, 0)
    }

    /// Returns whether the step's limit allows the scheduler to make this run and `more` fully
    /// running ones of its step unavailable now.
    fn allows_unavailable(&self, run: &Run, more: u32) -> bool {
        let Some((job, spec)) = self.described_step(run.task) else {
            return true;
        };
        let step = usize::from(run.task.step);
        let Some(max_unavailable) = spec.max_unavailable else {
            return true;
        };
        let Some(at) = job.occurrence_position(run.task.occurrence) else {
            return true;
        };
        let mut unavailable = 0;
        for (index, task) in job.occurrences[at].steps[step].tasks.iter().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let id = crate::id::TaskId { index, ..run.task };
            if id != run.task && !self.is_fully_running(id, task) {
                unavailable += 1;
            }
        }
        unavailable + more < max_unavailable
    }

    /// Returns whether a task is in full operation (100 percent) on a responsive worker whose VM
    /// has no pending operation.
    fn is_fully_running(&self, id: crate::id::TaskId, task: &crate::job::Task) -> bool {
        let TaskStatus::Placed { worker } = &task.status else {
            return false;
        };
        let Some(at) = self.worker_position(worker) else {
            return false;
        };
        let worker = &self.workers[at];
        let run = worker.run_position(id, task.run).map(|at| &worker.runs[at]);
        run.is_some_and(|run| matches!(run.phase, RunPhase::Running { .. }) && run.percent >= 100)
            && !worker.unresponsive
            && !worker.vm_operation_pending
    }

    fn plan_moves(&mut self, now: MonotonicMillis) {
        let pools: Vec<(String, bool)> = self
            .catalogue
            .pools
            .iter()
            .map(|pool| (pool.name.clone(), pool.spare))
            .collect();
        let position = |name: &str| pools.iter().position(|pool| pool.0 == name);
        let demand_cpu_millis = self.demands_cpu_millis(&pools, now);
        let mut demands: Vec<PoolDemand> = pools
            .iter()
            .zip(demand_cpu_millis)
            .map(|(pool, demand_cpu_millis)| PoolDemand {
                demand_cpu_millis,
                capacity_cpu_millis: 0,
                spare: pool.1,
                demand_known: self.arrivals.iter().any(|row| row.pool == pool.0),
            })
            .collect();
        let mut vms = Vec::new();
        let mut names = Vec::new();
        for vm in &self.vms {
            let pending = self.pending_position(&vm.name);
            let pending = pending.ok().map(|at| &self.pending_operations[at]);
            let pool = pending
                .and_then(|row| row.to_pool.as_ref())
                .unwrap_or(&vm.pool);
            let Some(pool) = position(pool) else { continue };
            if vm.state == VmState::Down {
                continue;
            }
            let worker = vm.worker.as_ref().and_then(|id| self.worker_position(id));
            let unavailable = worker.is_some_and(|at| {
                let worker = &self.workers[at];
                !worker.entry.ready || worker.unresponsive || (worker.draining && pending.is_none())
            });
            if !unavailable {
                demands[pool].capacity_cpu_millis += vm.capacity.cpu_millis;
            }
            let maintenance_due = self.is_due_for_maintenance(&vm.name);
            let barred = self.is_operation_barred(vm, now);
            if barred || vm.state != VmState::Up || unavailable || maintenance_due {
                continue;
            }
            let idle = match worker {
                None if vm.worker.is_none() => Some(u64::MAX),
                None => None,
                Some(at) => {
                    let worker = &self.workers[at];
                    let empty = worker.runs.is_empty()
                        && worker.responded
                        && !worker.unresponsive
                        && !worker.draining
                        && worker.no_vm_operation_before <= now;
                    empty.then(|| now.since(worker.idle_since).get())
                }
            };
            if let Some(idle_ms) = idle {
                vms.push(MovableVm {
                    pool,
                    cpu_millis: vm.capacity.cpu_millis,
                    idle_ms,
                });
                names.push(vm.name.clone());
            }
        }
        let rate = self.settings.vm_operations_per_s * MOVES_RATE_PERCENT / 100;
        let max_moves = (rate * PLAN_INTERVAL_MS / 1_000).max(1);
        let max_moves = usize::try_from(max_moves).unwrap_or(usize::MAX);
        for vm_move in plan_moves(&demands, &vms, max_moves) {
            let vm = names[vm_move.vm].clone();
            self.start_operation(vm, Some(pools[vm_move.to_pool].0.clone()), None, now);
        }
    }

    /// Returns whether the VM of a worker still needs maintenance for an open wave.
    pub(super) fn is_worker_due_for_maintenance(&self, worker: &WorkerId) -> bool {
        self.workers_due.binary_search(worker).is_ok()
    }

    /// Returns whether a VM still needs maintenance for an open wave.
    fn is_due_for_maintenance(&self, vm: &str) -> bool {
        self.waves.iter().any(|state| {
            let found = state
                .remaining
                .binary_search_by(|name| name.as_str().cmp(vm));
            !state.completed && found.is_ok()
        })
    }

    /// Returns the capacity that each pool should have, in thousandths of a core. It is the largest
    /// of three figures, plus one VM for each persistent step that found no worker: running work
    /// and work that could start now; arriving work; and the VMs that persistent tasks with a limit
    /// of tasks per worker need.
    fn demands_cpu_millis(&self, pools: &[(String, bool)], now: MonotonicMillis) -> Vec<u64> {
        let position = |name: &str| pools.iter().position(|pool| pool.0 == name);
        let mut demands = vec![PoolWork::default(); pools.len()];
        for worker in &self.workers {
            if let Some(at) = position(&worker.entry.pool) {
                let work = &mut demands[at];
                work.demand_cpu_millis += worker.used.cpu_millis;
                work.vm_cpu_millis = work.vm_cpu_millis.max(worker.entry.capacity.cpu_millis);
            }
        }
        for id in &self.open {
            let Some(job) = self.job(*id) else { continue };
            let queue = self.catalogue.queue(&job.spec.queue);
            if let Some(at) = queue.and_then(|queue| position(&queue.pool)) {
                demands[at].add_job(job);
            }
        }
        for (work, (pool, _)) in demands.iter_mut().zip(pools) {
            let arrivals = self.arrivals.iter().find(|row| row.pool == *pool);
            work.arriving_cpu_millis = arrivals.map_or(0, |row| row.cpu_millis(now));
            let unplaced = self.unplaced_pools.iter().filter(|row| *row == pool);
            work.unplaced_steps = unplaced.count() as u64;
        }
        demands.iter().map(PoolWork::capacity_cpu_millis).collect()
    }
}

/// The work of one pool, from which the capacity that it should have is computed.
#[derive(Debug, Clone, Default)]
struct PoolWork {
    /// CPU of running work and of work that could start now, in thousandths of a core.
    demand_cpu_millis: u64,
    /// CPU that arriving work keeps busy, in thousandths of a core.
    arriving_cpu_millis: u64,
    /// CPU of the pool's largest VM, in thousandths of a core.
    vm_cpu_millis: u64,
    /// VMs that persistent tasks with a limit of tasks per worker need.
    min_vms: u32,
    /// Persistent steps that found no worker.
    unplaced_steps: u64,
}

impl PoolWork {
    fn add_job(&mut self, job: &Job) {
        for occurrence in &job.occurrences {
            for (step, spec) in occurrence.steps.iter().zip(&job.spec.steps) {
                if step.waiting > 0 && occurrence.may_start(spec) {
                    self.demand_cpu_millis +=
                        u64::from(step.waiting) * spec.reservation().cpu_millis;
                }
                if spec.persistent && spec.anti_affinity > 0 {
                    self.min_vms = self.min_vms.max(spec.count.div_ceil(spec.anti_affinity));
                }
            }
        }
    }

    fn capacity_cpu_millis(&self) -> u64 {
        let demand = self
            .demand_cpu_millis
            .max(self.arriving_cpu_millis * ARRIVAL_PERCENT / 100)
            .max(u64::from(self.min_vms) * self.vm_cpu_millis);
        demand + self.unplaced_steps * self.vm_cpu_millis
    }
}
