//! When workers near the data or the group of a step are expected to have room.

use vanillafold_policy::MonotonicMillis;

use super::placement::{
    StepPlacement, anti_affinity_left, has_required_label, is_at_anti_affinity_limit,
};
use super::worker_forecast::WorkerForecast;
use super::zones::fitting_beside;
use crate::shard::pool_index::PoolIndex;
use crate::shard::root::Shard;
use crate::spec::Resources;

/// Number of workers that forecasts may examine in one pass. A burst may have hundreds of steps
/// whose racks are full, and passes run a hundred times a second.
const MAX_EXAMINED_WORKERS: usize = 2_000;
/// Number of racks of a pool that may be kept free in one pass for groups that wait for them.
const MAX_HELD_RACKS: usize = 2;

/// Room that is expected for a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedRoom {
    pub(super) wait_ms: u64,
    /// Whether the task needs room that is free before, or that of several runs.
    collects_room: bool,
    /// Position of the rack in [`Forecasts::racks`].
    rack: usize,
    /// Position of the worker in [`RackForecast::workers`].
    worker: usize,
}

/// Workers that the tasks of a step may wait for.
#[derive(Debug, Default)]
pub(super) struct AwaitedWorkers {
    /// Position of their rack in [`Forecasts::racks`].
    rack: usize,
    /// Positions in [`RackForecast::workers`].
    workers: Vec<usize>,
}

/// The workers of a pool on one rack that accept tasks.
#[derive(Debug)]
struct RackForecast {
    pool: String,
    rack: String,
    workers: Vec<WorkerForecast>,
}

/// Forecasts of one scheduling pass.
#[derive(Debug)]
pub(super) struct Forecasts {
    racks: Vec<RackForecast>,
    /// Number of workers that may still be examined.
    examined_left: usize,
    /// Pools and racks that are kept free for groups.
    held: Vec<(String, String)>,
}

impl Default for Forecasts {
    fn default() -> Self {
        Self {
            racks: Vec::new(),
            examined_left: MAX_EXAMINED_WORKERS,
            held: Vec::new(),
        }
    }
}

impl Forecasts {
    /// Counts examined workers. Returns whether the pass may examine them.
    const fn may_examine(&mut self, workers: usize) -> bool {
        let may_examine = workers <= self.examined_left;
        self.examined_left = self.examined_left.saturating_sub(workers);
        may_examine
    }

    fn is_held(&self, pool: &str, rack: &str) -> bool {
        self.held.iter().any(|row| row.0 == pool && row.1 == rack)
    }

    /// Returns whether another rack of a pool may be kept free for a group.
    pub(super) fn may_hold(&self, pool: &str) -> bool {
        self.held.iter().filter(|row| row.0 == pool).count() < MAX_HELD_RACKS
    }
}

/// What a forecast says.
#[derive(Debug, Clone, Copy)]
pub(super) enum Expected<T> {
    /// Room is expected.
    Room(T),
    /// No room is foreseen.
    Nothing,
    /// No forecast was made, because this pass has examined many workers.
    Unknown,
}

impl Shard {
    /// Returns whether nothing but a lack of room speaks against running tasks of a step on a
    /// worker.
    fn suits(&self, placement: &StepPlacement<'_>, at: usize, now: MonotonicMillis) -> bool {
        let worker = &self.workers[at];
        worker.entry.pool == placement.queue.pool
            && worker.fault_score < 1.0
            && !worker.failed_jobs.contains(&placement.waiting.job)
            && has_required_label(worker, placement.step())
            && (!placement.queue.advised
                || self
                    .ticket(placement.key(), &worker.entry.id, now)
                    .is_some())
    }

    /// Returns how many tasks of a step fit on a worker that suits them, 0 on any other.
    pub(super) fn fitting_if_suitable(
        &self,
        placement: &StepPlacement<'_>,
        at: usize,
        now: MonotonicMillis,
    ) -> u64 {
        let worker = &self.workers[at];
        match self.suits(placement, at, now) {
            true => fitting_beside(worker, worker.used, placement.waiting, placement.step()),
            false => 0,
        }
    }

    /// Returns the forecasts of those workers of a pool on a rack that accept tasks. Lost workers,
    /// and those whose VM is to be moved or maintained, are none of them, so that no room is expected
    /// there.
    fn worker_forecasts(
        &self,
        pool: &str,
        rack: &str,
        index: &PoolIndex,
        now: MonotonicMillis,
    ) -> Vec<WorkerForecast> {
        let positions = self.racks.workers(rack).unwrap_or_default();
        let accepts = |at: &usize| {
            let worker = &self.workers[*at];
            worker.entry.pool == pool && index.contains(worker, *at)
        };
        let positions = positions.iter().copied().filter(accepts);
        positions.map(|at| self.worker_forecast(at, now)).collect()
    }

    /// Returns the workers on a rack that a task of a step may wait for; `None` if no forecast may be
    /// made.
    ///
    /// A worker that has room now is not waited for: if it suited the task, it would have been
    /// chosen.
    pub(super) fn awaited_workers(
        &self,
        placement: &StepPlacement<'_>,
        rack: &str,
        (index, forecasts): (&PoolIndex, &mut Forecasts),
        now: MonotonicMillis,
    ) -> Option<AwaitedWorkers> {
        let (step, pool) = (placement.step(), &placement.queue.pool);
        if forecasts.is_held(pool, rack) {
            return Some(AwaitedWorkers::default());
        }
        let on_rack = self.racks.workers(rack).map_or(0, <[usize]>::len);
        if !forecasts.may_examine(on_rack) {
            return None;
        }
        let known = forecasts
            .racks
            .iter()
            .position(|row| row.pool == *pool && row.rack == rack);
        let rack_at = known.unwrap_or_else(|| {
            forecasts.racks.push(RackForecast {
                pool: pool.clone(),
                rack: rack.to_owned(),
                workers: self.worker_forecasts(pool, rack, index, now),
            });
            forecasts.racks.len() - 1
        });
        let is_awaited = |row: &WorkerForecast| {
            let worker = &self.workers[row.position];
            let has_room = worker.entry.capacity.fits(worker.used, step.reservation());
            !has_room
                && self.suits(placement, row.position, now)
                && !is_at_anti_affinity_limit(worker, placement.waiting, step, 0)
        };
        let workers = forecasts.racks[rack_at].workers.iter().enumerate();
        let workers = workers.filter(|(_, row)| is_awaited(row));
        Some(AwaitedWorkers {
            rack: rack_at,
            workers: workers.map(|(at, _)| at).collect(),
        })
    }

    /// Returns the room that a task is expected to find first on these workers.
    pub(super) fn expected_room(
        &self,
        awaited: &AwaitedWorkers,
        reservation: Resources,
        forecasts: &mut Forecasts,
    ) -> Expected<ExpectedRoom> {
        if !forecasts.may_examine(awaited.workers.len()) {
            return Expected::Unknown;
        }
        let room = |at: &usize| {
            let row = &forecasts.racks[awaited.rack].workers[*at];
            let capacity = self.workers[row.position].entry.capacity;
            let (wait_ms, collects_room) = row.room_for(capacity, reservation)?;
            Some(ExpectedRoom {
                wait_ms,
                collects_room,
                rack: awaited.rack,
                worker: *at,
            })
        };
        let rooms = awaited.workers.iter().filter_map(room);
        match rooms.min_by_key(|room| room.wait_ms) {
            Some(room) => Expected::Room(room),
            None => Expected::Nothing,
        }
    }

    /// Expects no other task in the room that a task waits for. What the task needs of it and is free
    /// already gets no other task in this pass.
    pub(super) fn reserve_room(
        &self,
        placement: &StepPlacement<'_>,
        room: ExpectedRoom,
        (index, forecasts): (&mut PoolIndex, &mut Forecasts),
    ) {
        let step = placement.step();
        let run_ms = self.expected_ms(&placement.spec.queue, step);
        let row = &mut forecasts.racks[room.rack].workers[room.worker];
        row.add_run(room.wait_ms, run_ms, step.reservation());
        if room.collects_room {
            index.remove(&self.workers[row.position], row.position);
        }
    }

    /// Returns the time until the last of a step's waiting tasks finds room on a rack, in
    /// milliseconds, if they start there one after the other.
    pub(super) fn expected_step_wait(
        &self,
        placement: &StepPlacement<'_>,
        (rack, tasks): (&str, usize),
        (index, forecasts): (&PoolIndex, &mut Forecasts),
        now: MonotonicMillis,
    ) -> Expected<u64> {
        let (step, pool) = (placement.step(), &placement.queue.pool);
        if forecasts.is_held(pool, rack) {
            return Expected::Nothing;
        }
        let on_rack = self.racks.workers(rack).map_or(0, <[usize]>::len);
        if !forecasts.may_examine(on_rack.saturating_mul(tasks)) {
            return Expected::Unknown;
        }
        let mut workers = self.worker_forecasts(pool, rack, index, now);
        workers.retain(|row| self.suits(placement, row.position, now));
        let may_take = |row: &WorkerForecast| {
            let worker = &self.workers[row.position];
            anti_affinity_left(worker, placement.waiting, step)
        };
        let mut tasks_left: Vec<u64> = workers.iter().map(may_take).collect();
        let run_ms = self.expected_ms(&placement.spec.queue, step);
        let reservation = step.reservation();
        let mut last_ms = 0;
        for _ in 0..tasks {
            let room = |row: &WorkerForecast| {
                let capacity = self.workers[row.position].entry.capacity;
                row.room_for(capacity, reservation)
            };
            let rooms = workers.iter().enumerate();
            let rooms = rooms.filter(|(at, _)| tasks_left[*at] > 0);
            let rooms = rooms.filter_map(|(at, row)| Some((room(row)?.0, at)));
            let Some((wait_ms, at)) = rooms.min() else {
                return Expected::Nothing;
            };
            workers[at].add_run(wait_ms, run_ms, reservation);
            tasks_left[at] -= 1;
            last_ms = last_ms.max(wait_ms);
        }
        Expected::Room(last_ms)
    }

    /// Returns the time until a number of a step's tasks find room on a rack at the same time, in
    /// milliseconds.
    pub(super) fn expected_gang_wait(
        &self,
        placement: &StepPlacement<'_>,
        (rack, tasks): (&str, usize),
        (index, forecasts): (&PoolIndex, &mut Forecasts),
        now: MonotonicMillis,
    ) -> Expected<u64> {
        let (step, pool) = (placement.step(), &placement.queue.pool);
        if forecasts.is_held(pool, rack) {
            return Expected::Nothing;
        }
        let on_rack = self.racks.workers(rack).map_or(0, <[usize]>::len);
        if !forecasts.may_examine(on_rack) {
            return Expected::Unknown;
        }
        let mut workers = self.worker_forecasts(pool, rack, index, now);
        workers.retain(|row| self.suits(placement, row.position, now));
        let fitting = |row: &WorkerForecast| {
            let worker = &self.workers[row.position];
            fitting_beside(worker, row.used, placement.waiting, step)
        };
        let mut total = workers.iter().map(fitting).fold(0, u64::saturating_add);
        let ends = workers.iter().enumerate();
        let ends =
            ends.flat_map(|(at, row)| row.releases.iter().map(move |end| (end.0, at, end.1)));
        let mut ends: Vec<(u64, usize, Resources)> = ends.collect();
        ends.sort_unstable_by_key(|end| (end.0, end.1));
        for (wait_ms, at, released) in ends {
            let before = fitting(&workers[at]);
            workers[at].used.subtract(released);
            total = total.saturating_add(fitting(&workers[at]).saturating_sub(before));
            if total >= tasks as u64 {
                return Expected::Room(wait_ms);
            }
        }
        Expected::Nothing
    }

    /// Keeps a rack free for a group that waits for it, from the tasks that are placed after it in
    /// this pass. Otherwise these would take each bit of room as it becomes free.
    pub(super) fn hold_rack(
        &self,
        placement: &StepPlacement<'_>,
        rack: &str,
        (index, forecasts): (&mut PoolIndex, &mut Forecasts),
    ) {
        let pool = &placement.queue.pool;
        for at in self.racks.workers(rack).unwrap_or_default() {
            let worker = &self.workers[*at];
            if worker.entry.pool == *pool {
                index.remove(worker, *at);
            }
        }
        forecasts.held.push((pool.clone(), rack.to_owned()));
    }
}
