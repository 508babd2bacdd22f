//! Start orders without an answer, which the platform may yet carry out in a later incarnation of their
//! worker.

use vanillafold_policy::MonotonicMillis;

use super::root::Shard;
use crate::id::WorkerId;
use crate::worker::{MAX_ORDER_DELAY_MS, PollReport, Run, RunPhase};

/// A run whose start order got no answer.
#[derive(Debug)]
struct LateStart {
    worker: WorkerId,
    run: Run,
    /// When the newest order for the run was sent, or was found to have no answer.
    at: MonotonicMillis,
}

/// Runs that an order without an answer may still start. They are kept by the id of the worker and not
/// with the worker, which is dropped once it is no longer listed and may come back under its id.
#[derive(Debug, Default)]
pub(super) struct LateStarts {
    rows: Vec<LateStart>,
}

impl LateStarts {
    /// Records that the start order of a run, of this time, has no answer.
    pub(super) fn record(&mut self, worker: &WorkerId, run: &Run, at: MonotonicMillis) {
        let is_same = |row: &LateStart| {
            row.worker == *worker && row.run.task == run.task && row.run.number == run.number
        };
        self.rows
            .retain(|row| at.since(row.at).get() < MAX_ORDER_DELAY_MS && !is_same(row));
        self.rows.push(LateStart {
            worker: worker.clone(),
            run: run.clone(),
            at,
        });
    }

    /// Returns the runs that may still start on a worker.
    fn on(&self, worker: &WorkerId, now: MonotonicMillis) -> Vec<Run> {
        let may_start = |row: &&LateStart| {
            row.worker == *worker && now.since(row.at).get() < MAX_ORDER_DELAY_MS
        };
        let rows = self.rows.iter().filter(may_start);
        rows.map(|row| row.run.clone()).collect()
    }
}

impl Shard {
    /// Stops the runs that orders without an answer may still start in the incarnation of a worker that
    /// answers for the first time with this report. Neither the deadline of such an order nor an earlier
    /// stop is effective there.
    pub(super) fn stop_late_starts(
        &mut self,
        at: usize,
        report: &PollReport,
        now: MonotonicMillis,
    ) {
        for mut run in self.late_starts.on(&self.workers[at].entry.id, now) {
            let is_tracked = self.workers[at]
                .run_position(run.task, run.number)
                .is_some();
            if !is_tracked && !report.lists(run.task, run.number) {
                run.phase = RunPhase::Stopping { next_order_at: now };
                self.add_usage(&run.organisation.clone(), run.needs);
                self.workers[at].add_run(run);
            }
        }
    }
}
