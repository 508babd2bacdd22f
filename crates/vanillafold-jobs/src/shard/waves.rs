//! Maintenance waves: which VMs go out of service next, and how their persistent tasks move before.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    MaintenanceCandidate, MaintenanceChoice, WaveProgress, choose_maintenance, paced_unavailable,
};

use super::root::Shard;
use super::vm_operations::{Vm, VmState};
use crate::id::WorkerId;
use crate::job::TaskStatus;
use crate::spec::Resources;
use crate::worker::{Run, RunPhase, Worker};

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

/// Status of a maintenance wave, as reported to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaveStatus {
    /// Number of the wave.
    pub wave: u64,
    /// Whether the maintenance of all its VMs has finished.
    pub completed: bool,
}

/// A maintenance wave in progress.
#[derive(Debug)]
pub(super) struct WaveState {
    pub(super) wave: Wave,
    /// When this owner first saw the wave.
    seen_at: MonotonicMillis,
    /// VMs whose maintenance has started, sorted.
    pub(super) started: Vec<String>,
    /// VMs whose maintenance has not started as far as known, sorted.
    remaining: Vec<String>,
    /// VMs for which an order of this owner got no answer and may have been carried out, sorted.
    unanswered: Vec<String>,
    completed: bool,
    /// The value of `completed` that was last reported to the operator.
    reported_completed: Option<bool>,
}

/// A wave that this owner first sees this long after its takeover was unknown to earlier owners, in
/// milliseconds. Daemons learn of a wave one after the other, all of them in less time than this.
const WAVE_PROPAGATION_MS: u64 = 5_000;
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

impl Shard {
    /// Adds a maintenance wave, unless it is known. A VM that it names several times counts once.
    pub fn add_wave(&mut self, mut wave: Wave, now: MonotonicMillis) {
        if self
            .waves
            .iter()
            .any(|known| known.wave.number == wave.number)
        {
            return;
        }
        let mut names = Vec::with_capacity(wave.vms.len());
        wave.vms.retain(|name| {
            let found = names.binary_search(name);
            found.map_err(|at| names.insert(at, name.clone())).is_err()
        });
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
            unanswered: Vec::new(),
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

    pub(super) fn record_maintenance_started(&mut self, wave: u64, vm: &str) {
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

    /// Records that the order to maintain a VM got no answer.
    pub(super) fn record_maintenance_unanswered(&mut self, wave: u64, vm: &str) {
        let Some(state) = self.waves.iter_mut().find(|row| row.wave.number == wave) else {
            return;
        };
        let unanswered = &mut state.unanswered;
        if let Err(at) = unanswered.binary_search_by(|name| name.as_str().cmp(vm)) {
            unanswered.insert(at, vm.to_owned());
        }
    }

    /// Returns whether an order for the maintenance of a VM may have been carried out before, by this
    /// or an earlier owner. The platform then confirms another one as done without repeating the
    /// maintenance, so runs that have started on the VM since would continue.
    pub(super) fn may_be_maintained_before(&self, wave: u64, vm: &str) -> bool {
        let state = self.waves.iter().find(|row| row.wave.number == wave);
        state.is_none_or(|state| !self.is_first_order(state, vm))
    }

    fn is_first_order(&self, state: &WaveState, vm: &str) -> bool {
        let unanswered = &state.unanswered;
        let found = unanswered.binary_search_by(|name| name.as_str().cmp(vm));
        self.is_first_owner_of(state) && found.is_err()
    }

    /// Updates the list of workers whose VMs are due for maintenance.
    pub(super) fn refresh_workers_due(&mut self) {
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

    pub(super) fn plan_wave(&mut self, at: usize, now: MonotonicMillis) {
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
            self.stop_persistent(at, now, |shard, run| {
                shard.has_unavailability_limit(run)
                    && shard.fits_where(run, now, |other| !shard.is_due(other))
            });
        }
    }

    /// Stops the persistent runs on a worker for which `may_move` is true, as far as the limits of
    /// their steps allow.
    fn stop_persistent(
        &mut self,
        at: usize,
        now: MonotonicMillis,
        may_move: impl Fn(&Self, &Run) -> bool,
    ) {
        for position in 0..self.workers[at].runs.len() {
            let run = &self.workers[at].runs[position];
            if run.persistent
                && matches!(run.phase, RunPhase::Running { .. })
                && self.may_be_unavailable(run)
                && may_move(self, run)
            {
                self.order_stop(at, position, now);
            }
        }
    }

    /// Returns whether the takeover was so recent that an operation of an earlier owner may still end
    /// tasks which their workers have just reported as running. Such tasks count as available, so
    /// none is stopped meanwhile for the sake of a wave.
    pub(super) const fn is_settling(&self, now: MonotonicMillis) -> bool {
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

    /// Returns whether no earlier owner can have issued operations for a wave.
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
    /// owners may still be in progress on it, because it is not accounted for.
    fn maintainable_worker(&self, vm: &Vm) -> Option<usize> {
        let at = self.worker_position(vm.worker.as_ref()?)?;
        let is_awaited = self.unaccounted && !self.workers[at].is_accounted();
        (!is_awaited).then_some(at)
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
            && self.is_first_order(&self.waves[wave], &self.vms[vm].name)
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
        self.stop_persistent(at, now, |shard, run| shard.fits_elsewhere(at, run, now));
    }

    /// Returns whether another worker has capacity for a persistent run.
    fn fits_elsewhere(&self, at: usize, run: &Run, now: MonotonicMillis) -> bool {
        let here = &self.workers[at].entry.id;
        self.fits_where(run, now, |worker| worker.entry.id != *here)
    }

    /// Returns whether a worker for which `may_run` is true has capacity for a persistent run, in
    /// the pool where the run's queue is served.
    fn fits_where(
        &self,
        run: &Run,
        now: MonotonicMillis,
        may_run: impl Fn(&Worker) -> bool,
    ) -> bool {
        self.described_step(run.task).is_none() || self.room_for(run, now, &[], may_run).is_some()
    }

    /// Returns the position of a worker for which `may_run` is true and that has capacity for a run beside
    /// what is claimed of it, in the pool where the run's queue is served.
    pub(super) fn room_for(
        &self,
        run: &Run,
        now: MonotonicMillis,
        claimed: &[(usize, Resources)],
        may_run: impl Fn(&Worker) -> bool,
    ) -> Option<usize> {
        let (job, step) = self.described_step(run.task)?;
        let queue = self.catalogue.queue(&job.spec.queue);
        let pool = queue.map_or(&job.spec.pool, |queue| &queue.pool);
        let claimed_of = |at: usize| {
            let mut sum = Resources::default();
            for row in claimed.iter().filter(|row| row.0 == at) {
                sum.add(row.1);
            }
            sum
        };
        let mut workers = self.workers.iter().enumerate();
        let found = workers.find(|(at, worker)| {
            let same_step = |row: &&Run| row.task.step_id() == run.task.step_id();
            let step_runs = worker.runs.iter().filter(same_step);
            let labels = &worker.entry.labels;
            worker.entry.pool == *pool
                && may_run(worker)
                && worker.accepts_tasks(now)
                && worker.has_room(claimed_of(*at), run.reservation)
                && (step.required_label.is_empty() || labels.contains(&step.required_label))
                && (step.anti_affinity == 0 || step_runs.count() < step.anti_affinity as usize)
        });
        found.map(|(at, _)| at)
    }

    /// Returns whether the step's limit allows the scheduler to make this run unavailable now.
    pub(super) fn may_be_unavailable(&self, run: &Run) -> bool {
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

    /// Returns whether the VM of a worker still needs maintenance for an open wave.
    pub(super) fn is_worker_due_for_maintenance(&self, worker: &WorkerId) -> bool {
        self.workers_due.binary_search(worker).is_ok()
    }

    /// Returns whether a VM still needs maintenance for an open wave.
    pub(super) fn is_due_for_maintenance(&self, vm: &str) -> bool {
        self.waves.iter().any(|state| {
            let found = state
                .remaining
                .binary_search_by(|name| name.as_str().cmp(vm));
            !state.completed && found.is_ok()
        })
    }
}
