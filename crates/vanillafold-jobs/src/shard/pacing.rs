//! Throttling of best-effort tasks beside latency-sensitive ones.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{PaceInput, next_pace};

use super::orders::Order;
use super::root::Shard;

/// Time between two changes of a run's CPU share, in milliseconds. The loads that a worker reports
/// cover the last half second.
const PACE_INTERVAL_MS: u64 = 600;

impl Shard {
    /// Adjusts the CPU share of best-effort runs to the tail latencies of the latency-sensitive
    /// runs on the same worker.
    pub(super) fn pace_best_effort(&mut self, now: MonotonicMillis) {
        for worker in &mut self.workers {
            if worker.unresponsive || !worker.runs.iter().any(|run| run.best_effort) {
                continue;
            }
            let tail_percent =
                |run: &crate::worker::Run| run.load.saturating_mul(100) / run.latency_target_ms;
            let worst = worker
                .runs
                .iter()
                .filter(|run| run.latency_target_ms > 0 && !run.best_effort)
                .map(tail_percent)
                .max();
            let Some(worst_tail_percent) = worst else {
                continue;
            };
            for run in worker
                .runs
                .iter_mut()
                .filter(|run| run.best_effort && run.is_live())
            {
                if now.since(run.pace_ordered_at).get() < PACE_INTERVAL_MS {
                    continue;
                }
                let percent = next_pace(PaceInput {
                    percent: run.pace_percent,
                    worst_tail_percent,
                });
                if percent == run.pace_percent {
                    continue;
                }
                run.pace_percent = percent;
                run.pace_ordered_at = now;
                let order = Order::Pace {
                    task: run.task,
                    run: run.number,
                    percent,
                };
                self.orders.push((worker.entry.id.clone(), order));
            }
        }
    }
}
