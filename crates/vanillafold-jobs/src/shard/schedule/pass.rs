//! The scheduling pass.

use vanillafold_policy::MonotonicMillis;

use super::forecast::Forecasts;
use crate::shard::pool_index::PoolIndex;
use crate::shard::root::Shard;
use crate::worker::RunPhase;

impl Shard {
    /// Runs a scheduling pass: expires leases, resolves unaccounted tasks, issues start and stop
    /// orders, and plans VM operations.
    pub fn schedule(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        self.pass_unix_ms = now_unix_ms;
        self.remove_ended_workers(now, now_unix_ms);
        self.expire_leases(now, now_unix_ms);
        self.resolve_unaccounted(now, now_unix_ms);
        self.update_unaccounted_usage(now);
        self.evaluate_suspects(now, now_unix_ms);
        self.collect_deletable_jobs(now);
        self.forget_unused_attempt_limits();
        self.drop_finished_advice();
        self.begin_near_waits(now);
        self.retry_stops(now);
        self.begin_repeated_jobs(now, now_unix_ms);
        self.update_returned_workers(now);
        let mut index = PoolIndex::new(&self.workers, now);
        let mut waiting = match self.has_catalogue && self.evacuations.are_known() {
            true => self.waiting_steps(&index, now, now_unix_ms),
            // How often a task may fail, what its organisation may use, or where it must not start
            // is not known.
            false => Vec::new(),
        };
        waiting.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.job.cmp(&b.job)));
        let mut without_capacity = Vec::new();
        let mut forecasts = Forecasts::default();
        self.unplaced_pools.clear();
        let unanswered = self.unanswered_starts();
        let budget = self.flow.window().saturating_sub(unanswered);
        self.start_budget = budget;
        for step in waiting {
            let step_id = (step.job, step.occurrence, step.step);
            if !self.fail_if_waiting_in_vain(step_id, now, now_unix_ms) {
                let pass = (&mut index, &mut forecasts);
                self.start_step(&step, pass, &mut without_capacity, now);
            }
        }
        let starts = (budget - self.start_budget) as u64;
        self.start_rate.record(starts, self.start_budget == 0, now);
        self.pace_best_effort(now);
        self.evacuate_zones(now, now_unix_ms);
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
}
