//! Preemption of other runs for persistent tasks that find no worker.

use vanillafold_policy::MonotonicMillis;

use super::order::WaitingStep;
use super::placement::{has_required_label, is_at_anti_affinity_limit};
use crate::shard::catalogue::QueueInfo;
use crate::shard::root::Shard;
use crate::spec::JobSpec;
use crate::worker::{Run, Worker};

/// Minimum time between two log lines about persistent tasks that find no worker, in milliseconds.
const UNPLACED_LOG_INTERVAL_MS: u64 = 2_000;

/// How long a persistent task waits for a worker before it preempts other runs, in milliseconds.
/// Other tasks usually end by themselves in about this time.
const PREEMPT_AFTER_MS: u64 = 1_000;
/// Time between two preemptions for one step, in milliseconds. Runs that are being stopped still
/// hold their reservations meanwhile.
const PREEMPT_INTERVAL_MS: u64 = 1_000;

impl Shard {
    /// Requests a VM for a persistent task that found no worker. Once the task has waited for
    /// [`PREEMPT_AFTER_MS`], preempts runs that are not persistent on the worker where the least
    /// CPU has to be freed. Steps preempt independently of each other, each on a worker where no run
    /// is being stopped, because a lost rack or a maintenance wave displaces tasks of many steps at
    /// once.
    pub(super) fn request_vm_or_preempt(
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
                // Stopping runs frees nothing that a worker which returns from an evacuation may use.
                && worker.returned_at.is_none()
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
}
