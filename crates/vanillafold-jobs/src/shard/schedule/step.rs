//! Starts of the waiting tasks of a step.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::SuspectPlacement;

use super::forecast::Forecasts;
use super::groups::GroupPlacement;
use super::near::may_wait;
use super::order::WaitingStep;
use super::placement::StepPlacement;
use crate::shard::pool_index::PoolIndex;
use crate::shard::root::Shard;
use crate::spec::StepSpec;

impl Shard {
    /// Starts the waiting tasks of a step as far as there is capacity, and unless they wait for room
    /// near their data or their group. `without_capacity` collects the steps for which none was found
    /// in this pass, with their pools, so that steps of the same pool that need at least as much are
    /// skipped.
    pub(super) fn start_step(
        &mut self,
        waiting: &WaitingStep,
        (index, forecasts): (&mut PoolIndex, &mut Forecasts),
        without_capacity: &mut Vec<(String, StepSpec)>,
        now: MonotonicMillis,
    ) {
        let Some(job) = self.job(waiting.job) else {
            return;
        };
        let spec = Rc::clone(&job.spec);
        let queue = self.queue_of(&spec);
        if !job.may_start_in(&queue.pool) {
            self.record_start_pool(waiting.job, &queue.pool);
            return;
        }
        let step_spec = &spec.steps[usize::from(waiting.step)];
        let unconstrained =
            step_spec.anti_affinity == 0 && step_spec.required_label.is_empty() && !step_spec.gang;
        let same_or_larger = |row: &(String, StepSpec)| {
            row.0 == queue.pool
                && step_spec.reservation().cpu_millis >= row.1.reservation().cpu_millis
                && step_spec.reservation().memory_mib >= row.1.reservation().memory_mib
                && step_spec.reservation().gpus >= row.1.reservation().gpus
        };
        if without_capacity.iter().any(same_or_larger) {
            return;
        }
        index.sort_pool(&queue.pool, &self.workers);
        if step_spec.same_rack || !step_spec.data_rack.is_empty() {
            self.racks.refresh(&self.workers, self.workers_version);
        }
        let mut placement = StepPlacement {
            waiting,
            spec: &spec,
            queue: &queue,
            zones: self.zone_search(waiting, step_spec, &queue.pool, index),
            group: GroupPlacement::default(),
            wait_terms: None,
        };
        if step_spec.gang {
            self.start_gang(&mut placement, (index, forecasts), now);
            return;
        }
        let tasks = self.waiting_tasks(waiting);
        let is_group = self.is_group(step_spec);
        // Racks are compared only if a task can be placed at all.
        let first = tasks.first().copied().filter(|_| is_group);
        let has_room = first.is_some_and(|task| {
            let unrestricted = (task, SuspectPlacement::Unrestricted);
            let worker = self.place_task(&placement, index, &[], unrestricted, now);
            worker.is_some()
        });
        if has_room {
            placement.group = self.place_group(&placement, tasks.len() as u64, index, now);
        }
        let mut remote_at = None;
        for (started, task) in tasks.iter().copied().enumerate() {
            if self.start_budget == 0 || !self.organisation_allows(&spec, step_spec, 1) {
                return;
            }
            let suspicion = self.waiting_placement(waiting, task, now);
            let placed = match suspicion {
                SuspectPlacement::Held => None,
                // The task before found no room near either and waits for some.
                SuspectPlacement::Unrestricted if remote_at.is_some() => remote_at,
                _ => self.place_task(&placement, index, &[], (task, suspicion), now),
            };
            let Some(at) = placed else {
                match suspicion {
                    SuspectPlacement::Held => continue,
                    SuspectPlacement::Isolated => {
                        let task = waiting.task(task);
                        self.reserve_worker(task, &queue.pool, step_spec.reservation(), now);
                        continue;
                    }
                    _ => {}
                }
                if queue.advised {
                    self.request_advice(&placement, index, now);
                    return;
                }
                if step_spec.persistent {
                    self.request_vm_or_preempt(waiting, &spec, &queue, now);
                }
                if unconstrained && !placement.group.only {
                    without_capacity.push((queue.pool.clone(), step_spec.clone()));
                }
                return;
            };
            let is_waiting = match may_wait(suspicion) {
                false => false,
                true if is_group => {
                    let left = (tasks.len() - started, at);
                    self.group_waits(&placement, left, (index, forecasts), now)
                }
                true => self.task_waits(&mut placement, (task, at), (index, forecasts), now),
            };
            match is_waiting {
                true if is_group => return,
                true => {
                    remote_at = Some(at).filter(|_| suspicion == SuspectPlacement::Unrestricted);
                    continue;
                }
                false => remote_at = None,
            }
            let run = self.next_run(waiting, task);
            self.start_task(at, &placement, task, run, suspicion, now);
            if !is_group
                || !placement.group.prefers(&self.workers[at])
                || started + 1 == tasks.len()
            {
                self.record_near_start(&placement, (task, at), now);
            }
            placement.zones.count_start(&self.workers[at]);
            index.reserve(&self.workers[at], at, step_spec.reservation());
            if suspicion.is_isolated() {
                index.remove(&self.workers[at], at);
            }
        }
    }
}
