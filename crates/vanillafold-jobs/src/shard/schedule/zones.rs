//! The zones in which workers for the tasks of a step are searched.

use vanillafold_policy::jobs::{ZoneCandidate, spread_rank, zone_order};

use super::order::WaitingStep;
use super::placement::{anti_affinity_left, has_required_label};
use crate::job::{Step, TaskStatus};
use crate::shard::pool_index::{FreeWorkers, PoolIndex, ZoneNumber};
use crate::shard::root::Shard;
use crate::spec::{Resources, StepSpec};
use crate::worker::Worker;

/// Number of a job's runs that are looked up to find its zones. Most jobs have fewer tasks at one
/// time, and of a larger one these show the zone of most.
pub(super) const MAX_LOCATED_RUNS: usize = 16;
/// Number of workers of a zone that are examined for each waiting task of a step that needs more
/// than CPU and memory. Bounds the cost where most workers lack what it needs.
const EXAMINED_PER_TASK: usize = 4;

/// Order in which the workers of a pool are searched for the tasks of one step.
#[derive(Debug)]
pub(super) enum ZoneSearch {
    /// The zones make no difference.
    AllZones,
    /// Zone by zone.
    InOrder(Vec<ZoneNumber>),
    /// All zones alike, and of equally good workers one in a zone with few of the step's runs: the
    /// zones with such runs, and their number.
    Spread(Vec<(String, u32)>),
}

impl ZoneSearch {
    /// Returns the ranks and positions of the workers of a pool with at least the given free CPU.
    pub(super) fn workers<'a>(
        &self,
        index: &'a PoolIndex,
        pool: &str,
        cpu_millis: u64,
    ) -> FreeWorkers<'a> {
        match self {
            Self::InOrder(zones) => index.zone_by_zone(pool, zones, cpu_millis),
            Self::AllZones | Self::Spread(_) => index.in_all_zones(pool, cpu_millis),
        }
    }

    /// Returns the rank of a worker whose zone has the given rank in the order of the search.
    pub(super) fn rank(&self, zone_rank: u32, worker: &Worker) -> u32 {
        match self {
            Self::AllZones | Self::InOrder(_) => zone_rank,
            Self::Spread(zones) => {
                let step_runs = runs_in(zones, &worker.entry.zone);
                spread_rank(step_runs, worker.runs.is_empty())
            }
        }
    }

    /// Counts a run of the step that was started on a worker.
    pub(super) fn count_start(&mut self, worker: &Worker) {
        if let Self::Spread(zones) = self {
            count_run(zones, &worker.entry.zone);
        }
    }

    /// Returns the position of a worker's zone in the order of the search.
    pub(super) fn position(&self, index: &PoolIndex, worker: &Worker) -> usize {
        match self {
            Self::InOrder(zones) => {
                let number = index.zone_number(&worker.entry.pool, &worker.entry.zone);
                let found = zones.iter().position(|row| Some(*row) == number);
                found.unwrap_or(zones.len())
            }
            Self::AllZones | Self::Spread(_) => 0,
        }
    }
}

impl Shard {
    /// Returns the order in which the zones of a pool are searched for the waiting tasks of a step.
    pub(super) fn zone_search(
        &self,
        waiting: &WaitingStep,
        step: &StepSpec,
        pool: &str,
        index: &PoolIndex,
    ) -> ZoneSearch {
        let zones: Vec<(ZoneNumber, &str)> = index.zones(pool).collect();
        let is_spread = step.max_unavailable.is_some() && !step.gang && !step.same_rack;
        match step {
            _ if zones.len() < 2 => return ZoneSearch::AllZones,
            _ if step.persistent && is_spread => {
                return ZoneSearch::Spread(self.zones_of_runs(
                    waiting,
                    Some(waiting.step),
                    usize::MAX,
                ));
            }
            _ if step.persistent => return ZoneSearch::AllZones,
            _ => {}
        }
        let waiting_tasks = self.step(waiting).map_or(0, |step| step.waiting);
        let job_runs = self.zones_of_runs(waiting, None, MAX_LOCATED_RUNS);
        let candidates: Vec<ZoneCandidate<'_>> = zones
            .iter()
            .map(|(number, zone)| ZoneCandidate {
                zone,
                job_runs: runs_in(&job_runs, zone),
                fitting_tasks: self.fitting_tasks(
                    waiting,
                    step,
                    (index, pool, *number),
                    waiting_tasks,
                ),
            })
            .collect();
        let order = zone_order(waiting.job.get(), waiting_tasks, &candidates);
        ZoneSearch::InOrder(order.into_iter().map(|at| zones[at].0).collect())
    }

    /// Returns the zones where tasks of a job's occurrence run, or only those of one step, and the
    /// number of their runs there, counted up to `limit` in all.
    fn zones_of_runs(
        &self,
        waiting: &WaitingStep,
        only_step: Option<u16>,
        limit: usize,
    ) -> Vec<(String, u32)> {
        let mut zones = Vec::new();
        let Some(job) = self.job(waiting.job) else {
            return zones;
        };
        let Some(at) = job.occurrence_position(waiting.occurrence) else {
            return zones;
        };
        let is_counted = |number: usize| only_step.is_none_or(|only| usize::from(only) == number);
        let placed = job.occurrences[at]
            .steps
            .iter()
            .enumerate()
            .filter(|(number, step)| is_counted(*number) && step.may_have_placed_tasks())
            .flat_map(|(_, step)| &step.tasks)
            .filter_map(|task| match &task.status {
                TaskStatus::Placed { worker } => self.worker_position(worker),
                _ => None,
            });
        for at in placed.take(limit) {
            count_run(&mut zones, &self.workers[at].entry.zone);
        }
        zones
    }

    pub(super) fn step(&self, waiting: &WaitingStep) -> Option<&Step> {
        let job = self.job(waiting.job)?;
        let at = job.occurrence_position(waiting.occurrence)?;
        job.occurrences[at].steps.get(usize::from(waiting.step))
    }

    /// Returns how many waiting tasks of a step fit into a zone now, counted up to `limit`. CPU is
    /// what most pools run short of, and the index tells it without a look at the workers.
    fn fitting_tasks(
        &self,
        waiting: &WaitingStep,
        step: &StepSpec,
        (index, pool, zone): (&PoolIndex, &str, ZoneNumber),
        limit: u32,
    ) -> u32 {
        let cpu_millis = step.reservation().cpu_millis;
        let cpu_decides =
            step.needs.gpus == 0 && step.required_label.is_empty() && step.anti_affinity == 0;
        if cpu_decides {
            return index.fitting_tasks(pool, zone, cpu_millis, limit);
        }
        let examined = (limit as usize).saturating_mul(EXAMINED_PER_TASK);
        let workers = index.emptiest_first(pool, zone, cpu_millis);
        let mut fitting: u64 = 0;
        for at in workers.take(examined) {
            let worker = &self.workers[at];
            let on_worker = fitting_beside(worker, worker.used, waiting, step);
            fitting = fitting.saturating_add(on_worker);
            if fitting >= u64::from(limit) {
                break;
            }
        }
        u32::try_from(fitting.min(u64::from(limit))).unwrap_or(u32::MAX)
    }
}

/// Returns how many tasks of a step fit on a worker beside what is used there.
pub(super) fn fitting_beside(
    worker: &Worker,
    used: Resources,
    waiting: &WaitingStep,
    step: &StepSpec,
) -> u64 {
    if !has_required_label(worker, step) {
        return 0;
    }
    let fitting = worker.entry.capacity.fitting(used, step.reservation());
    fitting.min(anti_affinity_left(worker, waiting, step))
}

fn count_run(zones: &mut Vec<(String, u32)>, zone: &str) {
    match zones.iter_mut().find(|row| row.0 == zone) {
        Some(row) => row.1 += 1,
        None => zones.push((zone.to_owned(), 1)),
    }
}

/// Returns the number of runs in a zone.
fn runs_in(zones: &[(String, u32)], zone: &str) -> u32 {
    let found = zones.iter().find(|row| row.0 == zone);
    found.map_or(0, |row| row.1)
}
