//! Start orders of single tasks.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::SuspectPlacement;

use super::order::WaitingStep;
use super::placement::{StepPlacement, has_required_label};
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
/// before any owner had stored its limit.
const REMOVED_QUEUE_MAX_ATTEMPTS: u32 = 3;

impl Shard {
    /// Starts a run of a task on a worker.
    pub(super) fn start_task(
        &mut self,
        at: usize,
        placement: &StepPlacement<'_>,
        index: u16,
        number: RunNumber,
        suspicion: SuspectPlacement,
        now: MonotonicMillis,
    ) {
        let (waiting, spec, step) = (placement.waiting, placement.spec, placement.step());
        let task = waiting.task(index);
        let slowdown_permille = self.slowdown_permille(placement, at);
        let stores_start = self.job(waiting.job).is_some_and(|job| job.stores_starts);
        if suspicion.is_suspect() || stores_start {
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
            suspect: suspicion.is_suspect(),
            isolated: suspicion.is_isolated(),
            slowdown_permille,
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

    pub(super) fn next_run(&self, waiting: &WaitingStep, index: u16) -> RunNumber {
        let id = waiting.task(index);
        let run = self
            .open_task(id)
            .map_or(RunNumber::default(), |task| task.run);
        run.next(self.epoch)
    }

    pub(super) fn organisation_allows(&self, spec: &JobSpec, step: &StepSpec, count: u64) -> bool {
        let Some(organisation) = self.catalogue.organisation(&spec.organisation) else {
            return true;
        };
        let used = self.possible_usage(&spec.organisation);
        organisation.limit.allows(used, step.needs.times(count))
    }

    /// Queries placement advice for the workers that have capacity for a step, those that are tried
    /// first before others.
    pub(super) fn request_advice(
        &mut self,
        placement: &StepPlacement<'_>,
        index: &PoolIndex,
        now: MonotonicMillis,
    ) {
        let (queue, step) = (placement.queue, placement.step());
        let is_suitable = |worker: &&Worker| {
            worker.entry.pool == queue.pool
                && worker.accepts_tasks(now)
                && has_required_label(worker, step)
                && worker.entry.capacity.fits(worker.used, step.reservation())
        };
        let mut candidates: Vec<&Worker> = self.workers.iter().filter(is_suitable).collect();
        candidates.sort_by_cached_key(|worker| {
            let zone = placement.zones.position(index, worker);
            (!placement.is_near_data(worker), zone)
        });
        let candidates = candidates.into_iter();
        let candidates = candidates.map(|worker| worker.entry.id.clone()).collect();
        self.query_advice(placement.key(), candidates, now);
    }

    /// Stores that tasks of a job may be started in a pool to which its queue was moved. They are
    /// started once that is stored: the queue may be moved again before the next owner takes over.
    pub(super) fn record_start_pool(&mut self, id: JobId, pool: &str) {
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
                    .attempt_limit_of_removed(&spec.queue)
                    .unwrap_or(REMOVED_QUEUE_MAX_ATTEMPTS),
                stretch_permille: 0,
                target_latency_ms: 0,
                advised: false,
            },
        }
    }
}
