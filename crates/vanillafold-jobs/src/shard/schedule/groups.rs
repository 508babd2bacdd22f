//! Racks for steps whose tasks are fast only together on one rack, and gangs.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::SuspectPlacement;

use super::forecast::Forecasts;
use super::near::may_wait;
use super::order::WaitingStep;
use super::placement::StepPlacement;
use super::zones::MAX_LOCATED_RUNS;
use crate::job::TaskStatus;
use crate::shard::pool_index::PoolIndex;
use crate::shard::rack_index::rack_of;
use crate::shard::root::Shard;
use crate::spec::StepSpec;
use crate::worker::Worker;

/// Number of racks that a gang may wait for, those with the most room now. Bounds the forecasts of a
/// pass.
const MAX_AWAITED_RACKS: usize = 4;

/// Where the tasks of a step run if they are a group.
#[derive(Debug, Default)]
pub(super) struct GroupPlacement {
    /// Rack for the tasks that are placed now; `None` if the step has none.
    pub(super) rack: Option<String>,
    /// Whether the tasks are placed only on that rack, because all of them fit there.
    pub(super) only: bool,
    /// Whether the tasks are slow, because the group runs on several racks or far from its data.
    pub(super) is_remote: bool,
    /// Racks where the group would be fast, once there is room for all of it. Empty also if the group
    /// is not fast anywhere any more.
    pub(super) awaited: Vec<String>,
}

impl GroupPlacement {
    /// Returns whether a worker is on the group's rack, or there is none.
    pub(super) fn prefers(&self, worker: &Worker) -> bool {
        let labels = &worker.entry.labels;
        self.rack.as_ref().is_none_or(|rack| labels.contains(rack))
    }

    /// Returns whether the tasks must not run on a worker.
    pub(super) fn excludes(&self, worker: &Worker) -> bool {
        self.only && !self.prefers(worker)
    }

    fn near(rack: &str, step: &StepSpec) -> Self {
        Self {
            rack: Some(rack.to_owned()),
            // Maintenance and losses matter more for a task that runs for long.
            only: !step.persistent,
            is_remote: false,
            awaited: Vec::new(),
        }
    }

    /// Returns the placement of a group that has no room on any of these racks, where it would be
    /// fast. Tasks that are placed all the same run rather on the first one.
    fn remote(awaited: Vec<String>) -> Self {
        Self {
            rack: awaited.first().cloned(),
            only: false,
            is_remote: true,
            awaited,
        }
    }
}

impl Shard {
    /// Returns whether the tasks of a step are placed as a group: they are fast only together on one
    /// rack, or start together near their data.
    pub(super) const fn is_group(&self, step: &StepSpec) -> bool {
        let near_data = step.gang && !step.data_rack.is_empty() && self.has_slow_remote_runs();
        (step.same_rack && step.count > 1) || near_data
    }

    /// Returns the rack for a group of which `tasks` tasks wait.
    ///
    /// If all of them fit on one rack, they are placed there: tasks on two racks are all slow, and the
    /// rack of the first free worker may have no room for the others.
    pub(super) fn place_group(
        &self,
        placement: &StepPlacement<'_>,
        tasks: u64,
        index: &PoolIndex,
        now: MonotonicMillis,
    ) -> GroupPlacement {
        let step = placement.step();
        let fits = |rack: &str| self.fitting_on_rack(placement, rack, index, now) >= tasks;
        let is_near = |rack: &str| step.data_rack.is_empty() || rack == step.data_rack;
        let mut used = self.racks_of_runs(placement.waiting);
        used.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        match used.as_slice() {
            [(rack, _)] if is_near(rack) && fits(rack) => return GroupPlacement::near(rack, step),
            [(rack, _)] if is_near(rack) => return GroupPlacement::remote(vec![rack.clone()]),
            [(rack, _), ..] => {
                return GroupPlacement {
                    awaited: Vec::new(),
                    ..GroupPlacement::remote(vec![rack.clone()])
                };
            }
            [] => {}
        }
        if !step.data_rack.is_empty() && fits(&step.data_rack) {
            return GroupPlacement::near(&step.data_rack, step);
        }
        let at_data = GroupPlacement::remote(vec![step.data_rack.clone()]);
        let may_run_elsewhere = step.data_rack.is_empty() || (step.gang && step.same_rack);
        if !may_run_elsewhere {
            return at_data;
        }
        let (rack, mut room) = self.search_rack(placement, tasks, index, now);
        match rack {
            Some(rack) if step.data_rack.is_empty() => GroupPlacement::near(&rack, step),
            Some(rack) => GroupPlacement {
                is_remote: true,
                awaited: at_data.awaited,
                ..GroupPlacement::near(&rack, step)
            },
            None if !step.data_rack.is_empty() => at_data,
            None => {
                room.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
                let awaited = room.into_iter().map(|row| row.0);
                let limit = match step.gang {
                    true => MAX_AWAITED_RACKS,
                    // The first tasks start at once, on the rack where the others follow.
                    false => 1,
                };
                GroupPlacement::remote(awaited.take(limit).collect())
            }
        }
    }

    /// Returns how many tasks of a step fit on a rack.
    fn fitting_on_rack(
        &self,
        placement: &StepPlacement<'_>,
        rack: &str,
        index: &PoolIndex,
        now: MonotonicMillis,
    ) -> u64 {
        let positions = self.racks.workers(rack).unwrap_or_default().iter();
        let in_index = |at: &&usize| index.contains(&self.workers[**at], **at);
        let positions = positions.filter(in_index);
        let fitting = positions.map(|at| self.fitting_if_suitable(placement, *at, now));
        fitting.fold(0, u64::saturating_add)
    }

    /// Returns the rack on which `tasks` tasks of a step fit, on the fullest workers of the first zone;
    /// and, if there is none, how many fit on each rack.
    fn search_rack(
        &self,
        placement: &StepPlacement<'_>,
        tasks: u64,
        index: &PoolIndex,
        now: MonotonicMillis,
    ) -> (Option<String>, Vec<(String, u64)>) {
        let cpu_millis = placement.step().reservation().cpu_millis;
        let pool = &placement.queue.pool;
        let mut racks: Vec<(&str, u64)> = Vec::new();
        for (_, at) in placement.zones.workers(index, pool, cpu_millis) {
            let Some(rack) = rack_of(&self.workers[at]) else {
                continue;
            };
            let fitting = self.fitting_if_suitable(placement, at, now);
            if fitting == 0 {
                continue;
            }
            let position = racks.binary_search_by(|row| row.0.cmp(rack));
            let position = position.unwrap_or_else(|position| {
                racks.insert(position, (rack, 0));
                position
            });
            let row = &mut racks[position];
            row.1 = row.1.saturating_add(fitting);
            if row.1 >= tasks {
                return (Some(rack.to_owned()), Vec::new());
            }
        }
        let owned = |row: (&str, u64)| (row.0.to_owned(), row.1);
        (None, racks.into_iter().map(owned).collect())
    }

    /// Returns the racks where tasks of a step run, and the number of their runs there. If they run on
    /// several, the runs beyond [`MAX_LOCATED_RUNS`] are not counted.
    fn racks_of_runs(&self, waiting: &WaitingStep) -> Vec<(String, u32)> {
        let mut racks: Vec<(String, u32)> = Vec::new();
        let Some(step) = self.step(waiting) else {
            return racks;
        };
        if !step.may_have_placed_tasks() {
            return racks;
        }
        let mut located = 0;
        for task in &step.tasks {
            let TaskStatus::Placed { worker } = &task.status else {
                continue;
            };
            let at = self.worker_position(worker);
            let Some(rack) = at.and_then(|at| rack_of(&self.workers[at])) else {
                continue;
            };
            match racks.iter_mut().find(|row| row.0 == rack) {
                Some(row) => row.1 += 1,
                None => racks.push((rack.to_owned(), 1)),
            }
            located += 1;
            if racks.len() > 1 && located >= MAX_LOCATED_RUNS {
                break;
            }
        }
        racks
    }

    /// Returns whether these workers are on one rack, and near the data of a step.
    fn are_near(&self, placement: &StepPlacement<'_>, planned: &[usize]) -> bool {
        let step = placement.step();
        let racks = planned.iter().map(|at| rack_of(&self.workers[*at]));
        let mut racks: Vec<Option<&str>> = racks.collect();
        racks.dedup();
        let on_one_rack = !step.same_rack || (racks.len() == 1 && racks[0].is_some());
        let near_data = |at: &usize| placement.is_near_data(&self.workers[*at]);
        on_one_rack && planned.iter().all(near_data)
    }

    /// Returns the positions of workers for all members of a gang, if there is room for them.
    fn plan_gang(
        &self,
        placement: &StepPlacement<'_>,
        index: &PoolIndex,
        suspicion: SuspectPlacement,
        now: MonotonicMillis,
    ) -> Option<Vec<usize>> {
        let mut planned = Vec::with_capacity(placement.step().count as usize);
        for _ in 0..placement.step().count {
            planned.push(self.place_task(placement, index, &planned, (0, suspicion), now)?);
        }
        Some(planned)
    }

    /// Starts a gang if there is room for all its members, and unless it waits for room near.
    pub(super) fn start_gang(
        &mut self,
        placement: &mut StepPlacement<'_>,
        (index, forecasts): (&mut PoolIndex, &mut Forecasts),
        now: MonotonicMillis,
    ) {
        let waiting = placement.waiting;
        let step = placement.step();
        let members = self.waiting_tasks(waiting);
        // A gang that is larger than the window goes out when no other start is unanswered.
        let exceeds_budget =
            members.len() > self.start_budget && self.start_budget < self.flow.window();
        if members.len() != step.count as usize
            || exceeds_budget
            || !self.organisation_allows(placement.spec, step, u64::from(step.count))
        {
            return;
        }
        // The losses of a gang are counted under its first member.
        let suspicion = self.waiting_placement(waiting, 0, now);
        if suspicion == SuspectPlacement::Held {
            return;
        }
        let Some(mut planned) = self.plan_gang(placement, index, suspicion, now) else {
            if placement.queue.advised {
                self.request_advice(placement, index, now);
            } else if suspicion == SuspectPlacement::Isolated {
                let task = waiting.task(0);
                let pool = &placement.queue.pool;
                self.reserve_worker(task, pool, step.reservation(), now);
            }
            return;
        };
        if self.is_group(step) && !self.are_near(placement, &planned) {
            placement.group = self.place_group(placement, members.len() as u64, index, now);
            match self.plan_gang(placement, index, suspicion, now) {
                Some(on_rack) => planned = on_rack,
                None => placement.group = GroupPlacement::remote(Vec::new()),
            }
        }
        if may_wait(suspicion) && self.gang_waits(placement, (index, forecasts), now) {
            return;
        }
        let next = members.iter().map(|index| self.next_run(waiting, *index));
        let Some(run) = next.max() else { return };
        for (task, at) in members.iter().zip(&planned) {
            self.start_task(*at, placement, *task, run, suspicion, now);
            self.record_near_start(placement, (*task, *at), now);
            index.reserve(&self.workers[*at], *at, step.reservation());
        }
        if suspicion.is_isolated() {
            for at in planned {
                index.remove(&self.workers[at], at);
            }
        }
    }
}
