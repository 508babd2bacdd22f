//! Moves of VMs between pools, by the work of each pool.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{MovableVm, PoolDemand, plan_moves};

use super::root::Shard;
use super::vm_operations::{PLAN_INTERVAL_MS, VmState};
use crate::job::Job;
use crate::worker::Worker;

/// Capacity planned for arriving work, in percent of the CPU that the work keeps busy. The excess
/// clears the work that queues up until the capacity is there.
const ARRIVAL_PERCENT: u64 = 120;
/// Part of the platform's rate limit for VM operations that moves may use, in percent. Maintenance
/// and repeats need the rest.
const MOVES_RATE_PERCENT: u64 = 80;

impl Shard {
    pub(super) fn plan_moves(&mut self, now: MonotonicMillis) {
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
            let evacuated = self.evacuations.excludes(vm);
            if !unavailable && !evacuated {
                let capacity = &mut demands[pool].capacity_cpu_millis;
                *capacity = capacity.saturating_add(vm.capacity.cpu_millis);
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
                    evacuated,
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
                work.demand_cpu_millis = work
                    .demand_cpu_millis
                    .saturating_add(demand_on_rest_cpu_millis(worker));
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

/// Returns the CPU of a worker's runs that the pool's VMs have to provide, in thousandths of a core. Of
/// the runs in an evacuated zone these are the persistent ones, which are replaced elsewhere.
fn demand_on_rest_cpu_millis(worker: &Worker) -> u64 {
    let moving = worker.runs.iter().filter(|run| run.persistent);
    match worker.evacuated {
        false => worker.used.cpu_millis,
        true => moving
            .map(|run| run.reservation.cpu_millis)
            .fold(0, u64::saturating_add),
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
                    let waiting = u64::from(step.waiting);
                    self.demand_cpu_millis = self
                        .demand_cpu_millis
                        .saturating_add(waiting.saturating_mul(spec.reservation().cpu_millis));
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
            .max(self.arriving_cpu_millis.saturating_mul(ARRIVAL_PERCENT) / 100)
            .max(u64::from(self.min_vms).saturating_mul(self.vm_cpu_millis));
        demand.saturating_add(self.unplaced_steps.saturating_mul(self.vm_cpu_millis))
    }
}
