//! When a worker is expected to have room.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::expected_remaining_ms;

use crate::shard::root::Shard;
use crate::spec::Resources;
use crate::worker::{Run, RunPhase};

/// The expected use of a worker from now on.
#[derive(Debug)]
pub(super) struct WorkerForecast {
    /// Position in the shard's list of workers.
    pub(super) position: usize,
    /// What runs use at `at_ms`.
    pub(super) used: Resources,
    /// Time from now up to which the forecast is used up by tasks that wait for this worker, in
    /// milliseconds.
    at_ms: u64,
    /// Times from now at which runs are expected to end, in milliseconds, and what they release; in
    /// ascending order.
    pub(super) releases: Vec<(u64, Resources)>,
}

impl WorkerForecast {
    /// Returns when a task finds room, in milliseconds from now, and whether it needs room that is
    /// free before, or that of several runs; `None` if it finds none.
    pub(super) fn room_for(
        &self,
        capacity: Resources,
        reservation: Resources,
    ) -> Option<(u64, bool)> {
        let mut used = self.used;
        let mut at_ms = self.at_ms;
        let mut ends = 0;
        let mut releases = self.releases.iter();
        while !capacity.fits(used, reservation) {
            let release = releases.next()?;
            used.subtract(release.1);
            at_ms = release.0.max(at_ms);
            ends += 1;
        }
        let first = self.releases.first().map(|row| row.1);
        let fits_in_first =
            first.is_some_and(|first| first.fits(Resources::default(), reservation));
        Some((at_ms, ends > 1 || !fits_in_first))
    }

    /// Adds a run that begins after `wait_ms`.
    pub(super) fn add_run(&mut self, wait_ms: u64, run_ms: u64, reservation: Resources) {
        let ended = self.releases.partition_point(|row| row.0 <= wait_ms);
        for (_, released) in self.releases.drain(..ended) {
            self.used.subtract(released);
        }
        self.used.add(reservation);
        self.at_ms = wait_ms;
        let end_ms = wait_ms.saturating_add(run_ms);
        let at = self.releases.partition_point(|row| row.0 <= end_ms);
        self.releases.insert(at, (end_ms, reservation));
    }
}

impl Shard {
    /// Returns the forecast of a worker without the tasks that wait for it.
    pub(super) fn worker_forecast(&self, at: usize, now: MonotonicMillis) -> WorkerForecast {
        let worker = &self.workers[at];
        let ending = worker.runs.iter().filter(|run| !run.persistent);
        let mut releases: Vec<(u64, Resources)> = ending
            .filter_map(|run| Some((self.remaining_ms(run, now)?, run.reservation)))
            .collect();
        releases.sort_unstable_by_key(|row| row.0);
        WorkerForecast {
            position: at,
            used: worker.used,
            at_ms: 0,
            releases,
        }
    }

    /// Returns the expected time until a run ends, in milliseconds; `None` if its step is not known.
    fn remaining_ms(&self, run: &Run, now: MonotonicMillis) -> Option<u64> {
        if matches!(
            run.phase,
            RunPhase::Stopping { .. } | RunPhase::Stopped { .. }
        ) {
            return Some(0);
        }
        let (job, step) = self.described_step(run.task)?;
        let near_ms = self.expected_ms(&job.spec.queue, step);
        let expected_ms = near_ms.saturating_mul(run.slowdown_permille) / 1_000;
        let elapsed_ms = now.since(run.started_at).get();
        Some(expected_remaining_ms(expected_ms, elapsed_ms))
    }
}
