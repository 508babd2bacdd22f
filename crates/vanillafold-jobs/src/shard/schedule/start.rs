//! Start orders of steps, gangs and single tasks.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::SuspectPlacement;

use super::order::WaitingStep;
use super::placement::has_required_label;
use super::zones::ZoneSearch;
use crate::id::{JobId, RunNumber};
use crate::job::TaskStatus;
use crate::shard::catalogue::QueueInfo;
use crate::shard::orders::Order;
use crate::shard::pool_index::PoolIndex;
use crate::shard::root::Shard;
use crate::spec::{JobSpec, Resources, StepSpec};
use crate::worker::{Run, RunPhase, Worker};

/// Maximum number of start orders for one run; after that the run is stopped and its task is placed
/// elsewhere. Two lost answers in a row are rare, and a worker that loses orders soon gets no new
/// tasks.
const MAX_START_ORDERS: u32 = 3;
/// Maximum number of failed runs of a task for jobs whose queue was removed from the configuration
/// before this daemon had read it.
const REMOVED_QUEUE_MAX_ATTEMPTS: u32 = 3;

impl Shard {
    /// Starts the waiting tasks of a step as far as there is capacity. `without_capacity` collects
    /// the steps for which none was found in this pass, with their pools, so that steps of the same
    /// pool that need at least as much are skipped.
    pub(super) fn start_step(
        &mut self,
        waiting: &WaitingStep,
        index: &mut PoolIndex,
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
        let mut zones = self.zone_search(waiting, step_spec, &queue.pool, index);
        if step_spec.gang {
            self.start_gang(waiting, &spec, &queue, (index, &zones), now);
            return;
        }
        for task in self.waiting_tasks(waiting) {
            if self.start_budget == 0 || !self.organisation_allows(&spec, step_spec, 1) {
                return;
            }
            let placement = self.waiting_placement(waiting, task, now);
            let placed = match placement {
                SuspectPlacement::Held => None,
                _ => self.place_task(
                    waiting,
                    &spec,
                    &queue,
                    (index, &zones),
                    &[],
                    (task, placement),
                    now,
                ),
            };
            let Some(at) = placed else {
                match placement {
                    SuspectPlacement::Held => continue,
                    SuspectPlacement::Isolated => {
                        let task = waiting.task(task);
                        self.reserve_worker(task, &queue.pool, step_spec.reservation(), now);
                        continue;
                    }
                    _ => {}
                }
                if queue.advised {
                    self.request_advice(waiting, &spec, &queue, (index, &zones), now);
                    return;
                }
                if step_spec.persistent {
                    self.request_vm_or_preempt(waiting, &spec, &queue, now);
                }
                if unconstrained {
                    without_capacity.push((queue.pool.clone(), step_spec.clone()));
                }
                return;
            };
            let run = self.next_run(waiting, task);
            self.start_task(at, waiting, &spec, task, run, placement, now);
            zones.count_start(&self.workers[at]);
            index.reserve(&self.workers[at], at, step_spec.reservation());
            if placement.is_isolated() {
                index.remove(&self.workers[at], at);
            }
        }
    }

    fn start_gang(
        &mut self,
        waiting: &WaitingStep,
        spec: &Rc<JobSpec>,
        queue: &QueueInfo,
        (index, zones): (&mut PoolIndex, &ZoneSearch),
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        let members = self.waiting_tasks(waiting);
        // A gang that is larger than the window goes out when no other start is unanswered.
        let exceeds_budget =
            members.len() > self.start_budget && self.start_budget < self.flow.window();
        if members.len() != step.count as usize
            || exceeds_budget
            || !self.organisation_allows(spec, step, u64::from(step.count))
        {
            return;
        }
        // The losses of a gang are counted under its first member.
        let placement = self.waiting_placement(waiting, 0, now);
        if placement == SuspectPlacement::Held {
            return;
        }
        let mut planned = Vec::with_capacity(members.len());
        for _ in &members {
            let placed = self.place_task(
                waiting,
                spec,
                queue,
                (index, zones),
                &planned,
                (0, placement),
                now,
            );
            match placed {
                Some(at) => planned.push(at),
                None if queue.advised => {
                    return self.request_advice(waiting, spec, queue, (index, zones), now);
                }
                None if placement == SuspectPlacement::Isolated => {
                    let task = waiting.task(0);
                    return self.reserve_worker(task, &queue.pool, step.reservation(), now);
                }
                None => return,
            }
        }
        let next = members.iter().map(|index| self.next_run(waiting, *index));
        let Some(run) = next.max() else { return };
        for (task, at) in members.iter().zip(&planned) {
            self.start_task(*at, waiting, spec, *task, run, placement, now);
            index.reserve(&self.workers[*at], *at, step.reservation());
        }
        if placement.is_isolated() {
            for at in planned {
                index.remove(&self.workers[at], at);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn start_task(
        &mut self,
        at: usize,
        waiting: &WaitingStep,
        spec: &Rc<JobSpec>,
        index: u16,
        number: RunNumber,
        placement: SuspectPlacement,
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        let task = waiting.task(index);
        let stores_start = self.job(waiting.job).is_some_and(|job| job.stores_starts);
        if placement.is_suspect() || stores_start {
            self.record_suspect_start(at, task, number);
        }
        let worker = &mut self.workers[at];
        let id = worker.entry.id.clone();
        worker.add_run(Run {
            task,
            number,
            phase: RunPhase::Starting,
            start_orders: 0,
            connection_lost: false,
            ordered_at: now,
            reservation: step.reservation(),
            needs: step.needs,
            organisation: spec.organisation.clone(),
            started_at: now,
            checkpoint: String::new(),
            percent: 0,
            progressed_at: now,
            load: 0,
            persistent: step.persistent,
            best_effort: step.best_effort,
            suspect: placement.is_suspect(),
            isolated: placement.is_isolated(),
            latency_target_ms: step.latency_target_ms,
            pace_percent: 100,
            pace_ordered_at: now,
        });
        let position = worker.runs.len() - 1;
        self.start_budget = self.start_budget.saturating_sub(1);
        self.add_usage(&spec.organisation, step.needs);
        let mut waited_ms = 0;
        if let Some(job) = self.job_mut(waiting.job)
            && let Some(at) = job.occurrence_position(waiting.occurrence)
        {
            let step = &mut job.occurrences[at].steps[usize::from(waiting.step)];
            if let TaskStatus::Waiting { since } = step.tasks[usize::from(index)].status {
                waited_ms = now.since(since).get();
            }
            step.set_status(index, TaskStatus::Placed { worker: id });
            step.tasks[usize::from(index)].run = number;
        }
        self.order_start(at, position, spec, waited_ms, now);
    }

    /// Issues an order to start a tracked run. The worker identifies a run by its number, so that a
    /// repeated order does not start it twice.
    fn order_start(
        &mut self,
        at: usize,
        position: usize,
        spec: &Rc<JobSpec>,
        waited_ms: u64,
        now: MonotonicMillis,
    ) {
        let lease_ms = self.settings.lease_ms;
        let worker = &mut self.workers[at];
        let Some(deadline_ms) = worker.deadline_ms(now, lease_ms) else {
            // Not expected, because only workers whose clock has been read get tasks. The next
            // poll shows what runs there.
            worker.runs[position].phase = RunPhase::StartUnanswered;
            return;
        };
        worker.extend_lease(deadline_ms);
        let run = &mut worker.runs[position];
        run.phase = RunPhase::Starting;
        run.start_orders += 1;
        run.ordered_at = now;
        let (task, number) = (run.task, run.number);
        let id = worker.entry.id.clone();
        let worker_started_unix_ms = worker.polled_start_unix_ms();
        let run = &worker.runs[position];
        if run.persistent || run.start_orders > 1 {
            log::info!(
                task = task.to_string(), run = number.get(), worker = id.as_str(),
                waited_ms = waited_ms, order = run.start_orders;
                "start order issued"
            );
        }
        let ticket = self.ticket((task.job, task.occurrence, task.step), &id, now);
        let ticket = ticket.unwrap_or("").to_owned();
        let checkpoint = self
            .open_task(task)
            .map_or(String::new(), |row| row.checkpoint.clone());
        let order = Order::Start {
            task,
            run: number,
            spec: Rc::clone(spec),
            deadline_ms,
            checkpoint,
            ticket,
            waited_ms,
            worker_started_unix_ms,
        };
        self.orders.push((id, order));
    }

    /// Repeats an unanswered start order under the same run number, after a poll that did not list
    /// the run. Stops the run instead, so that it can't start later, if [`MAX_START_ORDERS`] have
    /// been sent, the worker must not get new tasks or has less capacity than its runs reserve, or
    /// the task is no longer placed there.
    ///
    /// A persistent task may have started since the poll. It is not stopped after
    /// [`MAX_START_ORDERS`], nor for lack of capacity while an order may still start it, as long as
    /// its step may not miss it.
    ///
    /// If the worker may have crashed under the run, the task is placed anew, apart from others.
    pub(in crate::shard) fn retry_start(
        &mut self,
        at: usize,
        position: usize,
        now: MonotonicMillis,
    ) {
        let worker = &self.workers[at];
        let run = &worker.runs[position];
        let placed = self.open_task(run.task).is_some_and(|task| {
            task.run == run.number
                && matches!(&task.status, TaskStatus::Placed { worker: on } if *on == worker.entry.id)
        });
        let has_capacity = worker
            .entry
            .capacity
            .fits(worker.used, Resources::default());
        let may_stay = placed
            && worker.listed
            && worker.entry.ready
            && !worker.draining
            && !worker.evacuated
            && !(run.connection_lost && self.is_lost_run(run.task, run.number));
        let is_indispensable = run.persistent && !self.may_be_unavailable(run);
        let may_repeat =
            may_stay && has_capacity && (run.start_orders < MAX_START_ORDERS || is_indispensable);
        let may_wait = may_stay && is_indispensable && run.may_still_start(now);
        let spec = self.job(run.task.job).map(|job| Rc::clone(&job.spec));
        match spec.filter(|_| may_repeat) {
            Some(spec) => self.order_start(at, position, &spec, 0, now),
            None if may_wait => {}
            None => {
                let phase = RunPhase::Stopping { next_order_at: now };
                self.workers[at].runs[position].phase = phase;
            }
        }
    }

    fn next_run(&self, waiting: &WaitingStep, index: u16) -> RunNumber {
        let id = waiting.task(index);
        let run = self
            .open_task(id)
            .map_or(RunNumber::default(), |task| task.run);
        run.next(self.epoch)
    }

    fn organisation_allows(&self, spec: &JobSpec, step: &StepSpec, count: u64) -> bool {
        let Some(organisation) = self.catalogue.organisation(&spec.organisation) else {
            return true;
        };
        let used = self.possible_usage(&spec.organisation);
        organisation.limit.allows(used, step.needs.times(count))
    }

    /// Queries placement advice for the workers that have capacity for a step, those in the zones
    /// that are tried first before others.
    fn request_advice(
        &mut self,
        waiting: &WaitingStep,
        spec: &JobSpec,
        queue: &QueueInfo,
        (index, zones): (&PoolIndex, &ZoneSearch),
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        let is_suitable = |worker: &&Worker| {
            worker.entry.pool == queue.pool
                && worker.accepts_tasks(now)
                && has_required_label(worker, step)
                && worker.entry.capacity.fits(worker.used, step.reservation())
        };
        let mut candidates: Vec<&Worker> = self.workers.iter().filter(is_suitable).collect();
        candidates.sort_by_cached_key(|worker| zones.position(index, worker));
        let candidates = candidates.into_iter();
        let candidates = candidates.map(|worker| worker.entry.id.clone()).collect();
        let key = (waiting.job, waiting.occurrence, waiting.step);
        self.query_advice(key, candidates, now);
    }

    /// Stores that tasks of a job may be started in a pool to which its queue was moved. They are
    /// started once that is stored: the queue may be moved again before the next owner takes over.
    fn record_start_pool(&mut self, id: JobId, pool: &str) {
        let Some(job) = self.job_mut(id) else { return };
        if job.add_start_pool(pool) {
            log::info!(job = id.to_string(), pool = pool; "queue of the job was moved; its tasks start in the new pool once that is stored");
            self.mark_dirty(id);
        }
    }

    /// Returns the queue of a job. A job whose queue was removed stays in the pool where it was
    /// submitted.
    pub(in crate::shard) fn queue_of(&self, spec: &JobSpec) -> QueueInfo {
        match self.catalogue.queue(&spec.queue) {
            Some(queue) => queue.clone(),
            None => QueueInfo {
                name: spec.queue.clone(),
                pool: spec.pool.clone(),
                priority: 0,
                max_attempts: self
                    .catalogue
                    .max_attempts(&spec.queue)
                    .unwrap_or(REMOVED_QUEUE_MAX_ATTEMPTS),
                stretch_permille: 0,
                target_latency_ms: 0,
                advised: false,
            },
        }
    }
}
