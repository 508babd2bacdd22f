//! Placement of a task on a worker.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{PlacementCandidate, SuspectPlacement, TaskProfile, choose_worker};

use super::groups::GroupPlacement;
use super::near::WaitTerms;
use super::order::WaitingStep;
use super::zones::ZoneSearch;
use crate::id::JobId;
use crate::shard::catalogue::QueueInfo;
use crate::shard::pool_index::{PoolIndex, free_cpu_millis};
use crate::shard::root::Shard;
use crate::spec::{JobSpec, StepSpec};
use crate::worker::{Run, Worker};

/// A step whose waiting tasks are being placed.
#[derive(Debug)]
pub(super) struct StepPlacement<'a> {
    pub(super) waiting: &'a WaitingStep,
    pub(super) spec: &'a Rc<JobSpec>,
    pub(super) queue: &'a QueueInfo,
    pub(super) zones: ZoneSearch,
    pub(super) group: GroupPlacement,
    /// Terms on which tasks wait for room near, once they were asked for.
    pub(super) wait_terms: Option<WaitTerms>,
}

impl<'a> StepPlacement<'a> {
    pub(super) fn step(&self) -> &'a StepSpec {
        &self.spec.steps[usize::from(self.waiting.step)]
    }

    /// Returns the job, occurrence and number of the step.
    pub(super) const fn key(&self) -> (JobId, u32, u16) {
        (self.waiting.job, self.waiting.occurrence, self.waiting.step)
    }

    /// Returns whether a worker is on the rack of the step's data, or the step has no data rack.
    pub(super) fn is_near_data(&self, worker: &Worker) -> bool {
        let rack = &self.step().data_rack;
        rack.is_empty() || worker.entry.labels.contains(rack)
    }
}

impl Shard {
    /// Returns the position of the worker to run a task, of the given index in its step. `planned`
    /// holds the workers chosen for other tasks of its gang.
    pub(super) fn place_task(
        &self,
        placed: &StepPlacement<'_>,
        index: &PoolIndex,
        planned: &[usize],
        (task_index, placement): (u16, SuspectPlacement),
        now: MonotonicMillis,
    ) -> Option<usize> {
        let StepPlacement {
            waiting,
            queue,
            zones,
            group,
            ..
        } = placed;
        let step = placed.step();
        let reservation = step.reservation();
        let places_of_losses = match placement.is_suspect() {
            true => self.places_of_losses(waiting.task(task_index)),
            false => Vec::new(),
        };
        let may_run = |at: &usize| {
            let worker = &self.workers[*at];
            let mut used = worker.used;
            let mut more = 0;
            for _ in planned.iter().filter(|other| *other == at) {
                used.add(reservation);
                more += 1;
            }
            worker.entry.capacity.fits(used, reservation)
                && has_required_label(worker, step)
                && !is_at_anti_affinity_limit(worker, waiting, step, more)
                && (!queue.advised || self.ticket(placed.key(), &worker.entry.id, now).is_some())
        };
        let candidate = |zone_rank: u32, at: usize| {
            let worker = &self.workers[at];
            PlacementCandidate {
                near_data: placed.is_near_data(worker),
                same_rack: group.prefers(worker),
                persistent_tasks: count(worker, |run| run.persistent),
                best_effort_tasks: count(worker, |run| run.best_effort),
                latency_sensitive_tasks: count(worker, |run| run.latency_target_ms > 0),
                fault_score: worker.fault_score,
                fresh_suspects: worker.fresh_suspects(),
                exposed_tasks: match placement.is_suspect() {
                    true => count(worker, |run| {
                        run.persistent || run.is_fresh(worker.answered_at)
                    }),
                    false => 0,
                },
                maintenance_due: step.persistent
                    && self.is_worker_due_for_maintenance(&worker.entry.id),
                zone_rank: zones.rank(zone_rank, worker),
                failed_here: worker.failed_jobs.contains(&waiting.job)
                    || places_of_losses.iter().any(|place| worker.is_at(place)),
            }
        };
        let profile = TaskProfile {
            persistent: step.persistent,
            best_effort: step.best_effort,
            latency_sensitive: step.latency_target_ms > 0,
        };
        if placement == SuspectPlacement::Isolated {
            let mut candidates = self.isolation_candidates(&queue.pool, &places_of_losses, now);
            candidates.retain(|at| self.workers[*at].fresh_runs() == 0);
            let positions: Vec<usize> = candidates.into_iter().filter(may_run).collect();
            let candidates = positions.iter().map(|at| candidate(0, *at));
            let chosen = choose_worker(candidates, profile);
            return chosen.map(|chosen| positions[chosen]);
        }
        let on_data_rack = self.free_on_rack(placed, &step.data_rack, index, may_run);
        let on_group_rack = match &group.rack {
            Some(rack) => self.free_on_rack(placed, rack, index, may_run),
            None => None,
        };
        // A rack without room is the same for all candidates.
        let data_rack_matters = on_data_rack.as_ref().is_none_or(|row| !row.is_empty());
        let group_rack_matters = on_group_rack.as_ref().is_none_or(|row| !row.is_empty());
        let near = on_data_rack.into_iter().chain(on_group_rack).flatten();
        let near = near.filter(|(_, at)| !group.excludes(&self.workers[*at]));
        let elsewhere = zones
            .workers(index, &queue.pool, reservation.cpu_millis)
            .take_while(|_| !group.only)
            .filter(|(_, at)| may_run(at));
        let mut positions = Vec::new();
        let candidates = near
            .chain(elsewhere)
            .inspect(|(_, at)| positions.push(*at))
            .map(|(zone_rank, at)| {
                let candidate = candidate(zone_rank, at);
                PlacementCandidate {
                    near_data: candidate.near_data || !data_rack_matters,
                    same_rack: candidate.same_rack || !group_rack_matters,
                    ..candidate
                }
            });
        let chosen = choose_worker(candidates, profile);
        chosen.map(|chosen| positions[chosen])
    }

    /// Returns the ranks of the zones and the positions of the workers on a rack that may run a task,
    /// in the order in which they are tried; `None` if no worker is known on the rack.
    fn free_on_rack(
        &self,
        placed: &StepPlacement<'_>,
        rack: &str,
        index: &PoolIndex,
        may_run: impl Fn(&usize) -> bool,
    ) -> Option<Vec<(u32, usize)>> {
        let is_free = |at: &usize| {
            let worker = &self.workers[*at];
            worker.entry.pool == placed.queue.pool && index.contains(worker, *at) && may_run(at)
        };
        let positions = self.racks.workers(rack)?.iter().copied().filter(is_free);
        let mut free: Vec<(u32, u64, usize)> = positions
            .map(|at| {
                let worker = &self.workers[at];
                let zone_rank = placed.zones.position(index, worker);
                let zone_rank = u32::try_from(zone_rank).unwrap_or(u32::MAX);
                (zone_rank, free_cpu_millis(worker), at)
            })
            .collect();
        free.sort_unstable();
        Some(free.into_iter().map(|row| (row.0, row.2)).collect())
    }
}

pub(super) fn has_required_label(worker: &Worker, step: &StepSpec) -> bool {
    step.required_label.is_empty() || worker.entry.labels.contains(&step.required_label)
}

/// Returns how many more tasks of a step anti-affinity allows on a worker.
pub(super) fn anti_affinity_left(worker: &Worker, waiting: &WaitingStep, step: &StepSpec) -> u64 {
    match step.anti_affinity {
        0 => u64::MAX,
        limit => u64::from(limit).saturating_sub(count_step_runs(worker, waiting) as u64),
    }
}

/// Returns whether a worker has as many tasks of a step as anti-affinity allows, counting `more`
/// planned ones.
pub(super) fn is_at_anti_affinity_limit(
    worker: &Worker,
    waiting: &WaitingStep,
    step: &StepSpec,
    more: usize,
) -> bool {
    anti_affinity_left(worker, waiting, step) <= more as u64
}

fn count_step_runs(worker: &Worker, waiting: &WaitingStep) -> usize {
    let step = (waiting.job, waiting.occurrence, waiting.step);
    let same = |run: &&Run| run.task.step_id() == step;
    worker.runs.iter().filter(same).count()
}

/// Returns the number of runs on a worker for which `kind` is true.
fn count(worker: &Worker, kind: impl Fn(&Run) -> bool) -> u32 {
    let count = worker.runs.iter().filter(|run| kind(run)).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
