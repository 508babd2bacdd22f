//! Waiting work and room of each pool, as admission control sees them.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{ArrivingCpu, PoolRoom, WaitingWork};

use super::root::Shard;
use super::vm_operations::{Vm, VmState};
use crate::job::{Job, JobPlan};
use crate::spec::{JobSpec, Resources, StepSpec};
use crate::worker::Worker;

/// Maximum age of a [`Backlog`], in milliseconds. Within it the work of newly admitted jobs is
/// added, and what has been started is negligible beside a job's latency objective.
const MAX_AGE_MS: u64 = 50;
/// Time from the end of a VM's move until its worker takes tasks, in milliseconds: it registers, and is
/// polled once.
const ARRIVAL_MS: u64 = 300;
/// Work whose latest start was longer ago than this, in milliseconds, is not counted: its job is late, and
/// comes after all that can be in time.
const MAX_OVERDUE_MS: i64 = 50;
/// Part of a pool's CPU that tasks fill while others wait, in percent. The rest is too small for the
/// next task.
const FILLED_PERCENT: u64 = 92;

/// Waiting tasks of one step, and whose they are.
#[derive(Debug, Clone, Copy)]
struct OwnedWork {
    work: WaitingWork,
    /// Position of the organisation in [`PoolBacklog::organisations`].
    organisation: usize,
}

/// Waiting work in one pool, and the room for it.
#[derive(Debug, Default)]
pub(super) struct PoolBacklog {
    pool: String,
    /// CPU per mebibyte of the pool's workers, in thousandths of a core, times 1,024.
    cpu_millis_per_gib: u64,
    pub(super) room: PoolRoom,
    /// Whether only evacuated zones could serve the pool.
    pub(super) is_evacuated: bool,
    /// Organisations with open jobs, and whether tasks of theirs wait, in time or not.
    organisations: Vec<(String, bool)>,
    /// In the order of the latest start.
    waiting: Vec<OwnedWork>,
}

impl PoolBacklog {
    fn organisation(&mut self, name: &str) -> usize {
        let known = self.organisations.iter().position(|row| row.0 == name);
        known.unwrap_or_else(|| {
            self.organisations.push((name.to_owned(), false));
            self.organisations.len() - 1
        })
    }

    /// Returns the CPU that a task takes from the pool, in thousandths of a core: what it needs, or as
    /// much as has the memory that it needs.
    pub(super) fn binding_cpu_millis(&self, needs: Resources) -> u64 {
        let by_memory = needs.memory_mib.saturating_mul(self.cpu_millis_per_gib) / 1_024;
        needs.cpu_millis.max(by_memory)
    }

    /// Adds the work of a job that was admitted.
    pub(super) fn add(&mut self, organisation: &str, work: &[WaitingWork]) {
        let organisation = self.organisation(organisation);
        self.organisations[organisation].1 = true;
        for work in work {
            let row = OwnedWork {
                work: *work,
                organisation,
            };
            let at = self.waiting.partition_point(|other| other.work < *work);
            self.waiting.insert(at, row);
        }
    }

    /// Returns the waiting work of all organisations, in the order of the latest start.
    pub(super) fn waiting(&self) -> impl Iterator<Item = WaitingWork> {
        self.waiting.iter().map(|row| row.work)
    }

    /// Returns the waiting work of one organisation, in that order.
    pub(super) fn waiting_of(&self, organisation: &str) -> impl Iterator<Item = WaitingWork> {
        let own = self
            .organisations
            .iter()
            .position(|row| row.0 == organisation);
        let is_own = move |row: &&OwnedWork| Some(row.organisation) == own;
        self.waiting.iter().filter(is_own).map(|row| row.work)
    }

    /// Returns whether tasks of an organisation wait, in time or not.
    pub(super) fn has_waiting(&self, organisation: &str) -> bool {
        let mut rows = self.organisations.iter();
        rows.any(|row| row.0 == organisation && row.1)
    }

    /// Returns the weights of an organisation, and of all that have open jobs with it.
    pub(super) fn weights(&self, organisation: &str, weight: impl Fn(&str) -> u64) -> (u64, u64) {
        let own = weight(organisation);
        let rows = self.organisations.iter();
        let others = rows.filter(|row| row.0 != organisation);
        let others = others.map(|row| weight(&row.0));
        (own, others.fold(own, u64::saturating_add))
    }
}

/// Waiting work by pool. Clients retry what was refused, so admission is asked most often while the most
/// jobs are open; the lists are therefore not made for each request.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    computed_at: Option<MonotonicMillis>,
    /// Sorted by the pool's name.
    pools: Vec<PoolBacklog>,
    /// Tasks that wait for a worker, in all pools.
    pub(super) waiting_tasks: u64,
}

impl Backlog {
    pub(super) fn pool_mut(&mut self, pool: &str) -> &mut PoolBacklog {
        let found = self
            .pools
            .binary_search_by(|row| row.pool.as_str().cmp(pool));
        let at = found.unwrap_or_else(|at| {
            let row = PoolBacklog {
                pool: pool.to_owned(),
                ..PoolBacklog::default()
            };
            self.pools.insert(at, row);
            at
        });
        &mut self.pools[at]
    }
}

impl Shard {
    /// Brings the backlog up to date, if it is too old.
    pub(super) fn refresh_backlog(&mut self, now: MonotonicMillis) {
        let is_recent = |at: MonotonicMillis| now.since(at).get() < MAX_AGE_MS;
        if !self.backlog.computed_at.is_some_and(is_recent) {
            self.backlog = self.compute_backlog(now);
        }
    }

    /// Returns the latest starts of a job's steps, counted from its submission, and the work of their
    /// tasks. Persistent steps have neither.
    pub(super) fn plan_job(&self, spec: &JobSpec, objective_ms: u64) -> JobPlan {
        let mut tails_ms: Vec<u64> = vec![0; spec.steps.len()];
        for (at, step) in spec.steps.iter().enumerate().rev() {
            tails_ms[at] = tails_ms[at].saturating_add(self.expected_ms(&spec.queue, step));
            for before in &step.after {
                let before = usize::from(*before);
                tails_ms[before] = tails_ms[before].max(tails_ms[at]);
            }
        }
        let task_ms = |step: &StepSpec| match step.persistent {
            true => 0,
            false => self.expected_ms(&spec.queue, step),
        };
        JobPlan {
            objective_ms,
            tails_ms,
            task_ms: spec.steps.iter().map(task_ms).collect(),
            is_contended: false,
        }
    }

    fn compute_backlog(&self, now: MonotonicMillis) -> Backlog {
        let mut backlog = Backlog {
            computed_at: Some(now),
            ..Backlog::default()
        };
        for pool in &self.catalogue.pools {
            let is_evacuated = self.has_evacuations() && self.is_pool_evacuated(&pool.name);
            backlog.pool_mut(&pool.name).is_evacuated = is_evacuated;
        }
        self.add_room(&mut backlog, now);
        for id in &self.open {
            let Some(job) = self.job(*id) else { continue };
            let steps = job.occurrences.iter().flat_map(|row| &row.steps);
            let waiting = steps.map(|step| u64::from(step.waiting));
            backlog.waiting_tasks += waiting.sum::<u64>();
            if let Some(queue) = self.catalogue.queue(&job.spec.queue) {
                let row = backlog.pool_mut(&queue.pool);
                match &job.plan {
                    Some(plan) => add_job(row, job, plan, now, self.pass_unix_ms),
                    None => {
                        let objective_ms = self.objective_ms(&job.spec, queue);
                        let plan = self.plan_job(&job.spec, objective_ms);
                        add_job(row, job, &plan, now, self.pass_unix_ms);
                    }
                }
            }
        }
        for pool in &mut backlog.pools {
            pool.waiting.sort_unstable_by_key(|row| row.work);
        }
        backlog
    }

    /// Adds the room of each pool: its workers, VMs that are moving to it, and idle ones elsewhere.
    fn add_room(&self, backlog: &mut Backlog, now: MonotonicMillis) {
        // Idle workers of other pools and VMs that are off can move to any pool.
        let mut movable_cpu_millis: u64 = 0;
        let mut idle: Vec<u64> = vec![0; backlog.pools.len()];
        let is_counted = |worker: &&Worker| {
            worker.listed && !worker.evacuated && !worker.unresponsive && worker.entry.ready
        };
        let mut counted: Vec<(u64, u64)> = vec![(0, 0); backlog.pools.len()];
        for worker in self.workers.iter().filter(is_counted) {
            let found = backlog
                .pools
                .binary_search_by(|row| row.pool.cmp(&worker.entry.pool));
            let Ok(at) = found else { continue };
            let cpu_millis = worker.usable_cpu_millis();
            let memory_mib = worker.entry.capacity.memory_mib;
            counted[at].0 = counted[at].0.saturating_add(cpu_millis);
            counted[at].1 = counted[at].1.saturating_add(memory_mib);
            let room = &mut backlog.pools[at].room;
            let taken = worker.runs.iter().filter(|run| run.persistent);
            let taken = taken.fold(0, |sum: u64, run| {
                sum.saturating_add(run.reservation.cpu_millis)
            });
            let usable = cpu_millis.saturating_sub(taken);
            room.cpu_millis = room.cpu_millis.saturating_add(usable);
            if worker.accepts_tasks(now) || !worker.responded {
                let free = free_cpu_millis(worker);
                room.free_cpu_millis = room.free_cpu_millis.saturating_add(free);
            }
            if worker.runs.is_empty() && !worker.draining {
                idle[at] = idle[at].saturating_add(cpu_millis);
                movable_cpu_millis = movable_cpu_millis.saturating_add(cpu_millis);
            }
        }
        let is_off = |vm: &&Vm| {
            let is_idle = vm.worker.is_none() && vm.state == VmState::Up;
            is_idle && !self.evacuations.excludes(vm) && self.pending_position(&vm.name).is_err()
        };
        for vm in self.vms.iter().filter(is_off) {
            movable_cpu_millis = movable_cpu_millis.saturating_add(vm.capacity.cpu_millis);
        }
        for (row, counted) in backlog.pools.iter_mut().zip(&counted) {
            row.cpu_millis_per_gib = counted.0.saturating_mul(1_024) / counted.1.max(1);
        }
        for pending in &self.pending_operations {
            let Some(to) = &pending.to_pool else { continue };
            let vm = self.vms.binary_search_by(|vm| vm.name.cmp(&pending.vm));
            let Ok(vm) = vm else { continue };
            if self.evacuations.excludes(&self.vms[vm]) {
                continue;
            }
            let moving = &mut backlog.pool_mut(to).room.moving;
            moving.cpu_millis = moving
                .cpu_millis
                .saturating_add(self.vms[vm].capacity.cpu_millis);
        }
        let arrival_ms = self.settings.move_ms + ARRIVAL_MS;
        for (at, row) in backlog.pools.iter_mut().enumerate() {
            let movable = movable_cpu_millis.saturating_sub(idle.get(at).copied().unwrap_or(0));
            row.room.movable = ArrivingCpu {
                in_ms: arrival_ms,
                cpu_millis: match self.settings.moves_enabled {
                    true => movable,
                    false => 0,
                },
            };
            // Operations in progress are on average half over.
            row.room.moving.in_ms = arrival_ms / 2;
            row.room = row.room.part(FILLED_PERCENT, 100);
        }
    }
}

/// Returns the CPU of a worker that no run reserves, as far as there is memory for it, in thousandths
/// of a core.
fn free_cpu_millis(worker: &Worker) -> u64 {
    let capacity = worker.entry.capacity;
    let usable_cpu_millis = worker.usable_cpu_millis();
    let free = usable_cpu_millis.saturating_sub(worker.used.cpu_millis);
    let free_mib = capacity.memory_mib.saturating_sub(worker.used.memory_mib);
    let by_memory = u128::from(capacity.cpu_millis) * u128::from(free_mib)
        / u128::from(capacity.memory_mib.max(1));
    free.min(u64::try_from(by_memory).unwrap_or(u64::MAX))
}

/// Adds the waiting tasks of a job that can be in time.
fn add_job(
    row: &mut PoolBacklog,
    job: &Job,
    plan: &JobPlan,
    now: MonotonicMillis,
    now_unix_ms: u64,
) {
    let organisation = row.organisation(&job.spec.organisation);
    let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
    for occurrence in &job.occurrences {
        let elapsed_ms = match occurrence.due_unix_ms {
            0 => signed(now.since(job.submitted_at).get()),
            due => signed(now_unix_ms.saturating_sub(due)),
        };
        for (at, step) in occurrence.steps.iter().enumerate() {
            if step.waiting == 0 || plan.task_ms[at] == 0 {
                continue;
            }
            row.organisations[organisation].1 = true;
            let work = plan.waiting_work(at, &job.spec, u64::from(step.waiting), row);
            let latest_start_ms = work.latest_start_ms.saturating_sub(elapsed_ms);
            if latest_start_ms >= -MAX_OVERDUE_MS {
                row.waiting.push(OwnedWork {
                    work: WaitingWork {
                        latest_start_ms,
                        ..work
                    },
                    organisation,
                });
            }
        }
    }
}

impl JobPlan {
    /// Returns the work of a step's waiting tasks, with their latest start counted from the submission of
    /// the job.
    pub(super) fn waiting_work(
        &self,
        step: usize,
        spec: &JobSpec,
        tasks: u64,
        pool: &PoolBacklog,
    ) -> WaitingWork {
        let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
        let cpu_millis = pool.binding_cpu_millis(spec.steps[step].reservation());
        let task_core_ms = cpu_millis.saturating_mul(self.task_ms[step]) / 1_000;
        WaitingWork {
            latest_start_ms: signed(self.objective_ms).saturating_sub(signed(self.tails_ms[step])),
            core_ms: task_core_ms.saturating_mul(tasks),
        }
    }
}
