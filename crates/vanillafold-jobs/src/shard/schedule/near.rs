//! Waiting for room near the data or the group of a step.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    NO_SLOWDOWN_PERMILLE, NearWait, NearWaitInput, SuspectPlacement, near_wait,
};

use super::forecast::{AwaitedWorkers, Expected, Forecasts};
use super::placement::StepPlacement;
use crate::job::TaskStatus;
use crate::shard::near_waits::{NearWaitCounts, Waiter};
use crate::shard::pool_index::PoolIndex;
use crate::shard::root::Shard;
use crate::spec::StepSpec;

/// What the decisions for all tasks of a step have in common in one pass.
#[derive(Debug)]
pub(super) struct WaitTerms {
    near_run_ms: u64,
    until_late_ms: i64,
    remaining_ms: u64,
    /// Workers that tasks may wait for one by one.
    awaited: Option<AwaitedWorkers>,
}

/// Returns whether a task may wait for room near. A task that may have crashed a worker has other
/// reasons to run somewhere.
pub(super) const fn may_wait(suspicion: SuspectPlacement) -> bool {
    matches!(
        suspicion,
        SuspectPlacement::Unrestricted | SuspectPlacement::Spread
    )
}

impl Shard {
    /// Returns how many tasks and groups have waited for a near placement during this ownership.
    #[must_use]
    pub const fn near_wait_counts(&self) -> NearWaitCounts {
        self.near_waits.counts()
    }

    /// Returns whether remote runs take longer than near ones, as far as the settings tell.
    pub(super) const fn has_slow_remote_runs(&self) -> bool {
        self.settings.remote_factor_permille > NO_SLOWDOWN_PERMILLE
    }

    /// Returns how long a run of a step takes on a worker as a multiple of the expected duration, in
    /// thousandths, as far as its data matters.
    pub(in crate::shard) fn data_slowdown_permille(&self, at: usize, step: &StepSpec) -> u64 {
        let labels = &self.workers[at].entry.labels;
        let is_near = step.data_rack.is_empty() || labels.contains(&step.data_rack);
        match is_near || step.persistent || !self.has_slow_remote_runs() {
            true => NO_SLOWDOWN_PERMILLE,
            false => self.settings.remote_factor_permille,
        }
    }

    /// Returns how long a run of a step on a worker takes as a multiple of the expected duration, in
    /// thousandths. The first tasks of a group on the rack where the others follow count as near.
    pub(super) fn slowdown_permille(&self, placement: &StepPlacement<'_>, at: usize) -> u64 {
        let (step, group) = (placement.step(), &placement.group);
        let may_become_near =
            !step.gang && !group.awaited.is_empty() && group.prefers(&self.workers[at]);
        let is_split = group.is_remote && !may_become_near && !step.persistent;
        match is_split && self.has_slow_remote_runs() {
            true => self.settings.remote_factor_permille,
            false => self.data_slowdown_permille(at, step),
        }
    }

    /// Decides whether a task of a step that is placed task by task waits for room near, rather than
    /// to start on the worker that was found for it.
    pub(super) fn task_waits(
        &mut self,
        placement: &mut StepPlacement<'_>,
        (task, at): (u16, usize),
        (index, forecasts): (&mut PoolIndex, &mut Forecasts),
        now: MonotonicMillis,
    ) -> bool {
        let step = placement.step();
        if step.persistent
            || !self.has_slow_remote_runs()
            || placement.is_near_data(&self.workers[at])
        {
            return false;
        }
        let mut terms = match placement.wait_terms.take() {
            Some(terms) => terms,
            None => self.wait_terms(placement, now),
        };
        if terms.awaited.is_none() {
            let rack = &step.data_rack;
            terms.awaited = self.awaited_workers(placement, rack, (index, forecasts), now);
        }
        let expected = match &terms.awaited {
            Some(awaited) => self.expected_room(awaited, step.reservation(), forecasts),
            None => Expected::Unknown,
        };
        let wait_ms = match expected {
            Expected::Room(room) => Expected::Room(room.wait_ms),
            Expected::Nothing => Expected::Nothing,
            Expected::Unknown => Expected::Unknown,
        };
        let waiter = Waiter {
            task: placement.waiting.task(task),
            is_group: false,
        };
        let waits = self.decide_wait(&terms, waiter, wait_ms, now);
        if let Expected::Room(room) = expected
            && waits
        {
            self.reserve_room(placement, room, (index, forecasts));
        }
        placement.wait_terms = Some(terms);
        waits
    }

    /// Decides whether the rest of a group, of which `tasks` tasks wait, waits for room on its rack
    /// rather than to start on the worker that was found for the next one.
    pub(super) fn group_waits(
        &mut self,
        placement: &StepPlacement<'_>,
        (tasks, at): (usize, usize),
        (index, forecasts): (&PoolIndex, &mut Forecasts),
        now: MonotonicMillis,
    ) -> bool {
        let group = &placement.group;
        let waiter = group_waiter(placement);
        let Some(rack) = group.awaited.first() else {
            return false;
        };
        if placement.step().persistent
            || !self.has_slow_remote_runs()
            || group.prefers(&self.workers[at])
            || self.near_waits.is_given_up(waiter)
        {
            return false;
        }
        let expected = self.expected_step_wait(placement, (rack, tasks), (index, forecasts), now);
        let terms = self.wait_terms(placement, now);
        let waits = self.decide_wait(&terms, waiter, expected, now);
        if !waits {
            self.near_waits.give_up(waiter);
        }
        waits
    }

    /// Decides whether a gang that has found room on several racks, or far from its data, waits for
    /// room near. If it does, a rack is kept free for it.
    pub(super) fn gang_waits(
        &mut self,
        placement: &StepPlacement<'_>,
        (index, forecasts): (&mut PoolIndex, &mut Forecasts),
        now: MonotonicMillis,
    ) -> bool {
        let (step, group) = (placement.step(), &placement.group);
        let pool = &placement.queue.pool;
        if step.persistent || !self.has_slow_remote_runs() || !group.is_remote {
            return false;
        }
        let mut best = (Expected::Nothing, None);
        let awaited = match forecasts.may_hold(pool) {
            true => group.awaited.as_slice(),
            false => &[],
        };
        for rack in awaited {
            let members = step.count as usize;
            let expected =
                self.expected_gang_wait(placement, (rack, members), (index, forecasts), now);
            best = match (best.0, expected) {
                (Expected::Room(before), Expected::Room(after)) if before <= after => best,
                (_, Expected::Room(_)) => (expected, Some(rack)),
                (Expected::Nothing, Expected::Unknown) => (expected, None),
                _ => best,
            };
        }
        let terms = self.wait_terms(placement, now);
        let waits = self.decide_wait(&terms, group_waiter(placement), best.0, now);
        if let Some(rack) = best.1.filter(|_| waits) {
            self.hold_rack(placement, rack, (index, forecasts));
        }
        waits
    }

    fn wait_terms(&self, placement: &StepPlacement<'_>, now: MonotonicMillis) -> WaitTerms {
        let waiting = placement.waiting;
        let until_late_ms = self.job(waiting.job).map_or(0, |job| {
            self.until_late_ms(job, waiting.occurrence, now, self.pass_unix_ms)
        });
        WaitTerms {
            near_run_ms: self.expected_ms(&placement.spec.queue, placement.step()),
            until_late_ms,
            remaining_ms: self.chain_ms(placement.spec, waiting.step),
            awaited: None,
        }
    }

    /// Decides whether a task or group waits, and records that it does.
    fn decide_wait(
        &mut self,
        terms: &WaitTerms,
        waiter: Waiter,
        expected: Expected<u64>,
        now: MonotonicMillis,
    ) -> bool {
        let expected_wait_ms = match expected {
            Expected::Room(wait_ms) => Some(wait_ms),
            Expected::Nothing => None,
            // It is decided anew in the next pass; until then the bound on the whole wait holds.
            Expected::Unknown => self.near_waits.is_waiting(waiter).then_some(0),
        };
        let decision = near_wait(NearWaitInput {
            expected_wait_ms,
            near_run_ms: terms.near_run_ms,
            remote_factor_permille: self.settings.remote_factor_permille,
            waited_ms: self.near_waits.waited_ms(waiter, now),
            until_late_ms: terms.until_late_ms,
            remaining_ms: terms.remaining_ms,
        });
        let waits = decision == NearWait::Wait;
        if waits {
            self.near_waits.wait(waiter, now);
        }
        waits
    }

    /// Records the start of a task that may have waited for room near, alone or with its gang.
    pub(super) fn record_near_start(
        &mut self,
        placement: &StepPlacement<'_>,
        (task, at): (u16, usize),
        now: MonotonicMillis,
    ) {
        if !self.has_slow_remote_runs() {
            return;
        }
        let slowdown_permille = self.slowdown_permille(placement, at);
        let waiter = match self.is_group(placement.step()) {
            true => group_waiter(placement),
            false => Waiter {
                task: placement.waiting.task(task),
                is_group: false,
            },
        };
        let near = slowdown_permille == NO_SLOWDOWN_PERMILLE;
        self.near_waits.started(waiter, near, now);
    }

    /// Begins a scheduling pass for the waits of tasks and groups.
    pub(super) fn begin_near_waits(&mut self, now: MonotonicMillis) {
        let mut near_waits = std::mem::take(&mut self.near_waits);
        let is_open = |waiter: Waiter| {
            let task = self.open_task(waiter.task);
            task.is_some_and(|task| waiter.is_group || task.status != TaskStatus::Done)
        };
        near_waits.begin_pass(is_open, now);
        self.near_waits = near_waits;
    }
}

const fn group_waiter(placement: &StepPlacement<'_>) -> Waiter {
    Waiter {
        task: placement.waiting.task(0),
        is_group: true,
    }
}
