//! Placement of a task on a worker.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{PlacementCandidate, SuspectPlacement, TaskProfile, choose_worker};

use super::order::WaitingStep;
use super::zones::ZoneSearch;
use crate::shard::catalogue::QueueInfo;
use crate::shard::pool_index::PoolIndex;
use crate::shard::root::Shard;
use crate::spec::{JobSpec, StepSpec};
use crate::worker::{Run, Worker};

impl Shard {
    /// Returns the position of the worker to run a task, of the given index in its step. `planned`
    /// holds the workers chosen for other tasks of its gang.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn place_task(
        &self,
        waiting: &WaitingStep,
        spec: &JobSpec,
        queue: &QueueInfo,
        (index, zones): (&PoolIndex, &ZoneSearch),
        planned: &[usize],
        (task_index, placement): (u16, SuspectPlacement),
        now: MonotonicMillis,
    ) -> Option<usize> {
        let step = &spec.steps[usize::from(waiting.step)];
        let reservation = step.reservation();
        let rack = self.step_rack(waiting, step, planned);
        let places_of_losses = match placement.is_suspect() {
            true => self.places_of_losses(waiting.task(task_index)),
            false => Vec::new(),
        };
        let key = (waiting.job, waiting.occurrence, waiting.step);
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
                && (!queue.advised || self.ticket(key, &worker.entry.id, now).is_some())
        };
        let candidate = |zone_rank: u32, at: usize| {
            let worker = &self.workers[at];
            let labels = &worker.entry.labels;
            PlacementCandidate {
                near_data: step.data_rack.is_empty() || labels.contains(&step.data_rack),
                same_rack: rack.as_ref().is_none_or(|rack| labels.contains(rack)),
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
        let mut positions = Vec::new();
        let candidates = zones
            .workers(index, &queue.pool, reservation.cpu_millis)
            .filter(|(_, at)| may_run(at))
            .inspect(|(_, at)| positions.push(*at));
        let candidates = candidates.map(|(zone_rank, at)| candidate(zone_rank, at));
        let chosen = choose_worker(candidates, profile);
        chosen.map(|chosen| positions[chosen])
    }

    /// Returns the rack where the other tasks of a step run, if they must share one.
    fn step_rack(
        &self,
        waiting: &WaitingStep,
        step: &StepSpec,
        planned: &[usize],
    ) -> Option<String> {
        if !step.same_rack {
            return None;
        }
        let first = planned.first().copied().or_else(|| {
            self.workers
                .iter()
                .position(|worker| count_step_runs(worker, waiting) > 0)
        });
        first.and_then(|at| self.workers[at].entry.labels.last().cloned())
    }
}

pub(super) fn has_required_label(worker: &Worker, step: &StepSpec) -> bool {
    step.required_label.is_empty() || worker.entry.labels.contains(&step.required_label)
}

/// Returns whether a worker has as many tasks of a step as anti-affinity allows, counting `more`
/// planned ones.
pub(super) fn is_at_anti_affinity_limit(
    worker: &Worker,
    waiting: &WaitingStep,
    step: &StepSpec,
    more: usize,
) -> bool {
    step.anti_affinity > 0 && count_step_runs(worker, waiting) + more >= step.anti_affinity as usize
}

pub(super) fn count_step_runs(worker: &Worker, waiting: &WaitingStep) -> usize {
    let step = (waiting.job, waiting.occurrence, waiting.step);
    let same = |run: &&Run| run.task.step_id() == step;
    worker.runs.iter().filter(same).count()
}

/// Returns the number of runs on a worker for which `kind` is true.
fn count(worker: &Worker, kind: impl Fn(&Run) -> bool) -> u32 {
    let count = worker.runs.iter().filter(|run| kind(run)).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
