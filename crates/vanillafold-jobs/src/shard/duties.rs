//! Moves of machines between pools, and waves of upkeep.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    MaintenanceCandidate, MaintenanceChoice, MovableVm, PoolDemand, choose_maintenance, plan_moves,
};

use super::root::Shard;
use crate::id::WorkerId;
use crate::job::TaskStatus;
use crate::spec::Resources;
use crate::worker::{Run, RunPhase};

/// How a machine stands at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It is in its pool.
    Up,
    /// It is on the way to a pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It has failed.
    Down,
}

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// How it stands.
    pub state: MachineState,
    /// What it has.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
    /// The worker that it runs, if any.
    pub worker: Option<WorkerId>,
}

/// A wave of upkeep as the operator asked for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines that need it.
    pub machines: Vec<String>,
    /// Within what time, in milliseconds.
    pub duration_ms: u64,
    /// Most machines that may be away for it at one time.
    pub max_away: u32,
}

/// An order about a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineDuty {
    /// Let it change its pool.
    Move {
        /// The machine.
        machine: String,
        /// The pool that it goes to.
        pool: String,
    },
    /// Let it have its upkeep.
    Upkeep {
        /// The machine.
        machine: String,
        /// For this wave.
        wave: u64,
    },
}

/// How a wave stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaveStatus {
    /// The wave.
    pub wave: u64,
    /// All its machines have had their upkeep.
    pub completed: bool,
}

/// A machine that was ordered to change.
#[derive(Debug)]
pub(super) struct Ordered {
    machine: String,
    /// The pool that it goes to; `None` for upkeep.
    to_pool: Option<String>,
    /// The wave that it is away for.
    wave: Option<u64>,
    /// The worker that the machine ran when it was ordered.
    worker: Option<WorkerId>,
    at: MonotonicMillis,
    phase: OrderedPhase,
}

/// How an order about a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderedPhase {
    /// It is out.
    Out,
    /// It got no answer: it is repeated.
    Unanswered,
    /// It was carried out.
    Done,
}

/// A wave that is under way.
#[derive(Debug)]
pub(super) struct WaveState {
    pub(super) wave: Wave,
    /// When this owner first saw it.
    seen_at: MonotonicMillis,
    /// Machines that have begun their upkeep, sorted.
    pub(super) begun: Vec<String>,
    completed: bool,
    /// What the operator was told last.
    told: Option<bool>,
}

/// A wave that comes so long after a takeover was not known to an earlier owner, in milliseconds:
/// longer than daemons take to hear of it, one after the other.
const WAVE_NEWS_MS: u64 = 5_000;
/// An order about a machine is not looked for in the list before this time, in milliseconds: the
/// list may be older than the order.
const LIST_LAG_MS: u64 = 800;
/// An order that got no answer is repeated after this time, in milliseconds.
const REPEAT_DUTY_MS: u64 = 400;
/// Between two plans, in milliseconds: the list of machines is read about twice a second.
const PLAN_INTERVAL_MS: u64 = 100;
/// A pool should have this part of what arriving work asks for, in percent: some above, to clear
/// what has waited meanwhile.
const ARRIVAL_PERCENT: u64 = 120;
/// The part of the platform's rate of orders about machines that moves use, in percent: upkeep
/// and repeats need the rest.
const MOVES_RATE_PERCENT: u64 = 80;

impl Shard {
    /// Takes in the list of machines.
    pub fn set_machines(&mut self, mut machines: Vec<Machine>, now: MonotonicMillis) {
        machines.sort_by(|a, b| a.name.cmp(&b.name));
        self.machines = machines;
        self.machines_listed = true;
        let machines = &self.machines;
        self.ordered.retain(|ordered| {
            let fresh = now.since(ordered.at).get() < LIST_LAG_MS;
            let found = machines.binary_search_by(|row| row.name.cmp(&ordered.machine));
            let settled = match (found, &ordered.to_pool) {
                (Err(_), _) => true,
                (Ok(at), Some(pool)) => {
                    machines[at].state == MachineState::Up && machines[at].pool == *pool
                }
                (Ok(at), None) => machines[at].state == MachineState::Up,
            };
            fresh || ordered.phase != OrderedPhase::Done || !settled
        });
    }

    /// Takes in a wave; one that is known is passed over.
    pub fn add_wave(&mut self, wave: Wave, now: MonotonicMillis) {
        if self
            .waves
            .iter()
            .any(|known| known.wave.number == wave.number)
        {
            return;
        }
        let stored = self.stored_waves.iter().find(|row| row.0 == wave.number);
        let begun = stored.map_or(Vec::new(), |row| row.1.clone());
        self.waves.push(WaveState {
            wave,
            seen_at: now,
            begun,
            completed: false,
            told: None,
        });
    }

    /// The next status that the operator has not been told of.
    #[must_use]
    pub fn next_wave_status(&self) -> Option<WaveStatus> {
        let untold = self
            .waves
            .iter()
            .find(|state| state.told != Some(state.completed));
        untold.map(|state| WaveStatus {
            wave: state.wave.number,
            completed: state.completed,
        })
    }

    /// The operator has been told how a wave stands.
    pub fn wave_told(&mut self, status: &WaveStatus) {
        let state = self
            .waves
            .iter_mut()
            .find(|row| row.wave.number == status.wave);
        if let Some(state) = state {
            state.told = Some(status.completed);
        }
    }

    /// Whether machines are on their way whose workers will come soon.
    #[must_use]
    pub const fn expects_workers(&self) -> bool {
        !self.ordered.is_empty()
    }

    /// Orders about machines since the last call.
    pub fn take_duties(&mut self) -> Vec<MachineDuty> {
        std::mem::take(&mut self.duties)
    }

    /// An order about a machine was carried out.
    pub fn duty_done(&mut self, duty: &MachineDuty, now: MonotonicMillis, now_unix_ms: u64) {
        let machine = match duty {
            MachineDuty::Move { machine, .. } | MachineDuty::Upkeep { machine, .. } => machine,
        };
        let found = self.ordered.iter_mut().find(|row| row.machine == *machine);
        let Some(ordered) = found.filter(|row| row.phase != OrderedPhase::Done) else {
            return;
        };
        ordered.phase = OrderedPhase::Done;
        ordered.at = now;
        let worker = ordered.worker.clone();
        if let MachineDuty::Upkeep { machine, wave } = duty {
            self.note_begun(*wave, machine);
        }
        // Everything on the machine has ended with the worker that it had.
        let Some(id) = worker else { return };
        if let Some(at) = self.worker_position(&id) {
            self.lose_runs(at, |_| true, now, now_unix_ms);
            self.workers.remove(at);
        }
        self.gone.push(id);
    }

    fn note_begun(&mut self, wave: u64, machine: &str) {
        let Some(state) = self.waves.iter_mut().find(|row| row.wave.number == wave) else {
            return;
        };
        let found = state
            .begun
            .binary_search_by(|name| name.as_str().cmp(machine));
        if let Err(at) = found {
            state.begun.insert(at, machine.to_owned());
            self.dirty_waves.push(wave);
        }
    }

    /// An order about a machine was not carried out, or (`unknown`) it is not known whether.
    pub fn duty_failed(&mut self, duty: &MachineDuty, unknown: bool, now: MonotonicMillis) {
        let machine = match duty {
            MachineDuty::Move { machine, .. } | MachineDuty::Upkeep { machine, .. } => machine,
        };
        let Some(at) = self.ordered.iter().position(|row| row.machine == *machine) else {
            return;
        };
        match unknown {
            true => {
                self.ordered[at].at = now;
                self.ordered[at].phase = OrderedPhase::Unanswered;
            }
            false => {
                self.ordered.remove(at);
                if let Some(at) = self.worker_of(machine) {
                    self.workers[at].reserved = false;
                    self.workers[at].leaving = false;
                    let pause = now.get() + REPEAT_DUTY_MS;
                    self.workers[at].no_duty_until = MonotonicMillis::new(pause);
                }
            }
        }
    }

    /// Whether the worker that the platform says a machine runs has been heard. Workers that are
    /// registered but run on no machine have ended.
    pub(super) fn machine_heard(&self, machine: &Machine) -> bool {
        machine.worker.as_ref().is_none_or(|id| {
            self.worker_position(id)
                .is_some_and(|at| self.workers[at].heard)
        })
    }

    fn worker_of(&self, machine: &str) -> Option<usize> {
        let found = self
            .machines
            .binary_search_by(|row| row.name.as_str().cmp(machine));
        let worker = self.machines[found.ok()?].worker.as_ref()?;
        self.worker_position(worker)
    }

    // --- Plans -----------------------------------------------------------------------------

    /// Plans upkeep and moves.
    pub(super) fn plan_duties(&mut self, now: MonotonicMillis) {
        let begin = self.taken_over_at.get() + LIST_LAG_MS;
        let early = now.get() < begin || now < self.next_plan_at;
        if !self.machines_listed || early {
            return;
        }
        self.next_plan_at = MonotonicMillis::new(now.get() + PLAN_INTERVAL_MS);
        self.repeat_duties(now);
        for at in 0..self.waves.len() {
            self.plan_wave(at, now);
        }
        if self.settings.moves {
            self.plan_moves(now);
        }
    }

    fn repeat_duties(&mut self, now: MonotonicMillis) {
        for row in &mut self.ordered {
            let due = now.since(row.at).get() >= REPEAT_DUTY_MS;
            if row.phase != OrderedPhase::Unanswered || !due {
                continue;
            }
            row.phase = OrderedPhase::Out;
            self.duties.push(match (&row.to_pool, row.wave) {
                (Some(pool), _) => MachineDuty::Move {
                    machine: row.machine.clone(),
                    pool: pool.clone(),
                },
                (None, wave) => MachineDuty::Upkeep {
                    machine: row.machine.clone(),
                    wave: wave.unwrap_or(0),
                },
            });
        }
    }

    /// Whether this owner may not order a machine now: it has, or an earlier owner may have
    /// within the pause between two owners. A machine is away for a while after an order and its
    /// worker then begins a new life: one that has lived for long enough had no order.
    fn is_ordered(&self, machine: &Machine, now: MonotonicMillis) -> bool {
        let paused = now.get() < self.taken_over_at.get() + self.settings.duty_pause_ms;
        let worker = machine
            .worker
            .as_ref()
            .and_then(|id| self.worker_position(id));
        let old = worker
            .is_some_and(|at| self.workers[at].lived_ms(now) > Some(self.settings.duty_pause_ms));
        let ordered = self.ordered.iter().any(|row| row.machine == machine.name);
        ordered || (paused && !old)
    }

    fn plan_wave(&mut self, at: usize, now: MonotonicMillis) {
        let state = &self.waves[at];
        let number = state.wave.number;
        if state.completed {
            return;
        }
        let state = &self.waves[at];
        let mut left = Vec::new();
        let mut away = 0;
        for name in &state.wave.machines {
            let Ok(machine) = self.machines.binary_search_by(|row| row.name.cmp(name)) else {
                continue;
            };
            let machine = &self.machines[machine];
            let begun = state.begun.binary_search(name).is_ok();
            let upkeep = machine.state == MachineState::Upkeep
                || self
                    .ordered
                    .iter()
                    .any(|row| row.machine == *name && row.wave.is_some());
            match begun {
                _ if upkeep => away += 1,
                true => {}
                false => left.push(machine.clone()),
            }
        }
        if left.is_empty() && away == 0 {
            log::info!(wave = number; "wave completed");
            self.waves[at].completed = true;
            return;
        }
        self.begin_upkeep(at, left, away, now);
    }

    fn begin_upkeep(&mut self, at: usize, left: Vec<Machine>, away: u32, now: MonotonicMillis) {
        let number = self.waves[at].wave.number;
        let places = self.waves[at].wave.max_away.saturating_sub(away);
        let mut left: Vec<Machine> = left
            .into_iter()
            .filter(|machine| machine.state == MachineState::Up && !self.is_ordered(machine, now))
            .collect();
        for _ in 0..places {
            let candidates: Vec<MaintenanceCandidate> = left
                .iter()
                .map(|machine| self.upkeep_candidate(&self.waves[at], machine, now))
                .collect();
            match choose_maintenance(&candidates) {
                MaintenanceChoice::Wait => return,
                MaintenanceChoice::Drain(chosen) => {
                    let machine = left.swap_remove(chosen);
                    if let Some(at) = self.worker_of(&machine.name) {
                        self.workers[at].reserved = true;
                        self.move_persistent(at, now);
                    }
                }
                MaintenanceChoice::Start(chosen) => {
                    let empty = candidates[chosen].empty;
                    let machine = left.swap_remove(chosen);
                    self.order_machine(machine.name, None, Some(number), now);
                    if !empty {
                        // The next plan knows where its tasks have gone.
                        return;
                    }
                }
            }
        }
    }

    fn order_machine(
        &mut self,
        machine: String,
        to_pool: Option<String>,
        wave: Option<u64>,
        now: MonotonicMillis,
    ) {
        let worker = self.worker_of(&machine);
        if let Some(at) = worker {
            self.workers[at].reserved = true;
            self.workers[at].leaving = true;
        }
        let worker = worker.map(|at| self.workers[at].entry.id.clone());
        self.duties.push(match &to_pool {
            Some(pool) => MachineDuty::Move {
                machine: machine.clone(),
                pool: pool.clone(),
            },
            None => MachineDuty::Upkeep {
                machine: machine.clone(),
                wave: wave.unwrap_or(0),
            },
        });
        self.ordered.push(Ordered {
            machine,
            to_pool,
            wave,
            worker,
            at: now,
            phase: OrderedPhase::Out,
        });
    }

    /// Whether no earlier owner can have given orders for a wave. The platform calls an upkeep done
    /// that an earlier owner ordered: what runs there by now then runs on.
    fn is_first_owner_of(&self, state: &WaveState) -> bool {
        state.seen_at.since(self.taken_over_at).get() >= WAVE_NEWS_MS
    }

    fn upkeep_candidate(
        &self,
        wave: &WaveState,
        machine: &Machine,
        now: MonotonicMillis,
    ) -> MaintenanceCandidate {
        let worker = machine
            .worker
            .as_ref()
            .and_then(|id| self.worker_position(id));
        // What earlier owners started on a worker that has not been heard may run there.
        let silent = |at: &usize| self.unclear && !self.workers[*at].heard;
        let Some(at) = worker.filter(|at| !silent(at)) else {
            return MaintenanceCandidate {
                empty: machine.worker.is_none(),
                evictable: false,
                draining: false,
                busy_core_ms: 0,
                persistent_tasks: 0,
                blocked: machine.worker.is_some(),
            };
        };
        let worker = &self.workers[at];
        let persistent = worker.runs.iter().filter(|run| run.persistent).count();
        let pinned = worker
            .runs
            .iter()
            .any(|run| run.persistent && !self.may_miss_one(run));
        let free = worker.no_duty_until <= now && !worker.suspect;
        MaintenanceCandidate {
            empty: worker.runs.is_empty() && worker.no_duty_until <= now,
            evictable: free
                && persistent > 0
                && self.is_first_owner_of(wave)
                && self.may_miss_all(at, now),
            draining: worker.reserved,
            busy_core_ms: worker.used.cpu_millis,
            persistent_tasks: u32::try_from(persistent).unwrap_or(u32::MAX),
            blocked: pinned || worker.no_duty_until > now,
        }
    }

    /// Whether only persistent tasks run on a worker that may all be away now and have room elsewhere.
    fn may_miss_all(&self, at: usize, now: MonotonicMillis) -> bool {
        self.workers[at].runs.iter().all(|run| {
            let beside = self.workers[at]
                .runs
                .iter()
                .filter(|row| run.task.is_beside(row.task));
            let beside = u32::try_from(beside.count()).unwrap_or(u32::MAX);
            run.persistent
                && matches!(run.phase, RunPhase::Running { .. })
                && self.may_miss(run, beside)
                && self.fits_elsewhere(at, run, now)
        })
    }

    /// Stops persistent runs on a worker that is to become empty, as far as their steps allow.
    fn move_persistent(&mut self, at: usize, now: MonotonicMillis) {
        for position in 0..self.workers[at].runs.len() {
            let run = &self.workers[at].runs[position];
            let running = matches!(run.phase, RunPhase::Running { .. });
            if run.persistent
                && running
                && self.may_miss_one(run)
                && self.fits_elsewhere(at, run, now)
            {
                self.order_stop(at, position, now);
            }
        }
    }

    /// Whether another worker has room for a persistent run.
    fn fits_elsewhere(&self, at: usize, run: &Run, now: MonotonicMillis) -> bool {
        let Some(job) = self.job(run.task.job) else {
            return true;
        };
        let step = &job.spec.steps[usize::from(run.task.step)];
        let pool = &self.workers[at].entry.pool;
        self.workers.iter().enumerate().any(|(other, worker)| {
            let same_step = |row: &&Run| row.task.step_id() == run.task.step_id();
            let beside = worker.runs.iter().filter(same_step);
            let labels = &worker.entry.labels;
            other != at
                && worker.entry.pool == *pool
                && worker.is_usable(now)
                && worker.entry.capacity.fits(worker.used, run.booked)
                && (step.required_label.is_empty() || labels.contains(&step.required_label))
                && (step.anti_affinity == 0 || beside.count() < step.anti_affinity as usize)
        })
    }

    /// Whether a step allows that this run is away by our action now.
    fn may_miss_one(&self, run: &Run) -> bool {
        self.may_miss(run, 0)
    }

    /// Whether a step allows that this run and `more` at-work ones of its step are away by our action
    /// now.
    fn may_miss(&self, run: &Run, more: u32) -> bool {
        let Some(job) = self.job(run.task.job) else {
            return true;
        };
        let step = usize::from(run.task.step);
        let Some(may_miss) = job.spec.steps[step].may_miss else {
            return true;
        };
        let Some(at) = job.occurrence_position(run.task.occurrence) else {
            return true;
        };
        let mut away = 0;
        for (index, task) in job.occurrences[at].steps[step].tasks.iter().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let id = crate::id::TaskId { index, ..run.task };
            if id != run.task && !self.is_at_work(id, task) {
                away += 1;
            }
        }
        away + more < may_miss
    }

    fn is_at_work(&self, id: crate::id::TaskId, task: &crate::job::Task) -> bool {
        let TaskStatus::Placed { worker } = &task.status else {
            return false;
        };
        let Some(at) = self.worker_position(worker) else {
            return false;
        };
        let worker = &self.workers[at];
        let run = worker.run_position(id, task.run).map(|at| &worker.runs[at]);
        run.is_some_and(|run| matches!(run.phase, RunPhase::Running { .. }) && run.percent >= 100)
            && !worker.suspect
            && !worker.leaving
    }

    fn plan_moves(&mut self, now: MonotonicMillis) {
        let pools: Vec<(String, bool)> = self
            .catalogue
            .pools
            .iter()
            .map(|pool| (pool.name.clone(), pool.spare))
            .collect();
        let position = |name: &str| pools.iter().position(|pool| pool.0 == name);
        let mut demands: Vec<PoolDemand> = pools
            .iter()
            .map(|pool| PoolDemand {
                demand_cpu_millis: 0,
                capacity_cpu_millis: 0,
                spare: pool.1,
                demand_known: self.arrivals.iter().any(|row| row.pool == pool.0),
            })
            .collect();
        let mut vms = Vec::new();
        let mut names = Vec::new();
        for machine in &self.machines {
            let ordered = self.ordered.iter().find(|row| row.machine == machine.name);
            let pool = ordered
                .and_then(|row| row.to_pool.as_ref())
                .unwrap_or(&machine.pool);
            let Some(pool) = position(pool) else { continue };
            if machine.state == MachineState::Down {
                continue;
            }
            let worker = machine
                .worker
                .as_ref()
                .and_then(|id| self.worker_position(id));
            let draining = worker.is_some_and(|at| {
                let worker = &self.workers[at];
                !worker.entry.ready || worker.suspect || (worker.reserved && ordered.is_none())
            });
            if !draining {
                demands[pool].capacity_cpu_millis += machine.capacity.cpu_millis;
            }
            let due = self.is_due(&machine.name);
            let barred = self.is_ordered(machine, now);
            if barred || machine.state != MachineState::Up || draining || due {
                continue;
            }
            let idle = match worker {
                None if machine.worker.is_none() => Some(u64::MAX),
                None => None,
                Some(at) => {
                    let worker = &self.workers[at];
                    let empty = worker.runs.is_empty()
                        && worker.heard
                        && !worker.suspect
                        && !worker.reserved
                        && worker.no_duty_until <= now;
                    empty.then(|| now.since(worker.idle_since).get())
                }
            };
            if let Some(idle_ms) = idle {
                vms.push(MovableVm {
                    pool,
                    cpu_millis: machine.capacity.cpu_millis,
                    idle_ms,
                });
                names.push(machine.name.clone());
            }
        }
        for at in 0..pools.len() {
            demands[at].demand_cpu_millis = self.wanted_cpu_millis(&pools[at].0, now);
        }
        let moves = plan_moves(&demands, &vms);
        let rate = self.settings.duties_per_s * MOVES_RATE_PERCENT / 100;
        let most = (rate * PLAN_INTERVAL_MS / 1_000).max(1);
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        for advice in moves.into_iter().take(most) {
            let machine = names[advice.vm].clone();
            self.order_machine(machine, Some(pools[advice.to_pool].0.clone()), None, now);
        }
    }

    /// Whether the machine of a worker still needs upkeep for a wave.
    pub(super) fn is_worker_due(&self, worker: &WorkerId) -> bool {
        let open = self.waves.iter().any(|state| !state.completed);
        let on = |machine: &&Machine| machine.worker.as_ref() == Some(worker);
        open && self
            .machines
            .iter()
            .find(on)
            .is_some_and(|machine| self.is_due(&machine.name))
    }

    /// Whether a machine still needs upkeep for a wave.
    fn is_due(&self, machine: &str) -> bool {
        self.waves.iter().any(|state| {
            !state.completed
                && state.wave.machines.iter().any(|name| name == machine)
                && state
                    .begun
                    .binary_search_by(|name| name.as_str().cmp(machine))
                    .is_err()
        })
    }

    /// What a pool should have: running work, work that could start now, and a VM for each
    /// persistent task that must stand alone.
    fn wanted_cpu_millis(&self, pool: &str, now: MonotonicMillis) -> u64 {
        let mut wanted = 0;
        let mut vm_cpu_millis = 0;
        for worker in self
            .workers
            .iter()
            .filter(|worker| worker.entry.pool == pool)
        {
            wanted += worker.used.cpu_millis;
            vm_cpu_millis = vm_cpu_millis.max(worker.entry.capacity.cpu_millis);
        }
        let mut apart = 0;
        for job in self.open_jobs_of(pool) {
            for occurrence in &job.occurrences {
                for (at, step) in occurrence.steps.iter().enumerate() {
                    let spec = &job.spec.steps[at];
                    if occurrence.may_start(spec) {
                        wanted += u64::from(step.waiting) * spec.booked().cpu_millis;
                    }
                    if spec.persistent && spec.anti_affinity > 0 {
                        apart = apart.max(spec.count.div_ceil(spec.anti_affinity));
                    }
                }
            }
        }
        let arriving = self.arrivals.iter().find(|row| row.pool == pool);
        let arriving = arriving.map_or(0, |row| row.cpu_millis(now));
        let wanted = wanted.max(arriving * ARRIVAL_PERCENT / 100);
        let homeless = self.homeless.iter().filter(|row| *row == pool).count() as u64;
        wanted.max(u64::from(apart) * vm_cpu_millis) + homeless * vm_cpu_millis
    }
}
