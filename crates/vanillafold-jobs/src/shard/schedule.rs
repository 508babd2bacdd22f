//! Which task starts where, now.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    PlacementCandidate, QueuedStep, Rank, TaskProfile, choose_worker, rank,
};

use super::catalogue::QueueInfo;
use super::orders::Order;
use super::root::Shard;
use crate::id::{JobId, RunNumber, TaskId};
use crate::job::{Job, TaskStatus};
use crate::spec::{JobSpec, Resources, StepSpec};
use crate::worker::{Run, RunPhase, Worker};

/// The estimate of a task whose caller gave none, in milliseconds.
const UNKNOWN_ESTIMATE_MS: u64 = 1_000;

/// A persistent task that found no room for so long stops other work, in milliseconds: usual
/// tasks end about as fast by themselves.
const PREEMPT_AFTER_MS: u64 = 1_000;
/// Between two preemptions, in milliseconds: what is being stopped still takes room meanwhile.
const PREEMPT_INTERVAL_MS: u64 = 1_000;
/// An organisation is over its share from this part of it on, in percent: tasks are coarse.
const OVER_SHARE_PERCENT: u64 = 125;
/// Orders to start one run before its task goes elsewhere: two lost answers in a row are rare, and
/// a worker that swallows orders is left alone soon.
const MAX_START_ORDERS: u32 = 3;
/// Failed runs after which a job of a queue that is gone has failed.
const FORMER_QUEUE_ATTEMPTS: u32 = 3;

/// A step with tasks that wait.
#[derive(Debug)]
struct Waiting {
    rank: Rank,
    job: JobId,
    occurrence: u32,
    step: u16,
}

impl Shard {
    /// Starts what may start, stops what must stop, and plans for machines.
    pub fn schedule(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        self.lapse_workers(now, now_unix_ms);
        self.resolve_unclear(now, now_unix_ms);
        self.forget_old(now);
        self.forget_advice();
        self.repeat_stops(now);
        let timed: Vec<JobId> = self
            .open
            .iter()
            .copied()
            .filter(|id| self.job(*id).is_some_and(|job| job.spec.repeat.is_some()))
            .collect();
        for id in timed {
            self.begin_due(id, now, now_unix_ms);
        }
        let mut waiting = self.waiting_steps(now, now_unix_ms);
        waiting.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.job.cmp(&b.job)));
        let mut full = Vec::new();
        self.homeless.clear();
        for step in waiting {
            self.start_step(&step, &mut full, now);
        }
        self.pace_filling(now);
        self.plan_duties(now);
    }

    /// Tasks that could run on workers that have not been heard wait until all workers of their
    /// pool are heard, or until whatever an earlier owner started there is gone.
    fn resolve_unclear(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        if !self.unclear {
            return;
        }
        let outwaited = now.get() >= self.taken_over_at.get() + self.settings.outwait_ms;
        if !(outwaited || (self.workers_listed && self.machines_listed)) {
            return;
        }
        let silent = match outwaited {
            true => Vec::new(),
            false => self.silent_pools(),
        };
        let mut clear = Vec::new();
        for id in &self.open {
            let Some(job) = self.job(*id).filter(|job| job.unclear) else {
                continue;
            };
            let now_at = self
                .catalogue
                .queue(&job.spec.queue)
                .map(|queue| &queue.pool);
            let may_run_in = |pool: &String| *pool == job.spec.pool || Some(pool) == now_at;
            if !silent.iter().any(may_run_in) {
                clear.push(*id);
            }
        }
        if silent.is_empty() {
            self.unclear = false;
            log::info!(
                after_ms = now.since(self.taken_over_at).get(), outwaited = outwaited;
                "all workers accounted for after a takeover"
            );
        }
        self.take_in_deferred(&clear, now, now_unix_ms);
        for id in clear {
            if let Some(job) = self.job_mut(id) {
                job.clear_up(now);
            }
        }
    }

    /// The pools with workers that may run something and have not been heard.
    fn silent_pools(&self) -> Vec<String> {
        let mut silent: Vec<String> = self
            .machines
            .iter()
            .filter(|machine| !self.machine_heard(machine))
            .map(|machine| machine.pool.clone())
            .collect();
        silent.sort();
        silent.dedup();
        silent
    }

    fn waiting_steps(&self, now: MonotonicMillis, now_unix_ms: u64) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        let over_share = self.over_share();
        for id in &self.open {
            let Some(job) = self.job(*id).filter(|job| job.spec_stored) else {
                continue;
            };
            for occurrence in &job.occurrences {
                for (at, step) in occurrence.steps.iter().enumerate() {
                    let spec = &job.spec.steps[at];
                    if step.waiting == 0 || !occurrence.may_start(spec) {
                        continue;
                    }
                    waiting.push(Waiting {
                        rank: self.rank(job, occurrence.number, at, &over_share, now, now_unix_ms),
                        job: *id,
                        occurrence: occurrence.number,
                        step: u16::try_from(at).unwrap_or(u16::MAX),
                    });
                }
            }
        }
        waiting
    }

    /// Organisations that have more running than their share of all that runs, sorted by name.
    fn over_share(&self) -> Vec<String> {
        let running: u64 = self.usage.iter().map(|row| row.1.cpu_millis).sum();
        let weight = |name: &str| self.catalogue.tenant(name).map_or(0, |row| row.weight);
        let weights: u64 = self
            .usage
            .iter()
            .filter(|row| row.1.cpu_millis > 0)
            .map(|row| weight(&row.0))
            .sum();
        let over = |row: &&(String, Resources)| {
            row.1.cpu_millis * weights * 100 > running * weight(&row.0) * OVER_SHARE_PERCENT
        };
        self.usage
            .iter()
            .filter(over)
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
        let objective_ms = queue.map_or(0, |queue| {
            self.chain_ms(&job.spec) * queue.stretch_millis / 1_000 + queue.target_latency_ms
        });
        let row = job.occurrences.iter().find(|row| row.number == occurrence);
        let passed_ms = match row.map_or(0, |row| row.due_unix_ms) {
            0 => now.since(job.accepted_at).get(),
            due => now_unix_ms.saturating_sub(due),
        };
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let remaining_ms = row.map_or(0, |row| {
            self.longest_chain(&job.spec, |at| !row.steps[at].is_done())
        });
        rank(&QueuedStep {
            persistent: job.spec.steps[step].persistent,
            priority: queue.map_or(0, |queue| queue.priority),
            job_started: job.progress.begun,
            until_late_ms: signed(objective_ms) - signed(passed_ms),
            remaining_ms,
            remaining_core_ms: self.remaining_core_ms(job),
            over_share: over_share.binary_search(&job.spec.tenant).is_ok(),
        })
    }

    // --- Times -----------------------------------------------------------------------------

    /// How long a task of a step is expected to run.
    fn expected_ms(&self, queue: &str, step: &StepSpec) -> u64 {
        let estimate_ms = match step.estimate_ms {
            0 => UNKNOWN_ESTIMATE_MS,
            estimate_ms => estimate_ms,
        };
        let learned = self
            .learned
            .binary_search_by(|row| row.0.as_str().cmp(queue))
            .map_or(1.0, |at| self.learned[at].1);
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        #[allow(clippy::cast_sign_loss)] // positive times of seconds
        let expected_ms = (estimate_ms as f64 * learned) as u64;
        expected_ms
    }

    /// The longest chain of the steps that `counts` keeps.
    fn longest_chain(&self, spec: &JobSpec, counts: impl Fn(usize) -> bool) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
        for (at, step) in spec.steps.iter().enumerate() {
            let before = step.after.iter().map(|after| ends[usize::from(*after)]);
            let own = match counts(at) {
                true => self.expected_ms(&spec.queue, step),
                false => 0,
            };
            ends.push(before.max().unwrap_or(0) + own);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// A job's longest chain of work.
    pub(super) fn chain_ms(&self, spec: &JobSpec) -> u64 {
        self.longest_chain(spec, |_| true)
    }

    /// What all tasks of a job take, in core-milliseconds.
    pub(super) fn work_core_ms(&self, spec: &JobSpec) -> u64 {
        let of_step = |step: &StepSpec| {
            u64::from(step.count) * step.needs.cpu_millis * self.expected_ms(&spec.queue, step)
                / 1_000
        };
        spec.steps
            .iter()
            .filter(|step| !step.persistent)
            .map(of_step)
            .sum()
    }

    /// What the tasks of a job that are not done still take, in core-milliseconds.
    pub(super) fn remaining_core_ms(&self, job: &Job) -> u64 {
        let mut total = 0;
        for occurrence in &job.occurrences {
            for (at, step) in occurrence.steps.iter().enumerate() {
                let spec = &job.spec.steps[at];
                let left = step.tasks.len() as u64 - u64::from(step.done);
                if !spec.persistent {
                    total += left * spec.needs.cpu_millis * self.expected_ms(&job.spec.queue, spec)
                        / 1_000;
                }
            }
        }
        total
    }

    // --- Placement -------------------------------------------------------------------------

    /// Starts the waiting tasks of a step as far as there is room. `full` are steps' needs, by
    /// pool, for which no room was found in this pass.
    fn start_step(
        &mut self,
        waiting: &Waiting,
        full: &mut Vec<(String, StepSpec)>,
        now: MonotonicMillis,
    ) {
        let Some(job) = self.job(waiting.job) else {
            return;
        };
        let spec = Rc::clone(&job.spec);
        let queue = self.queue_of(&spec);
        let step_spec = &spec.steps[usize::from(waiting.step)];
        let plain =
            step_spec.anti_affinity == 0 && step_spec.required_label.is_empty() && !step_spec.gang;
        let no_room = |row: &(String, StepSpec)| {
            row.0 == queue.pool
                && step_spec.booked().cpu_millis >= row.1.booked().cpu_millis
                && step_spec.booked().memory_mib >= row.1.booked().memory_mib
                && step_spec.booked().gpus >= row.1.booked().gpus
        };
        if full.iter().any(no_room) {
            return;
        }
        if step_spec.gang {
            self.start_gang(waiting, &spec, &queue, now);
            return;
        }
        for index in self.waiting_tasks(waiting) {
            if !self.tenant_allows(&spec, step_spec, 1) {
                return;
            }
            let placed = self.place_task(waiting, &spec, &queue, &[], now);
            let Some(at) = placed else {
                if queue.advised {
                    self.ask_about(waiting, &spec, &queue, now);
                    return;
                }
                if step_spec.persistent {
                    self.make_room(waiting, &spec, &queue, now);
                }
                if plain {
                    full.push((queue.pool.clone(), step_spec.clone()));
                }
                return;
            };
            let run = self.next_run(waiting, index);
            self.start_task(at, waiting, &spec, index, run, now);
        }
    }

    /// Asks for a VM for a persistent task that found no room, and, once it has waited for long
    /// enough, stops work that need not run now.
    fn make_room(
        &mut self,
        waiting: &Waiting,
        spec: &JobSpec,
        queue: &QueueInfo,
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        self.homeless.push(queue.pool.clone());
        let since = self.waiting_since(waiting).unwrap_or(now);
        if now.since(since).get() < PREEMPT_AFTER_MS || now < self.preempt_at {
            return;
        }
        let mut best: Option<(u64, usize)> = None;
        for (at, worker) in self.workers.iter().enumerate() {
            let suits = worker.entry.pool == queue.pool
                && worker.is_usable(now)
                && suits(worker, step)
                && !is_crowded(worker, waiting, step, 0);
            let mut kept = worker.used;
            let mut stopped = 0;
            for run in worker.runs.iter().filter(|run| !run.persistent) {
                kept.remove(run.booked);
                stopped += run.booked.cpu_millis;
            }
            if suits
                && worker.entry.capacity.fits(kept, step.booked())
                && best.is_none_or(|best| stopped < best.0)
            {
                best = Some((stopped, at));
            }
        }
        let Some((_, at)) = best else { return };
        self.preempt_at = MonotonicMillis::new(now.get() + PREEMPT_INTERVAL_MS);
        let mut used = self.workers[at].used;
        for position in 0..self.workers[at].runs.len() {
            let run = &self.workers[at].runs[position];
            if self.workers[at].entry.capacity.fits(used, step.booked()) {
                return;
            }
            if !run.persistent && run.is_live() {
                used.remove(run.booked);
                log::info!(task = run.task.to_string(), by = waiting.job.to_string(); "run preempted");
                self.order_stop(at, position, now);
            }
        }
    }

    /// Asks for advice about the workers with room for a step.
    fn ask_about(
        &mut self,
        waiting: &Waiting,
        spec: &JobSpec,
        queue: &QueueInfo,
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        let has_room = |worker: &&Worker| {
            worker.entry.pool == queue.pool
                && worker.is_usable(now)
                && suits(worker, step)
                && worker.entry.capacity.fits(worker.used, step.booked())
        };
        let candidates = self.workers.iter().filter(has_room);
        let candidates = candidates.map(|worker| worker.entry.id.clone()).collect();
        let key = (waiting.job, waiting.occurrence, waiting.step);
        self.ask_advice(key, candidates, now);
    }

    fn waiting_since(&self, waiting: &Waiting) -> Option<MonotonicMillis> {
        let index = *self.waiting_tasks(waiting).first()?;
        match self.placed_task(task_id(waiting, index))?.status {
            TaskStatus::Waiting { since } => Some(since),
            _ => None,
        }
    }

    /// The queue of a job; one that the configuration no longer has goes on where it was.
    pub(super) fn queue_of(&self, spec: &JobSpec) -> QueueInfo {
        match self.catalogue.queue(&spec.queue) {
            Some(queue) => queue.clone(),
            None => QueueInfo {
                name: spec.queue.clone(),
                pool: spec.pool.clone(),
                priority: 0,
                max_attempts: FORMER_QUEUE_ATTEMPTS,
                stretch_millis: 0,
                target_latency_ms: 0,
                advised: false,
            },
        }
    }

    fn waiting_tasks(&self, waiting: &Waiting) -> Vec<u16> {
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

    fn tenant_allows(&self, spec: &JobSpec, step: &StepSpec, count: u64) -> bool {
        let Some(tenant) = self.catalogue.tenant(&spec.tenant) else {
            return true;
        };
        let mut more = step.needs;
        more.cpu_millis *= count;
        more.memory_mib *= count;
        more.gpus *= count;
        tenant.limit.allows(self.usage(&spec.tenant), more)
    }

    fn next_run(&self, waiting: &Waiting, index: u16) -> RunNumber {
        let id = task_id(waiting, index);
        let run = self
            .placed_task(id)
            .map_or(RunNumber::default(), |task| task.run);
        run.next(self.epoch)
    }

    /// Finds a worker for a task. `planned` are workers that other tasks of its gang are to get.
    fn place_task(
        &self,
        waiting: &Waiting,
        spec: &JobSpec,
        queue: &QueueInfo,
        planned: &[usize],
        now: MonotonicMillis,
    ) -> Option<usize> {
        let step = &spec.steps[usize::from(waiting.step)];
        let booked = step.booked();
        let rack = self.step_rack(waiting, step, planned);
        let mut places = Vec::new();
        let mut candidates = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            if worker.entry.pool != queue.pool || !worker.is_usable(now) {
                continue;
            }
            let mut used = worker.used;
            for _ in planned.iter().filter(|other| **other == at) {
                used.add(booked);
            }
            let key = (waiting.job, waiting.occurrence, waiting.step);
            if queue.advised && self.ticket(key, &worker.entry.id, now).is_none() {
                continue;
            }
            let more = planned.iter().filter(|other| **other == at).count();
            let crowded = is_crowded(worker, waiting, step, more);
            if crowded || !suits(worker, step) || !worker.entry.capacity.fits(used, booked) {
                continue;
            }
            let labels = &worker.entry.labels;
            let leaves = step.persistent && self.is_worker_due(&worker.entry.id);
            places.push(at);
            candidates.push(PlacementCandidate {
                free_cpu_millis: worker.entry.capacity.cpu_millis - used.cpu_millis,
                near_data: step.data_rack.is_empty() || labels.contains(&step.data_rack),
                same_rack: rack.as_ref().is_none_or(|rack| labels.contains(rack)),
                persistent_tasks: count(worker, |run| run.persistent),
                best_effort_tasks: count(worker, |run| run.fills),
                latency_sensitive_tasks: count(worker, |run| run.target_ms > 0),
                fault_score: worker.faults,
                maintenance_due: leaves,
                failed_here: worker.failed.contains(&waiting.job),
            });
        }
        let placement = TaskProfile {
            persistent: step.persistent,
            best_effort: step.fills,
            latency_sensitive: step.target_ms > 0,
        };
        choose_worker(&candidates, placement).map(|chosen| places[chosen])
    }

    /// The rack where the other tasks of a step run, if it matters.
    fn step_rack(&self, waiting: &Waiting, step: &StepSpec, planned: &[usize]) -> Option<String> {
        if !step.same_rack {
            return None;
        }
        let first = planned.first().copied().or_else(|| {
            self.workers
                .iter()
                .position(|worker| same_step(worker, waiting) > 0)
        });
        first.and_then(|at| self.workers[at].entry.labels.last().cloned())
    }

    fn start_gang(
        &mut self,
        waiting: &Waiting,
        spec: &Rc<JobSpec>,
        queue: &QueueInfo,
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        let members = self.waiting_tasks(waiting);
        if members.len() != step.count as usize
            || !self.tenant_allows(spec, step, u64::from(step.count))
        {
            return;
        }
        let mut planned = Vec::with_capacity(members.len());
        for _ in &members {
            match self.place_task(waiting, spec, queue, &planned, now) {
                Some(at) => planned.push(at),
                None if queue.advised => return self.ask_about(waiting, spec, queue, now),
                None => return,
            }
        }
        let next = members.iter().map(|index| self.next_run(waiting, *index));
        let Some(run) = next.max() else { return };
        for (index, at) in members.iter().zip(planned) {
            self.start_task(at, waiting, spec, *index, run, now);
        }
    }

    fn start_task(
        &mut self,
        at: usize,
        waiting: &Waiting,
        spec: &Rc<JobSpec>,
        index: u16,
        number: RunNumber,
        now: MonotonicMillis,
    ) {
        let step = &spec.steps[usize::from(waiting.step)];
        let task = task_id(waiting, index);
        let worker = &mut self.workers[at];
        let id = worker.entry.id.clone();
        worker.book(Run {
            task,
            number,
            phase: RunPhase::Starting,
            start_orders: 0,
            ordered_at: now,
            booked: step.booked(),
            needs: step.needs,
            tenant: spec.tenant.clone(),
            started_at: now,
            checkpoint: String::new(),
            percent: 0,
            progressed_at: now,
            load: 0,
            persistent: step.persistent,
            fills: step.fills,
            target_ms: step.target_ms,
            pace_percent: 100,
            pace_ordered_at: now,
        });
        let position = worker.runs.len() - 1;
        self.add_usage(&spec.tenant, step.needs);
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

    /// Gives out an order to start a booked run. The worker knows a run by its number, so that a
    /// repeated order starts nothing twice.
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
            // Only workers whose clock has been read get work: a look settles what is there.
            worker.runs[position].phase = RunPhase::Unsure;
            return;
        };
        worker.lease(deadline_ms);
        let run = &mut worker.runs[position];
        run.phase = RunPhase::Starting;
        run.start_orders += 1;
        run.ordered_at = now;
        let (task, number) = (run.task, run.number);
        let id = worker.entry.id.clone();
        if run.persistent || run.start_orders > 1 {
            log::info!(
                task = task.to_string(), run = number.get(), worker = id.as_str(),
                waited_ms = waited_ms, order = run.start_orders;
                "run ordered"
            );
        }
        let ticket = self.ticket((task.job, task.occurrence, task.step), &id, now);
        let ticket = ticket.unwrap_or("").to_owned();
        let checkpoint = self
            .placed_task(task)
            .map_or(String::new(), |row| row.checkpoint.clone());
        let order = Order::Start {
            task,
            run: number,
            spec: Rc::clone(spec),
            deadline_ms,
            checkpoint,
            ticket,
            waited_ms,
        };
        self.orders.push((id, order));
    }

    /// A start without an answer that a look shows not to be there is ordered again under the
    /// same number; after several, or if the worker should get no work, it is stopped, so that it
    /// can't come later.
    pub(super) fn repeat_start(&mut self, at: usize, position: usize, now: MonotonicMillis) {
        let worker = &self.workers[at];
        let run = &worker.runs[position];
        let placed = self.placed_task(run.task).is_some_and(|task| {
            task.run == run.number
                && matches!(&task.status, TaskStatus::Placed { worker: on } if *on == worker.entry.id)
        });
        let takes_work = worker.listed && worker.entry.ready && !worker.reserved;
        let again = placed && takes_work && run.start_orders < MAX_START_ORDERS;
        let spec = self.job(run.task.job).map(|job| Rc::clone(&job.spec));
        match spec.filter(|_| again) {
            Some(spec) => self.order_start(at, position, &spec, 0, now),
            None => {
                let phase = RunPhase::Stopping { next_order_at: now };
                self.workers[at].runs[position].phase = phase;
            }
        }
    }
}

const fn task_id(waiting: &Waiting, index: u16) -> TaskId {
    TaskId {
        job: waiting.job,
        occurrence: waiting.occurrence,
        step: waiting.step,
        index,
    }
}

fn suits(worker: &Worker, step: &StepSpec) -> bool {
    step.required_label.is_empty() || worker.entry.labels.contains(&step.required_label)
}

/// Whether a worker has as many tasks of a step as it may, `more` of them planned.
fn is_crowded(worker: &Worker, waiting: &Waiting, step: &StepSpec, more: usize) -> bool {
    step.anti_affinity > 0 && same_step(worker, waiting) + more >= step.anti_affinity as usize
}

fn same_step(worker: &Worker, waiting: &Waiting) -> usize {
    let step = (waiting.job, waiting.occurrence, waiting.step);
    let same = |run: &&Run| run.task.step_id() == step;
    worker.runs.iter().filter(same).count()
}

fn count(worker: &Worker, kind: impl Fn(&Run) -> bool) -> u32 {
    let count = worker.runs.iter().filter(|run| kind(run)).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
