//! Scheduling passes: ranking of waiting steps, placement of tasks and start orders.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    PlacementCandidate, QueuedStep, Rank, SuspectPlacement, TaskProfile, choose_worker, rank,
};

use super::catalogue::QueueInfo;
use super::orders::Order;
use super::pool_index::PoolIndex;
use super::root::Shard;
use crate::id::{JobId, RunNumber, TaskId};
use crate::job::{Job, TaskStatus};
use crate::spec::{JobSpec, Resources, StepSpec};
use crate::worker::{Run, RunPhase, Worker};

/// Minimum time between two log lines about persistent tasks that find no worker, in milliseconds.
const UNPLACED_LOG_INTERVAL_MS: u64 = 2_000;
/// Assumed duration of a task without an estimate, in milliseconds.
const DEFAULT_ESTIMATE_MS: u64 = 1_000;

/// How long a persistent task waits for a worker before it preempts other runs, in milliseconds.
/// Other tasks usually end by themselves in about this time.
const PREEMPT_AFTER_MS: u64 = 1_000;
/// Time between two preemptions for one step, in milliseconds. Runs that are being stopped still
/// hold their reservations meanwhile.
const PREEMPT_INTERVAL_MS: u64 = 1_000;
/// An organisation counts as over its share if it uses more than this percentage of it. The margin
/// is needed because tasks are coarse units.
const OVER_SHARE_PERCENT: u128 = 125;
/// Maximum number of start orders for one run; after that the run is stopped and its task is placed
/// elsewhere. Two lost answers in a row are rare, and a worker that loses orders soon gets no new
/// tasks.
const MAX_START_ORDERS: u32 = 3;
/// Maximum number of failed runs of a task for jobs whose queue was removed from the configuration
/// before this daemon had read it.
const REMOVED_QUEUE_MAX_ATTEMPTS: u32 = 3;

/// How long a worker is kept free for an isolated task, in milliseconds: until its fresh runs have
/// either ended or lasted, and a poll has shown it.
const RESERVATION_MS: u64 = 1_500;

/// A step with waiting tasks, and its rank in the scheduling order.
#[derive(Debug)]
struct WaitingStep {
    rank: Rank,
    job: JobId,
    occurrence: u32,
    step: u16,
}

impl Shard {
    /// Runs a scheduling pass: expires leases, resolves unaccounted tasks, issues start and stop
    /// orders, and plans VM operations.
    pub fn schedule(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        self.pass_unix_ms = now_unix_ms;
        self.expire_leases(now, now_unix_ms);
        self.resolve_unaccounted(now, now_unix_ms);
        self.update_unaccounted_usage(now);
        self.evaluate_suspects(now, now_unix_ms);
        self.collect_deletable_jobs(now);
        self.drop_finished_advice();
        self.retry_stops(now);
        self.begin_repeated_jobs(now, now_unix_ms);
        let mut index = PoolIndex::new(&self.workers, now);
        let mut waiting = match self.has_catalogue {
            true => self.waiting_steps(&index, now, now_unix_ms),
            // How often a task may fail and what its organisation may use is not known.
            false => Vec::new(),
        };
        waiting.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.job.cmp(&b.job)));
        let mut without_capacity = Vec::new();
        self.unplaced_pools.clear();
        let unanswered = self.unanswered_starts();
        let budget = self.flow.window().saturating_sub(unanswered);
        self.start_budget = budget;
        for step in waiting {
            let step_id = (step.job, step.occurrence, step.step);
            if !self.fail_if_waiting_in_vain(step_id, now, now_unix_ms) {
                self.start_step(&step, &mut index, &mut without_capacity, now);
            }
        }
        let starts = (budget - self.start_budget) as u64;
        self.start_rate.record(starts, self.start_budget == 0, now);
        self.pace_best_effort(now);
        self.plan_vm_operations(now);
    }

    /// Returns the number of start orders without an answer from workers that answer others.
    fn unanswered_starts(&self) -> usize {
        let answering = self.workers.iter().filter(|worker| !worker.unresponsive);
        let runs = answering.flat_map(|worker| &worker.runs);
        runs.filter(|run| run.phase == RunPhase::Starting).count()
    }

    /// Creates the tasks of the due occurrences of repeated jobs.
    fn begin_repeated_jobs(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        let open = &self.open;
        self.repeated_jobs
            .retain(|id| open.binary_search(id).is_ok());
        for at in 0..self.repeated_jobs.len() {
            self.begin_due_occurrences(self.repeated_jobs[at], now, now_unix_ms);
        }
    }

    /// After a takeover, releases unaccounted tasks for scheduling once they can't be running, or have
    /// completed, on a worker that has not shown it: when all workers of their pools are accounted
    /// for, or when every lease of an earlier owner has expired.
    fn resolve_unaccounted(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        if !self.unaccounted {
            return;
        }
        let wait_over = now.get() >= self.taken_over_at.get() + self.settings.takeover_wait_ms;
        let is_listed = self.workers_listed && self.vms_listed && !self.has_unreadable_vms;
        if !(wait_over || is_listed) {
            return;
        }
        let awaited_pools = match wait_over {
            true => self.pools_with_unlisted_ends(now),
            false => self.unaccounted_pools(),
        };
        let mut accounted_jobs = Vec::new();
        for id in &self.open {
            let Some(job) = self.job(*id).filter(|job| job.unaccounted) else {
                continue;
            };
            let current_pool = self
                .catalogue
                .queue(&job.spec.queue)
                .map(|queue| &queue.pool);
            // An owner of an earlier version did not store where it started tasks.
            let may_run_in =
                |pool: &String| job.may_have_started_in(pool) || Some(pool) == current_pool;
            if !awaited_pools.iter().any(may_run_in) {
                accounted_jobs.push(*id);
            }
        }
        if awaited_pools.is_empty() {
            self.unaccounted = false;
            log::info!(
                after_ms = now.since(self.taken_over_at).get(), outwaited = wait_over;
                "tasks of earlier owners are accounted for: all workers have responded, or the leases have expired"
            );
        }
        if !accounted_jobs.is_empty() && self.unaccounted {
            log::info!(
                jobs = accounted_jobs.len(), awaited_pools = awaited_pools.join(", ");
                "tasks of some jobs are accounted for; workers of other pools have not responded"
            );
        }
        self.process_deferred_ends(&accounted_jobs, now, now_unix_ms);
        for id in accounted_jobs {
            self.count_unreported_runs(id, now);
            if let Some(job) = self.job_mut(id) {
                job.requeue_unaccounted(now);
            }
        }
    }

    /// Returns the pools of VMs whose worker is not accounted for since the takeover.
    fn unaccounted_pools(&self) -> Vec<String> {
        let vms = self.vms.iter();
        let awaited = vms.filter(|vm| !self.is_vm_worker_accounted(vm));
        sorted_names(awaited.map(|vm| &vm.pool))
    }

    /// Returns the pools of workers that may have completed runs which they have not listed yet.
    /// Expired leases of earlier owners don't show these.
    fn pools_with_unlisted_ends(&self, now: MonotonicMillis) -> Vec<String> {
        let workers = self.workers.iter();
        let awaited = workers.filter(|worker| worker.may_have_unlisted_ends(now));
        sorted_names(awaited.map(|worker| &worker.entry.pool))
    }

    /// Returns the steps with waiting tasks, without those for which no worker has enough free CPU.
    fn waiting_steps(
        &mut self,
        index: &PoolIndex,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> Vec<WaitingStep> {
        let mut jobs = std::mem::take(&mut self.waiting_jobs);
        jobs.refresh(|id| self.job(id), &self.catalogue);
        let mut waiting = Vec::new();
        let over_share = self.over_share();
        for row in jobs.iter() {
            let free_cpu_millis = index.largest_free_cpu_millis(&row.pool);
            let has_room = |cpu_millis: u64| free_cpu_millis.is_some_and(|free| cpu_millis <= free);
            if !row.may_preempt && !has_room(row.least_cpu_millis) {
                continue;
            }
            let Some(job) = self.job(row.id) else {
                continue;
            };
            for occurrence in &job.occurrences {
                for (at, step) in occurrence.steps.iter().enumerate() {
                    let spec = &job.spec.steps[at];
                    let may_be_placed = spec.persistent || has_room(spec.reservation().cpu_millis);
                    if step.waiting == 0 || !occurrence.may_start(spec) || !may_be_placed {
                        continue;
                    }
                    waiting.push(WaitingStep {
                        rank: self.rank(job, occurrence.number, at, &over_share, now, now_unix_ms),
                        job: row.id,
                        occurrence: occurrence.number,
                        step: u16::try_from(at).unwrap_or(u16::MAX),
                    });
                }
            }
        }
        self.waiting_jobs = jobs;
        waiting
    }

    /// Returns the organisations that use more than their share of all running work, sorted by
    /// name.
    fn over_share(&self) -> Vec<String> {
        let running = |row: &(String, Resources)| u128::from(row.1.cpu_millis);
        let all_running: u128 = self.usage.iter().map(running).sum();
        let weight = |name: &str| {
            self.catalogue
                .organisation(name)
                .map_or(0, |row| u128::from(row.weight))
        };
        let weights: u128 = self
            .usage
            .iter()
            .filter(|row| row.1.cpu_millis > 0)
            .map(|row| weight(&row.0))
            .sum();
        let is_over_share = |row: &&(String, Resources)| {
            let own = running(row).saturating_mul(weights);
            let share = all_running.saturating_mul(weight(&row.0));
            own.saturating_mul(100) > share.saturating_mul(OVER_SHARE_PERCENT)
        };
        self.usage
            .iter()
            .filter(is_over_share)
            .map(|row| row.0.clone())
            .collect()
    }

    fn rank(
        &self,
        job: &Job,
        occurrence: u32,
        step: usize,
        over_share: &[String],
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> Rank {
        let queue = self.catalogue.queue(&job.spec.queue);
        let objective_ms = queue.map_or(0, |queue| self.objective_ms(&job.spec, queue));
        let row = job.occurrences.iter().find(|row| row.number == occurrence);
        let elapsed_ms = match row.map_or(0, |row| row.due_unix_ms) {
            0 => now.since(job.submitted_at).get(),
            due => now_unix_ms.saturating_sub(due),
        };
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let remaining_ms = row.map_or(0, |row| {
            self.critical_path_where_ms(&job.spec, |at| !row.steps[at].is_done())
        });
        rank(&QueuedStep {
            persistent: job.spec.steps[step].persistent,
            priority: queue.map_or(0, |queue| queue.priority),
            job_started: job.progress.started,
            until_late_ms: signed(objective_ms).saturating_sub(signed(elapsed_ms)),
            remaining_ms,
            remaining_core_ms: self.remaining_core_ms(job),
            over_share: over_share.binary_search(&job.spec.organisation).is_ok(),
        })
    }

    // --- Durations -------------------------------------------------------------------------

    /// Returns the expected duration of a task, in milliseconds.
    fn expected_ms(&self, queue: &str, step: &StepSpec) -> u64 {
        let estimate_ms = match step.estimate_ms {
            0 => DEFAULT_ESTIMATE_MS,
            estimate_ms => estimate_ms,
        };
        let duration_ratio = self
            .duration_ratios
            .binary_search_by(|row| row.0.as_str().cmp(queue))
            .map_or(1.0, |at| self.duration_ratios[at].1);
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        #[allow(clippy::cast_sign_loss)] // a positive duration of seconds
        let expected_ms = (estimate_ms as f64 * duration_ratio) as u64;
        expected_ms
    }

    /// Returns the work of a number of a step's tasks, in core-milliseconds.
    fn core_ms(&self, queue: &str, step: &StepSpec, tasks: u64) -> u64 {
        let cpu_millis = tasks.saturating_mul(step.needs.cpu_millis);
        cpu_millis.saturating_mul(self.expected_ms(queue, step)) / 1_000
    }

    /// Returns the latency within which a job of a queue should complete, in milliseconds.
    pub(super) fn objective_ms(&self, spec: &JobSpec, queue: &QueueInfo) -> u64 {
        let stretched = self
            .critical_path_ms(spec)
            .saturating_mul(queue.stretch_permille);
        (stretched / 1_000).saturating_add(queue.target_latency_ms)
    }

    /// Returns the length of the critical path over the steps for which `counts` is true, in
    /// milliseconds.
    fn critical_path_where_ms(&self, spec: &JobSpec, counts: impl Fn(usize) -> bool) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
        for (at, step) in spec.steps.iter().enumerate() {
            let before = step.after.iter().map(|after| ends[usize::from(*after)]);
            let own = match counts(at) {
                true => self.expected_ms(&spec.queue, step),
                false => 0,
            };
            ends.push(before.max().unwrap_or(0).saturating_add(own));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the length of a job's critical path, in milliseconds.
    pub(super) fn critical_path_ms(&self, spec: &JobSpec) -> u64 {
        self.critical_path_where_ms(spec, |_| true)
    }

    /// Returns the work of all tasks of a job without its persistent ones, in core-milliseconds.
    pub(super) fn work_core_ms(&self, spec: &JobSpec) -> u64 {
        let of_step = |step: &StepSpec| self.core_ms(&spec.queue, step, u64::from(step.count));
        spec.steps
            .iter()
            .filter(|step| !step.persistent)
            .map(of_step)
            .fold(0, u64::saturating_add)
    }

    /// Returns the remaining work of a job without its persistent tasks, in core-milliseconds.
    pub(super) fn remaining_core_ms(&self, job: &Job) -> u64 {
        let mut total: u64 = 0;
        for occurrence in &job.occurrences {
            for (at, step) in occurrence.steps.iter().enumerate() {
                let spec = &job.spec.steps[at];
                let remaining = step.tasks.len() as u64 - u64::from(step.done);
                if !spec.persistent {
                    let core_ms = self.core_ms(&job.spec.queue, spec, remaining);
                    total = total.saturating_add(core_ms);
                }
            }
        }
        total
    }

    // --- Placement -------------------------------------------------------------------------

    /// Starts the waiting tasks of a step as far as there is capacity. `without_capacity` collects
    /// the steps for which none was found in this pass, with their pools, so that steps of the same
    /// pool that need at least as much are skipped.
    fn start_step(
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
        if step_spec.gang {
            self.start_gang(waiting, &spec, &queue, index, now);
            return;
        }
        for task in self.waiting_tasks(waiting) {
            if self.start_budget == 0 || !self.organisation_allows(&spec, step_spec, 1) {
                return;
            }
            let placement = self.waiting_placement(waiting, task, now);
            let placed = match placement {
                SuspectPlacement::Held => None,
                _ => self.place_task(waiting, &spec, &queue, index, &[], (task, placement), now),
            };
            let Some(at) = placed else {
                match placement {
                    SuspectPlacement::Held => continue,
                    SuspectPlacement::Isolated => {
                        let task = task_id(waiting, task);
                        self.reserve_worker(task, &queue.pool, step_spec.reservation(), now);
                        continue;
                    }
                    _ => {}
                }
                if queue.advised {
                    self.request_advice(waiting, &spec, &queue, now);
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
            index.reserve(&self.workers[at], at, step_spec.reservation());
            if placement.is_isolated() {
                index.remove(&self.workers[at], at);
            }
        }
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

    /// Returns the positions of the workers of a pool that an isolated task may run on: those on
    /// other VMs than its losses, if there are any.
    fn isolation_candidates(
        &self,
        pool: &str,
        places_of_losses: &[String],
        now: MonotonicMillis,
    ) -> Vec<usize> {
        let accepts = |at: &usize| {
            let worker = &self.workers[*at];
            worker.entry.pool == pool && worker.accepts_isolated_tasks(now)
        };
        let is_elsewhere = |at: &usize| {
            let worker = &self.workers[*at];
            !places_of_losses.iter().any(|place| worker.is_at(place))
        };
        let all: Vec<usize> = (0..self.workers.len()).filter(accepts).collect();
        let elsewhere: Vec<usize> = all.iter().copied().filter(is_elsewhere).collect();
        match elsewhere.is_empty() {
            true => all,
            false => elsewhere,
        }
    }

    /// Keeps other tasks off the worker that has the fewest fresh runs, for an isolated task that
    /// found none without any.
    fn reserve_worker(
        &mut self,
        task: TaskId,
        pool: &str,
        reservation: Resources,
        now: MonotonicMillis,
    ) {
        let places = self.places_of_losses(task);
        let candidates = self.isolation_candidates(pool, &places, now);
        let is_reserved = |at: &usize| self.workers[*at].reserved_until > now;
        if candidates.iter().any(is_reserved) {
            return;
        }
        let has_room = |at: &usize| {
            let worker = &self.workers[*at];
            worker.entry.capacity.fits(worker.used, reservation)
        };
        let candidates = candidates.into_iter().filter(has_room);
        if let Some(at) = candidates.min_by_key(|at| self.workers[*at].fresh_runs()) {
            self.workers[at].reserved_until = MonotonicMillis::new(now.get() + RESERVATION_MS);
        }
    }

    /// Returns where a waiting task may be started, by the losses of workers under it.
    fn waiting_placement(
        &self,
        waiting: &WaitingStep,
        index: u16,
        now: MonotonicMillis,
    ) -> SuspectPlacement {
        if !self.has_suspects(waiting.job) {
            return SuspectPlacement::Unrestricted;
        }
        let task = task_id(waiting, index);
        let waited_ms = match self.open_task(task).map(|task| &task.status) {
            Some(TaskStatus::Waiting { since }) => now.since(*since).get(),
            _ => 0,
        };
        self.suspect_placement(task, waited_ms)
    }

    /// Requests a VM for a persistent task that found no worker. Once the task has waited for
    /// [`PREEMPT_AFTER_MS`], preempts runs that are not persistent on the worker where the least
    /// CPU has to be freed. Steps preempt independently of each other, each on a worker where no run
    /// is being stopped, because a lost rack or a maintenance wave displaces tasks of many steps at
    /// once.
    fn request_vm_or_preempt(
        &mut self,
        waiting: &WaitingStep,
        spec: &JobSpec,
        queue: &QueueInfo,
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        self.unplaced_pools.push(queue.pool.clone());
        let since = self.waiting_since(waiting).unwrap_or(now);
        let step_id = (waiting.job, waiting.occurrence, waiting.step);
        self.preemptions
            .retain(|row| now.since(row.1).get() < PREEMPT_INTERVAL_MS);
        let recent = self.preemptions.iter().any(|row| row.0 == step_id);
        if now.since(since).get() < PREEMPT_AFTER_MS || recent {
            return;
        }
        let mut best: Option<(u64, usize)> = None;
        for (at, worker) in self.workers.iter().enumerate() {
            let is_suitable = worker.entry.pool == queue.pool
                && worker.accepts_tasks(now)
                && worker.runs.iter().all(Run::is_live)
                && has_required_label(worker, step)
                && !is_at_anti_affinity_limit(worker, waiting, step, 0);
            let mut kept = worker.used;
            let mut stopped = 0;
            for run in worker.runs.iter().filter(|run| !run.persistent) {
                kept.subtract(run.reservation);
                stopped = run.reservation.cpu_millis.saturating_add(stopped);
            }
            if is_suitable
                && worker.entry.capacity.fits(kept, step.reservation())
                && best.is_none_or(|best| stopped < best.0)
            {
                best = Some((stopped, at));
            }
        }
        let Some((_, at)) = best else {
            self.log_unplaced(waiting, queue, now.since(since).get(), now);
            return;
        };
        self.preemptions.push((step_id, now));
        let mut used = self.workers[at].used;
        for position in 0..self.workers[at].runs.len() {
            let run = &self.workers[at].runs[position];
            if self.workers[at]
                .entry
                .capacity
                .fits(used, step.reservation())
            {
                return;
            }
            if !run.persistent && run.is_live() {
                used.subtract(run.reservation);
                log::info!(task = run.task.to_string(), by = waiting.job.to_string(); "run is stopped to make room for a persistent task");
                self.order_stop(at, position, now);
            }
        }
    }

    /// Logs why a persistent task finds no worker, at most once every [`UNPLACED_LOG_INTERVAL_MS`].
    fn log_unplaced(
        &mut self,
        waiting: &WaitingStep,
        queue: &QueueInfo,
        waited_ms: u64,
        now: MonotonicMillis,
    ) {
        if now < self.next_unplaced_log_at {
            return;
        }
        self.next_unplaced_log_at = MonotonicMillis::new(now.get() + UNPLACED_LOG_INTERVAL_MS);
        let in_pool = |worker: &&Worker| worker.entry.pool == queue.pool;
        let count = |counts: fn(&Worker) -> bool| {
            let workers = self.workers.iter().filter(in_pool);
            workers.filter(|worker| counts(worker)).count()
        };
        log::info!(
            job = waiting.job.to_string(), pool = queue.pool.as_str(), waited_ms = waited_ms,
            workers = count(|_| true), draining = count(|worker| worker.draining),
            unresponsive = count(|worker| worker.unresponsive),
            not_ready = count(|worker| !worker.entry.ready || !worker.listed);
            "no worker can take a persistent task, not even by preemption"
        );
    }

    /// Queries placement advice for the workers that have capacity for a step.
    fn request_advice(
        &mut self,
        waiting: &WaitingStep,
        spec: &JobSpec,
        queue: &QueueInfo,
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        let is_suitable = |worker: &&Worker| {
            worker.entry.pool == queue.pool
                && worker.accepts_tasks(now)
                && has_required_label(worker, step)
                && worker.entry.capacity.fits(worker.used, step.reservation())
        };
        let candidates = self.workers.iter().filter(is_suitable);
        let candidates = candidates.map(|worker| worker.entry.id.clone()).collect();
        let key = (waiting.job, waiting.occurrence, waiting.step);
        self.query_advice(key, candidates, now);
    }

    fn waiting_since(&self, waiting: &WaitingStep) -> Option<MonotonicMillis> {
        let index = *self.waiting_tasks(waiting).first()?;
        match self.open_task(task_id(waiting, index))?.status {
            TaskStatus::Waiting { since } => Some(since),
            _ => None,
        }
    }

    /// Returns the queue of a job. A job whose queue was removed stays in the pool where it was
    /// submitted.
    pub(super) fn queue_of(&self, spec: &JobSpec) -> QueueInfo {
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

    fn waiting_tasks(&self, waiting: &WaitingStep) -> Vec<u16> {
        let mut indexes = Vec::new();
        let Some(job) = self.job(waiting.job) else {
            return indexes;
        };
        let Some(at) = job.occurrence_position(waiting.occurrence) else {
            return indexes;
        };
        let step = &job.occurrences[at].steps[usize::from(waiting.step)];
        for (index, task) in step.tasks.iter().enumerate() {
            if matches!(task.status, TaskStatus::Waiting { .. }) {
                indexes.push(u16::try_from(index).unwrap_or(u16::MAX));
            }
        }
        indexes
    }

    fn organisation_allows(&self, spec: &JobSpec, step: &StepSpec, count: u64) -> bool {
        let Some(organisation) = self.catalogue.organisation(&spec.organisation) else {
            return true;
        };
        let used = self.possible_usage(&spec.organisation);
        organisation.limit.allows(used, step.needs.times(count))
    }

    fn next_run(&self, waiting: &WaitingStep, index: u16) -> RunNumber {
        let id = task_id(waiting, index);
        let run = self
            .open_task(id)
            .map_or(RunNumber::default(), |task| task.run);
        run.next(self.epoch)
    }

    /// Returns the position of the worker to run a task, of the given index in its step. `planned`
    /// holds the workers chosen for other tasks of its gang.
    #[allow(clippy::too_many_arguments)]
    fn place_task(
        &self,
        waiting: &WaitingStep,
        spec: &JobSpec,
        queue: &QueueInfo,
        index: &PoolIndex,
        planned: &[usize],
        (task_index, placement): (u16, SuspectPlacement),
        now: MonotonicMillis,
    ) -> Option<usize> {
        let step = &spec.steps[usize::from(waiting.step)];
        let reservation = step.reservation();
        let rack = self.step_rack(waiting, step, planned);
        let places_of_losses = match placement.is_suspect() {
            true => self.places_of_losses(task_id(waiting, task_index)),
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
        let candidate = |at: &usize| {
            let worker = &self.workers[*at];
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
            let chosen = choose_worker(positions.iter().map(candidate), profile);
            return chosen.map(|chosen| positions[chosen]);
        }
        let mut positions = Vec::new();
        let candidates = index
            .with_free_cpu(&queue.pool, reservation.cpu_millis)
            .filter(may_run)
            .inspect(|at| positions.push(*at));
        let chosen = choose_worker(candidates.map(|at| candidate(&at)), profile);
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

    fn start_gang(
        &mut self,
        waiting: &WaitingStep,
        spec: &Rc<JobSpec>,
        queue: &QueueInfo,
        index: &mut PoolIndex,
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
            match self.place_task(waiting, spec, queue, index, &planned, (0, placement), now) {
                Some(at) => planned.push(at),
                None if queue.advised => return self.request_advice(waiting, spec, queue, now),
                None if placement == SuspectPlacement::Isolated => {
                    let task = task_id(waiting, 0);
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
        let task = task_id(waiting, index);
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
    pub(super) fn retry_start(&mut self, at: usize, position: usize, now: MonotonicMillis) {
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
}

/// Returns the names sorted, each once.
fn sorted_names<'a>(names: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut names: Vec<String> = names.cloned().collect();
    names.sort();
    names.dedup();
    names
}

const fn task_id(waiting: &WaitingStep, index: u16) -> TaskId {
    TaskId {
        job: waiting.job,
        occurrence: waiting.occurrence,
        step: waiting.step,
        index,
    }
}

fn has_required_label(worker: &Worker, step: &StepSpec) -> bool {
    step.required_label.is_empty() || worker.entry.labels.contains(&step.required_label)
}

/// Returns whether a worker has as many tasks of a step as anti-affinity allows, counting `more`
/// planned ones.
fn is_at_anti_affinity_limit(
    worker: &Worker,
    waiting: &WaitingStep,
    step: &StepSpec,
    more: usize,
) -> bool {
    step.anti_affinity > 0 && count_step_runs(worker, waiting) + more >= step.anti_affinity as usize
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
