//! Queued work and reachable capacity of each pool, as admission control sees them.

use vanillafold_policy::MonotonicMillis;

use super::root::Shard;
use super::vm_operations::Vm;
use crate::spec::Resources;
use crate::worker::Worker;

/// Maximum age of a [`Backlog`], in milliseconds. Within it the work of newly admitted jobs is
/// added, and what has been completed is negligible beside a job's latency objective.
const MAX_AGE_MS: u64 = 50;

/// Open work of one organisation in one pool.
#[derive(Debug)]
struct OrganisationWork {
    organisation: String,
    core_ms: u64,
}

/// Open work in one pool, and the capacity for it.
#[derive(Debug)]
struct PoolBacklog {
    pool: String,
    /// CPU that the pool has or could get from other pools, in thousandths of a core.
    reachable_cpu_millis: u64,
    /// Organisations with open jobs, sorted by name.
    work: Vec<OrganisationWork>,
}

impl PoolBacklog {
    fn add(&mut self, organisation: &str, core_ms: u64) {
        let found = self
            .work
            .binary_search_by(|row| row.organisation.as_str().cmp(organisation));
        match found {
            Ok(at) => {
                let work = &mut self.work[at];
                work.core_ms = work.core_ms.saturating_add(core_ms);
            }
            Err(at) => {
                let row = OrganisationWork {
                    organisation: organisation.to_owned(),
                    core_ms,
                };
                self.work.insert(at, row);
            }
        }
    }
}

/// Open work by pool and organisation. Clients retry what was refused, so admission is asked most
/// often while the most jobs are open; the sums are therefore not made for each request.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    computed_at: Option<MonotonicMillis>,
    /// Sorted by the pool's name.
    pools: Vec<PoolBacklog>,
    /// Tasks that wait for a worker, in all pools.
    waiting_tasks: u64,
}

/// The share of a pool that an organisation can count on.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolShare {
    /// Open work of the organisation in the pool, in core-milliseconds.
    pub(super) queued_core_ms: u64,
    /// Its share of the reachable capacity, by weight among the organisations with open jobs, in
    /// cores.
    pub(super) cores: u64,
    /// Tasks of all organisations that wait for a worker, in all pools.
    pub(super) waiting_tasks: u64,
}

impl Backlog {
    fn pool_mut(&mut self, pool: &str) -> &mut PoolBacklog {
        let found = self
            .pools
            .binary_search_by(|row| row.pool.as_str().cmp(pool));
        let at = found.unwrap_or_else(|at| {
            let row = PoolBacklog {
                pool: pool.to_owned(),
                reachable_cpu_millis: 0,
                work: Vec::new(),
            };
            self.pools.insert(at, row);
            at
        });
        &mut self.pools[at]
    }

    /// Adds the work of a job that was admitted.
    pub(super) fn add(&mut self, pool: &str, organisation: &str, core_ms: u64, tasks: u64) {
        self.pool_mut(pool).add(organisation, core_ms);
        self.waiting_tasks += tasks;
    }
}

impl Shard {
    /// Returns an organisation's share of a pool.
    pub(super) fn pool_share(
        &mut self,
        pool: &str,
        organisation: &str,
        now: MonotonicMillis,
    ) -> PoolShare {
        let is_recent = |at: MonotonicMillis| now.since(at).get() < MAX_AGE_MS;
        if !self.backlog.computed_at.is_some_and(is_recent) {
            self.backlog = self.compute_backlog(now);
        }
        let weight = |name: &str| {
            let organisation = self.catalogue.organisation(name);
            organisation.map_or(1, |row| row.weight.max(1))
        };
        let waiting_tasks = self.backlog.waiting_tasks;
        let row = self.backlog.pool_mut(pool);
        let found = row
            .work
            .binary_search_by(|work| work.organisation.as_str().cmp(organisation));
        let own_weight = weight(organisation);
        let others = row
            .work
            .iter()
            .map(|work| u128::from(weight(&work.organisation)));
        let weights = match found {
            Ok(_) => others.sum::<u128>(),
            Err(_) => others.sum::<u128>() + u128::from(own_weight),
        };
        let cores = u128::from(row.reachable_cpu_millis / 1_000) * u128::from(own_weight) / weights;
        PoolShare {
            queued_core_ms: found.map_or(0, |at| row.work[at].core_ms),
            cores: u64::try_from(cores).unwrap_or(u64::MAX),
            waiting_tasks,
        }
    }

    fn compute_backlog(&self, now: MonotonicMillis) -> Backlog {
        let mut backlog = Backlog {
            computed_at: Some(now),
            pools: Vec::new(),
            waiting_tasks: 0,
        };
        for id in &self.open {
            let Some(job) = self.job(*id) else { continue };
            let steps = job.occurrences.iter().flat_map(|row| &row.steps);
            let waiting = steps.map(|step| u64::from(step.waiting));
            backlog.waiting_tasks += waiting.sum::<u64>();
            if let Some(queue) = self.catalogue.queue(&job.spec.queue) {
                let core_ms = self.remaining_core_ms(job);
                backlog.add(&queue.pool, &job.spec.organisation, core_ms, 0);
            }
        }
        // Idle workers of other pools and VMs that are off can move to any pool.
        let mut movable_cpu_millis: u64 = 0;
        for pool in &self.catalogue.pools {
            backlog.pool_mut(&pool.name);
        }
        let mut idle: Vec<u64> = vec![0; backlog.pools.len()];
        let is_counted = |worker: &&Worker| worker.listed && !worker.evacuated;
        for worker in self.workers.iter().filter(is_counted) {
            let Resources { cpu_millis, .. } = worker.entry.capacity;
            let is_idle = worker.runs.is_empty();
            if is_idle {
                movable_cpu_millis = movable_cpu_millis.saturating_add(cpu_millis);
            }
            let found = backlog
                .pools
                .binary_search_by(|row| row.pool.cmp(&worker.entry.pool));
            if let Ok(at) = found {
                let reachable = &mut backlog.pools[at].reachable_cpu_millis;
                *reachable = reachable.saturating_add(cpu_millis);
                if is_idle {
                    idle[at] = idle[at].saturating_add(cpu_millis);
                }
            }
        }
        let is_off = |vm: &&Vm| vm.worker.is_none() && !self.evacuations.bars(vm);
        let vms_off = self.vms.iter().filter(is_off);
        for vm in vms_off {
            movable_cpu_millis = movable_cpu_millis.saturating_add(vm.capacity.cpu_millis);
        }
        for (row, idle) in backlog.pools.iter_mut().zip(idle) {
            let movable = movable_cpu_millis.saturating_sub(idle);
            row.reachable_cpu_millis = row.reachable_cpu_millis.saturating_add(movable);
        }
        backlog
    }
}
