//! Placement of tasks under which workers were lost, apart from others.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::SuspectPlacement;

use super::order::WaitingStep;
use crate::id::TaskId;
use crate::job::TaskStatus;
use crate::shard::root::Shard;
use crate::spec::Resources;

/// How long a worker is kept free for an isolated task, in milliseconds: until its fresh runs have
/// either ended or lasted, and a poll has shown it.
const RESERVATION_MS: u64 = 1_500;

impl Shard {
    /// Returns the positions of the workers of a pool that an isolated task may run on: those on
    /// other VMs than its losses, if there are any.
    pub(super) fn isolation_candidates(
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
    pub(super) fn reserve_worker(
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
    pub(super) fn waiting_placement(
        &self,
        waiting: &WaitingStep,
        index: u16,
        now: MonotonicMillis,
    ) -> SuspectPlacement {
        if !self.has_suspects(waiting.job) {
            return SuspectPlacement::Unrestricted;
        }
        let task = waiting.task(index);
        let waited_ms = match self.open_task(task).map(|task| &task.status) {
            Some(TaskStatus::Waiting { since }) => now.since(*since).get(),
            _ => 0,
        };
        self.suspect_placement(task, waited_ms)
    }
}
