//! The simulated platform, the shard's owner, and the checks of the invariants.

use vanillafold_jobs::{
    Advice, AdviceQuery, Batch, Catalogue, EndKind, Epoch, JobId, JobSpec, JobState, ListedEnd,
    Order, OrderAnswer, PollPlan, PoolInfo, QueueInfo, Record, Repeat, Resources, Settings, Shard,
    StepSpec, SubmitOutcome, TaskId, Vm, VmState, WorkerEntry, WorkerId,
};
use vanillafold_policy::MonotonicMillis;

use super::counts::SimulationCounts;
use super::evacuation::{CHECKPOINTING_TEXT, Evacuations, zone_name};
use super::options::SimulationOptions;
use super::violation::Violation;
use super::worker::{FULL_CAPACITY_MILLIS, OrderResult, RunProfile, SimRun, SimWorker};
use crate::process::Random;

/// The simulated time of one step.
pub(super) const STEP_MS: u64 = 5;
/// The time that the store takes for an append while it is available.
const STORE_LATENCY_MS: u64 = 10;
/// The time after which an order or poll without an answer counts as failed.
const ANSWER_TIMEOUT_MS: u64 = 500;
/// A task is not started again after this many failed runs.
const MAX_ATTEMPTS: u32 = 3;
/// The time that the advice service takes for a query.
const ADVICE_LATENCY_MS: u64 = 20;
/// The time that a ticket of the advice service is valid.
const TICKET_VALID_MS: u64 = 3_000;
/// Starts count this long after the store is back.
const CONTACT_MS: u64 = 3_000;
/// A worker is back this long after a task has crashed it.
const CRASH_DOWN_MS: u64 = 3_000;
/// Number of crashed workers after which the starts of a task that crashes them count, and the
/// number of these that breaks the invariant.
const COUNTED_CRASHES: u32 = 3;
/// Text of a job whose first task crashes each worker that starts it.
const CRASHING_TEXT: &str = "crashing";
/// Text of a job whose tasks take several seconds.
const LONG_TEXT: &str = "long";
/// The shortest run of a task that resumes from a checkpoint near its end.
const MIN_RUN_MS: u64 = 100;
/// The racks of the workers.
const RACKS: [&str; 2] = ["rack-0", "rack-1"];
/// How long a worker is partitioned soon after a restart.
const PARTITION_MS: u64 = 12_000;
/// No task may start later than this after the cancellation of its job was acknowledged.
const CANCEL_GRACE_MS: u64 = 3_000;

/// A batch that was sent to the store.
#[derive(Debug)]
struct PendingWrite {
    batch: Batch,
    due_ms: u64,
    refused: bool,
}

/// A fault that follows another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LaterFault {
    /// The worker of this index is partitioned.
    Partition(usize),
    LostOwner,
}

/// A query to the advice service, with the tickets that it got when it was sent.
#[derive(Debug)]
struct PendingAdvice {
    query: AdviceQuery,
    tickets: Vec<(WorkerId, String)>,
    sent_ms: u64,
}

/// Whether an order is executed when it is sent or later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Immediate,
    /// The order is executed seconds after it was sent, without an answer to its sender.
    Delayed,
}

/// An order that the worker executes later, without an answer to its sender.
#[derive(Debug)]
struct DelayedOrder {
    due_ms: u64,
    worker_index: usize,
    token: u64,
    order: Order,
}

/// An unanswered order or poll whose time-out is reported to the owner at `due_ms`.
#[derive(Debug)]
struct PendingTimeout {
    due_ms: u64,
    worker: WorkerId,
    /// `None` for a poll.
    order: Option<Order>,
}

/// The answer to an order that reaches the owner at `due_ms`.
#[derive(Debug)]
struct PendingAnswer {
    due_ms: u64,
    worker: WorkerId,
    order: Order,
    answer: OrderAnswer,
}

/// A job and what its caller knows of it.
#[derive(Debug)]
struct CallerJob {
    id: JobId,
    spec: JobSpec,
    submit_at_ms: u64,
    accepted: bool,
    refused: bool,
    cancel_at_ms: Option<u64>,
    cancel_requested: bool,
    cancelled_at_ms: Option<u64>,
}

/// A successful end of a run, for the checks.
#[derive(Debug)]
struct CompletedRun {
    task: TaskId,
    worker_index: usize,
    end_number: u64,
    interruptions: u64,
    acknowledged: bool,
}

/// What a task that crashes its workers has done so far, for the checks.
#[derive(Debug)]
struct CrashingTask {
    task: TaskId,
    crashes: u32,
    /// Starts after [`COUNTED_CRASHES`] crashes.
    later_starts: u32,
}

/// A platform with workers and with at most one owner of the shard at a time.
#[derive(Debug)]
pub struct Simulation {
    options: SimulationOptions,
    random: Random,
    now_ms: u64,
    epoch: u64,
    shard: Option<Shard>,
    /// Number of the pool that serves the queue.
    queue_pool: usize,
    catalogue_version: u64,
    /// When the owner reads the configuration; `None` if it has read it.
    configured_at_ms: Option<u64>,
    next_owner_at_ms: u64,
    workers: Vec<SimWorker>,
    /// For each worker, the start of the incarnation to which the owner's connection for polls is
    /// open; `None` if it is closed.
    poll_connections: Vec<Option<u64>>,
    /// The store's content, sorted by key.
    records: Vec<(String, Vec<u8>)>,
    pending_write: Option<PendingWrite>,
    pending_advice: Vec<PendingAdvice>,
    store_out_until_ms: u64,
    delayed_orders: Vec<DelayedOrder>,
    /// Faults that are due at a time.
    later_faults: Vec<(u64, LaterFault)>,
    timeouts: Vec<PendingTimeout>,
    answers: Vec<PendingAnswer>,
    jobs: Vec<CallerJob>,
    completed: Vec<CompletedRun>,
    /// The number of failed runs of each task that the owner has acknowledged.
    acknowledged_failures: Vec<(TaskId, u32)>,
    /// Failed runs of each task.
    failures: Vec<(TaskId, u32)>,
    crashing: Vec<CrashingTask>,
    /// Tasks that ran on a worker when it crashed by itself, once for each such crash.
    crashed_beside: Vec<TaskId>,
    evacuations: Evacuations,
    counts: SimulationCounts,
}

impl Simulation {
    /// Creates a simulation whose course depends only on the seed and the options.
    #[must_use]
    pub fn new(seed: u64, options: SimulationOptions) -> Self {
        let mut random = Random::new(seed);
        let mut evacuations = Evacuations::new(seed, &options);
        let workers = (0..options.workers)
            .map(|index| {
                let clock_rate_permille = 980 + random.next_u64() % 21;
                let pool = pool_name(index % options.pools);
                let zone = index / options.pools % options.zones;
                SimWorker::new(format!("w{index}"), pool, zone, clock_rate_permille)
            })
            .collect();
        let mut jobs = Vec::new();
        for number in 0..options.jobs {
            let mut job = random_job(number, options.fault_phase_ms, &mut random);
            let is_crashing = options.crashing_job_permille > 0
                && random.next_u64() % 1_000 < options.crashing_job_permille;
            if is_crashing {
                make_crashing(&mut job, &mut random);
            }
            if options.near_job_permille > 0
                && random.next_u64() % 1_000 < options.near_job_permille
            {
                make_near(&mut job.spec.steps[0], &mut random);
            }
            if options.long_job_permille > 0
                && random.next_u64() % 1_000 < options.long_job_permille
            {
                job.spec.text = LONG_TEXT.to_owned();
            }
            evacuations.vary_job(&mut job.spec);
            jobs.push(job);
        }
        Self {
            options,
            random,
            now_ms: 10_000,
            epoch: 0,
            shard: None,
            queue_pool: 0,
            catalogue_version: 1,
            configured_at_ms: None,
            next_owner_at_ms: 0,
            poll_connections: vec![None; options.workers],
            workers,
            records: Vec::new(),
            pending_write: None,
            pending_advice: Vec::new(),
            store_out_until_ms: 0,
            delayed_orders: Vec::new(),
            later_faults: Vec::new(),
            timeouts: Vec::new(),
            answers: Vec::new(),
            jobs,
            completed: Vec::new(),
            acknowledged_failures: Vec::new(),
            failures: Vec::new(),
            crashing: Vec::new(),
            crashed_beside: Vec::new(),
            evacuations,
            counts: SimulationCounts::default(),
        }
    }

    /// Runs the fault phase and the recovery phase.
    ///
    /// # Errors
    ///
    /// Returns the first violation of an invariant.
    pub fn run(mut self) -> Result<SimulationCounts, Violation> {
        let fault_phase_end_ms = self.now_ms + self.options.fault_phase_ms;
        let end_ms = fault_phase_end_ms + self.options.recovery_phase_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            match self.now_ms < fault_phase_end_ms {
                true => self.inject_faults(),
                false => self.evacuations.end_all(self.now_ms),
            }
            self.step()?;
        }
        self.check_jobs()?;
        self.counts.add_ownership(self.shard.as_ref());
        Ok(self.counts)
    }

    // --- Faults ----------------------------------------------------------------------------

    fn happens(&mut self, permille_per_s: u64) -> bool {
        self.random.next_u64() % (1_000 * 1_000 / STEP_MS) < permille_per_s
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn inject_faults(&mut self) {
        self.inject_later_faults();
        self.evacuations.begin_and_end(self.now_ms);
        if self.shard.is_some() && self.happens(self.options.owner_loss_permille_per_s) {
            self.lose_owner();
        }
        if self.happens(self.options.store_outage_permille_per_s) {
            self.store_out_until_ms = self.now_ms + 500 + self.random_below(4_000);
        }
        let moves = self.options.queue_move_permille_per_s;
        if moves > 0 && self.happens(moves) {
            self.move_queue();
        }
        for index in 0..self.workers.len() {
            if self.happens(self.options.worker_partition_permille_per_s) {
                self.workers[index].partitioned_until_ms =
                    self.now_ms + 500 + self.random_below(8_000);
            }
            if self.happens(self.options.worker_crash_permille_per_s) {
                let down_ms = 200 + self.random_below(4_000);
                let runs = self.workers[index].runs.iter();
                self.crashed_beside.extend(runs.map(|run| run.task));
                self.workers[index].crash(self.now_ms, down_ms);
            }
            let restarts = self.options.restart_and_partition_permille_per_s;
            if restarts > 0 && self.happens(restarts) {
                self.restart_and_partition(index);
            }
            if self.options.capacity_change_permille_per_s > 0
                && self.happens(self.options.capacity_change_permille_per_s)
            {
                self.change_capacity(index);
            }
        }
    }

    /// Crashes a worker, which restarts in less than a second and is partitioned soon after, and plans
    /// the loss of the owner in between half of the time.
    fn restart_and_partition(&mut self, index: usize) {
        let down_ms = 100 + self.random_below(500);
        self.workers[index].crash(self.now_ms, down_ms);
        let back_ms = self.now_ms + down_ms;
        let cut_ms = back_ms + self.random_below(1_500);
        let partition = LaterFault::Partition(index);
        self.later_faults.push((cut_ms, partition));
        if self.random_below(2) == 0 {
            let lost_ms = back_ms + self.random_below(1_500);
            self.later_faults.push((lost_ms, LaterFault::LostOwner));
        }
    }

    fn inject_later_faults(&mut self) {
        let now = self.now_ms;
        let is_due = |row: &mut (u64, LaterFault)| row.0 <= now;
        let due: Vec<(u64, LaterFault)> = self.later_faults.extract_if(.., is_due).collect();
        for (_, fault) in due {
            match fault {
                LaterFault::Partition(index) => {
                    self.workers[index].partitioned_until_ms = now + PARTITION_MS;
                }
                LaterFault::LostOwner if self.shard.is_some() => self.lose_owner(),
                LaterFault::LostOwner => {}
            }
        }
    }

    /// Moves the queue to another pool.
    fn move_queue(&mut self) {
        let others = self.options.pools as u64 - 1;
        let step = 1 + usize::try_from(self.random_below(others)).unwrap_or(0);
        self.queue_pool = (self.queue_pool + step) % self.options.pools;
        self.catalogue_version += 1;
        if self.configured_at_ms.is_none() {
            self.configure();
        }
    }

    /// Gives the owner the configuration.
    fn configure(&mut self) {
        self.configured_at_ms = None;
        let catalogue = self.catalogue();
        if let Some(shard) = &mut self.shard {
            shard.set_catalogue(catalogue);
        }
    }

    /// Shrinks the capacity of a worker, or lets it grow back, and lists that to the owner.
    fn change_capacity(&mut self, index: usize) {
        let shrunk_millis = 800 + self.random_below(2_000);
        let worker = &mut self.workers[index];
        worker.capacity_millis = match worker.capacity_millis {
            FULL_CAPACITY_MILLIS => shrunk_millis,
            _ => FULL_CAPACITY_MILLIS,
        };
        let (entry, now) = (entry(worker), self.monotonic_now());
        if let Some(shard) = &mut self.shard {
            shard.update_worker(entry, now);
        }
    }

    /// Crashes the workers with a run that crashes them now, and counts that for its task.
    fn crash_workers(&mut self) {
        for index in 0..self.workers.len() {
            if !self.workers[index].is_crashed_by_run(self.now_ms) {
                continue;
            }
            for run in &self.workers[index].runs {
                if run.profile.crashes_after_ms.is_none() {
                    continue;
                }
                match self.crashing.iter_mut().find(|row| row.task == run.task) {
                    Some(row) => row.crashes += 1,
                    None => self.crashing.push(CrashingTask {
                        task: run.task,
                        crashes: 1,
                        later_starts: 0,
                    }),
                }
            }
            self.workers[index].crash(self.now_ms, CRASH_DOWN_MS);
            self.workers[index].refuses = true;
        }
        // The other members of a gang end before any of them can be done.
        self.advance_gangs();
    }

    /// Counts a start of a task that crashes its workers.
    fn check_crashes(&mut self, task: TaskId) -> Result<(), Violation> {
        let found = self.crashing.iter_mut().find(|row| row.task == task);
        let Some(row) = found.filter(|row| row.crashes >= COUNTED_CRASHES) else {
            return Ok(());
        };
        // The platform counts no starts while the store is away and shortly after.
        if self.now_ms < self.store_out_until_ms + CONTACT_MS {
            return Ok(());
        }
        row.later_starts += 1;
        match row.later_starts < COUNTED_CRASHES {
            true => Ok(()),
            false => Err(Violation::CrashesExceeded {
                at_ms: self.now_ms,
                task,
            }),
        }
    }

    fn lose_owner(&mut self) {
        self.counts.add_ownership(self.shard.as_ref());
        self.shard = None;
        self.timeouts.clear();
        self.poll_connections.fill(None);
        self.answers.clear();
        self.pending_advice.clear();
        self.next_owner_at_ms = self.now_ms + 300 + self.random_below(2_500);
        // The batch that was being written may or may not have reached the store.
        if let Some(pending_write) = self.pending_write.take()
            && !pending_write.refused
            && self.random_below(2) == 0
        {
            self.apply(&pending_write.batch);
        }
    }

    // --- A step of time --------------------------------------------------------------------

    fn step(&mut self) -> Result<(), Violation> {
        if self.shard.is_none() && self.now_ms >= self.next_owner_at_ms {
            self.take_over();
        }
        if self
            .configured_at_ms
            .is_some_and(|at_ms| at_ms <= self.now_ms)
        {
            self.configure();
        }
        self.learn_evacuations();
        self.crash_workers();
        for index in 0..self.workers.len() {
            for (run, kind) in self.workers[index].advance(self.now_ms) {
                self.record_end(index, &run, kind)?;
            }
        }
        self.deliver_delayed_orders()?;
        self.report_timeouts();
        self.deliver_answers();
        self.advance_store();
        self.serve_callers();
        self.poll_workers();
        self.answer_queries();
        let (now, unix) = (self.monotonic_now(), self.now_ms);
        if let Some(shard) = &mut self.shard {
            shard.schedule(now, unix);
            let orders = shard.take_orders();
            let token = shard.epoch().get();
            let _ = shard.take_vm_operations();
            let queries = shard.take_queries();
            self.send_queries(queries);
            for (worker, order) in orders {
                self.send_order(&worker, order, token)?;
            }
        }
        self.advance_gangs();
        Ok(())
    }

    /// Tells the owner the evacuated zones if it learns of a change now.
    fn learn_evacuations(&mut self) {
        let now = self.monotonic_now();
        if let Some(shard) = &mut self.shard
            && let Some(zones) = self.evacuations.learn(self.now_ms)
        {
            shard.set_evacuated_zones(&zones, now);
        }
    }

    fn catalogue(&self) -> Catalogue {
        catalogue(&self.options, self.catalogue_version, self.queue_pool)
    }

    const fn monotonic_now(&self) -> MonotonicMillis {
        MonotonicMillis::new(self.now_ms)
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let decode = |row: &(String, Vec<u8>)| Record::decode(&row.0, &row.1).ok();
        let records = self.records.iter().filter_map(decode).collect();
        let now = self.monotonic_now();
        let mut shard = Shard::load(
            settings(),
            Epoch::new(self.epoch),
            records,
            now,
            self.now_ms,
        );
        shard.set_workers(self.workers.iter().map(entry).collect(), now);
        shard.set_vms(self.workers.iter().map(vm).collect(), now);
        self.evacuations.begin_ownership(self.now_ms);
        self.shard = Some(shard);
        match self.options.max_configuration_delay_ms {
            0 => self.configure(),
            max_ms => self.configured_at_ms = Some(self.now_ms + self.random_below(max_ms)),
        }
        for job in &mut self.jobs {
            // A caller whose submission was not answered submits again.
            if !job.accepted && !job.refused && job.submit_at_ms < self.now_ms {
                job.submit_at_ms = self.now_ms + 50;
            }
            job.cancel_requested = false;
        }
    }

    fn record_end(&mut self, index: usize, run: &SimRun, kind: EndKind) -> Result<(), Violation> {
        match kind {
            EndKind::Done => {
                let same = |end: &&ListedEnd| end.task == run.task && end.run == run.run;
                let ended = self.workers[index].ended.iter().find(same);
                let end_number = ended.map_or(0, |end| end.number);
                self.completed.push(CompletedRun {
                    task: run.task,
                    worker_index: index,
                    end_number,
                    interruptions: self.workers[index].interruptions,
                    acknowledged: false,
                });
                Ok(())
            }
            EndKind::Failed => {
                match self.failures.iter_mut().find(|row| row.0 == run.task) {
                    Some(row) => row.1 += 1,
                    None => self.failures.push((run.task, 1)),
                }
                Ok(())
            }
            EndKind::GangIncomplete => {
                let without_faults = self.options.owner_loss_permille_per_s == 0
                    && self.options.worker_partition_permille_per_s == 0
                    && self.options.worker_crash_permille_per_s == 0
                    && self.options.restart_and_partition_permille_per_s == 0
                    && self.options.crashing_job_permille == 0
                    && self.options.delayed_order_permille == 0;
                match without_faults {
                    true => Err(Violation::IncompleteGang {
                        at_ms: self.now_ms,
                        task: run.task,
                    }),
                    false => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }

    fn deliver_delayed_orders(&mut self) -> Result<(), Violation> {
        let now = self.now_ms;
        let due: Vec<DelayedOrder> = self
            .delayed_orders
            .extract_if(.., |order| order.due_ms <= now)
            .collect();
        for delayed in due {
            if self.workers[delayed.worker_index].is_reachable(now) {
                self.execute(
                    delayed.worker_index,
                    &delayed.order,
                    delayed.token,
                    Delivery::Delayed,
                )?;
            }
        }
        Ok(())
    }

    fn report_timeouts(&mut self) {
        let now = self.now_ms;
        let due: Vec<PendingTimeout> = self
            .timeouts
            .extract_if(.., |row| row.due_ms <= now)
            .collect();
        let time = self.monotonic_now();
        let Some(shard) = &mut self.shard else { return };
        for timeout in due {
            match &timeout.order {
                Some(order) => {
                    let answer = OrderAnswer::Unknown;
                    shard.order_answered(&timeout.worker, order, answer, time, now);
                }
                None => shard.poll_failed(&timeout.worker, OrderAnswer::Unknown, time, now),
            }
        }
    }

    /// Delivers the answers to orders that are due, in the order in which they were sent.
    fn deliver_answers(&mut self) {
        let (time, now) = (self.monotonic_now(), self.now_ms);
        let is_due = |row: &mut PendingAnswer| row.due_ms <= now;
        let due: Vec<PendingAnswer> = self.answers.extract_if(.., is_due).collect();
        let Some(shard) = &mut self.shard else { return };
        for row in due {
            shard.order_answered(&row.worker, &row.order, row.answer, time, now);
        }
    }

    /// Returns when the answer to an order that a worker carries out now reaches the owner. Answers
    /// on one connection do not overtake each other.
    fn answer_due_ms(&mut self, worker: &WorkerId) -> u64 {
        let delay_ms = self.random_below(self.options.max_answer_delay_ms + 1);
        let of_worker = self.answers.iter().filter(|row| row.worker == *worker);
        let before = of_worker.map(|row| row.due_ms).max().unwrap_or(0);
        before.max(self.now_ms + delay_ms)
    }

    // --- The store -------------------------------------------------------------------------

    fn apply(&mut self, batch: &Batch) {
        for (key, value) in &batch.records {
            match self.records.binary_search_by(|row| row.0.cmp(key)) {
                Ok(at) if value.is_empty() => {
                    self.records.remove(at);
                }
                Ok(at) => self.records[at].1.clone_from(value),
                Err(_) if value.is_empty() => {}
                Err(at) => self.records.insert(at, (key.clone(), value.clone())),
            }
        }
    }

    fn advance_store(&mut self) {
        if let Some(pending_write) = self.pending_write.take() {
            if pending_write.due_ms > self.now_ms {
                self.pending_write = Some(pending_write);
                return;
            }
            match pending_write.refused {
                true => {
                    let dropped = self
                        .shard
                        .as_mut()
                        .map(|shard| shard.batch_refused(&pending_write.batch))
                        .unwrap_or_default();
                    for job in self.jobs.iter_mut().filter(|job| dropped.contains(&job.id)) {
                        job.refused = true;
                    }
                }
                false => {
                    self.apply(&pending_write.batch);
                    if let Some(shard) = &mut self.shard {
                        shard.batch_stored(&pending_write.batch);
                    }
                }
            }
        }
        let is_out = self.store_out_until_ms > self.now_ms;
        let refused = is_out && self.random_below(2) == 0;
        // A writer without an answer repeats the same append until the store is available again.
        let due_ms = match is_out && !refused {
            true => self.store_out_until_ms + STORE_LATENCY_MS,
            false => self.now_ms + STORE_LATENCY_MS,
        };
        let Some(shard) = &mut self.shard else { return };
        if let Some(batch) = shard.take_batch() {
            self.pending_write = Some(PendingWrite {
                batch,
                due_ms,
                refused,
            });
        }
    }

    // --- Callers ---------------------------------------------------------------------------

    fn serve_callers(&mut self) {
        let (time, now) = (self.monotonic_now(), self.now_ms);
        let Some(shard) = &mut self.shard else { return };
        for job in &mut self.jobs {
            let (is_described, is_over) = shard.is_stored(job.id);
            job.accepted |= is_described && !job.refused && job.submit_at_ms <= now;
            let is_known = shard.is_known(job.id);
            if job.submit_at_ms <= now && !is_known && !job.accepted && !job.refused {
                job.spec.pool = pool_name(self.queue_pool);
                let outcome = shard.submit(job.id, job.spec.clone(), time, now);
                job.refused = matches!(outcome, SubmitOutcome::Refused { .. });
            }
            let cancel_due = job.cancel_at_ms.is_some_and(|at_ms| at_ms <= now) && job.accepted;
            if cancel_due && !job.cancel_requested {
                job.cancel_requested = true;
                shard.cancel(job.id, time, now);
            }
            if job.cancel_requested && is_over {
                job.cancelled_at_ms.get_or_insert(now);
            }
        }
    }

    // --- Placement advice ------------------------------------------------------------------

    fn send_queries(&mut self, queries: Vec<AdviceQuery>) {
        for query in queries {
            let step = (query.job, query.occurrence, query.step);
            let mut tickets = Vec::new();
            for (index, worker) in self.workers.iter().enumerate() {
                let id = worker_id(worker);
                if self.is_suitable(index, query.job) && query.workers.contains(&id) {
                    tickets.push((id, ticket(step, worker, self.now_ms + TICKET_VALID_MS)));
                }
            }
            self.pending_advice.push(PendingAdvice {
                query,
                tickets,
                sent_ms: self.now_ms,
            });
        }
    }

    /// Returns whether a worker may run a job: one of two, if the queue has placement advice, and only
    /// in the pool of the queue.
    fn is_suitable(&self, index: usize, job: JobId) -> bool {
        let is_advised = !self.options.advised || (index as u64 + job.get()).is_multiple_of(2);
        is_advised && index % self.options.pools == self.queue_pool
    }

    fn answer_queries(&mut self) {
        let (time, now) = (self.monotonic_now(), self.now_ms);
        let is_due = |row: &mut PendingAdvice| row.sent_ms + ADVICE_LATENCY_MS <= now;
        let due: Vec<PendingAdvice> = self.pending_advice.extract_if(.., is_due).collect();
        let Some(shard) = &mut self.shard else { return };
        for row in due {
            let advice = Advice {
                tickets: row.tickets,
                valid_ms: TICKET_VALID_MS,
                has_unreadable_rows: false,
            };
            let sent_at = MonotonicMillis::new(row.sent_ms);
            shard.advice_answered(&row.query, Some(advice), sent_at, time);
        }
    }

    /// Returns whether a ticket is valid for a task on a worker, in its current incarnation.
    fn is_valid_ticket(&self, text: &str, index: usize, task: TaskId) -> bool {
        let step = (task.job, task.occurrence, task.step);
        let worker = &self.workers[index];
        let expires_ms = text.rsplit(' ').next().and_then(|last| last.parse().ok());
        expires_ms.is_some_and(|expires_ms| {
            self.now_ms <= expires_ms && text == ticket(step, worker, expires_ms)
        })
    }

    // --- Workers ---------------------------------------------------------------------------

    fn poll_workers(&mut self) {
        let (time, now) = (self.monotonic_now(), self.now_ms);
        let Some(shard) = &mut self.shard else { return };
        let token = shard.epoch().get();
        for index in 0..self.workers.len() {
            let id: WorkerId = match self.workers[index].name.parse() {
                Ok(id) => id,
                Err(_) => continue,
            };
            let is_unanswered = |row: &PendingTimeout| row.worker == id && row.order.is_none();
            if self.timeouts.iter().any(is_unanswered) {
                continue;
            }
            if self.poll_connections[index] != Some(self.workers[index].started_ms) {
                shard.poll_connection_closed(&id, time);
            }
            let PollPlan::Poll {
                deadline_ms,
                acknowledged_end,
                ..
            } = shard.plan_poll(&id, time)
            else {
                continue;
            };
            let worker = &mut self.workers[index];
            if worker.down_until_ms > now && worker.refuses {
                shard.poll_failed(&id, OrderAnswer::NotSent, time, now);
                continue;
            }
            if !worker.is_reachable(now) {
                self.poll_connections[index] = None;
                self.timeouts.push(PendingTimeout {
                    due_ms: now + ANSWER_TIMEOUT_MS,
                    worker: id,
                    order: None,
                });
                continue;
            }
            if !worker.accept_token(token) {
                shard.poll_failed(&id, OrderAnswer::Fenced, time, now);
                continue;
            }
            let failed = worker
                .ended
                .iter()
                .filter(|end| end.number <= acknowledged_end && end.kind == EndKind::Failed);
            for end in failed {
                match self
                    .acknowledged_failures
                    .iter_mut()
                    .find(|row| row.0 == end.task)
                {
                    Some(row) => row.1 += 1,
                    None => self.acknowledged_failures.push((end.task, 1)),
                }
            }
            for end in self
                .completed
                .iter_mut()
                .filter(|end| end.worker_index == index)
            {
                end.acknowledged |=
                    end.end_number <= acknowledged_end && end.interruptions == worker.interruptions;
            }
            self.poll_connections[index] = Some(worker.started_ms);
            let max_listed_ends = self.options.max_listed_ends;
            let report = worker.poll(deadline_ms, acknowledged_end, max_listed_ends, now);
            shard.poll_answered(&id, &report, time, time, now);
        }
    }

    fn send_order(&mut self, id: &WorkerId, order: Order, token: u64) -> Result<(), Violation> {
        let (time, now) = (self.monotonic_now(), self.now_ms);
        let Some(index) = self.workers.iter().position(|row| row.name == id.as_str()) else {
            return Ok(());
        };
        let is_delayed = self.random_below(1_000) < self.options.delayed_order_permille
            && now < self.fault_phase_end_ms();
        let worker = &self.workers[index];
        if worker.down_until_ms > now && worker.refuses {
            if let Some(shard) = &mut self.shard {
                shard.order_answered(id, &order, OrderAnswer::NotSent, time, now);
            }
            return Ok(());
        }
        if is_delayed || !self.workers[index].is_reachable(now) {
            self.timeouts.push(PendingTimeout {
                due_ms: now + ANSWER_TIMEOUT_MS,
                worker: id.clone(),
                order: Some(order.clone()),
            });
            if is_delayed {
                let due_ms = now + 1_000 + self.random_below(8_000);
                self.delayed_orders.push(DelayedOrder {
                    due_ms,
                    worker_index: index,
                    token,
                    order,
                });
            }
            return Ok(());
        }
        // The connection for orders was closed by the restart; the incarnation that answers on a new
        // one is asked for its start first.
        if !order.is_for(Some(self.workers[index].started_ms)) {
            if let Some(shard) = &mut self.shard {
                shard.order_answered(id, &order, OrderAnswer::NotSent, time, now);
            }
            return Ok(());
        }
        let result = self.execute(index, &order, token, Delivery::Immediate)?;
        if self.workers[index].is_crashed_by_run(now) {
            // The worker crashes before it answers.
            self.crash_workers();
            if let Some(shard) = &mut self.shard {
                shard.order_answered(id, &order, OrderAnswer::ConnectionLost, time, now);
            }
            return Ok(());
        }
        let answer = match result {
            OrderResult::Executed | OrderResult::AlreadyRunning => OrderAnswer::Accepted,
            OrderResult::Fenced => OrderAnswer::Fenced,
            OrderResult::OldRun => OrderAnswer::OldRun,
            OrderResult::Late => OrderAnswer::Late,
            OrderResult::BadTicket => OrderAnswer::BadTicket,
        };
        if self.options.max_answer_delay_ms > 0 {
            let due_ms = self.answer_due_ms(id);
            self.answers.push(PendingAnswer {
                due_ms,
                worker: id.clone(),
                order,
                answer,
            });
            return Ok(());
        }
        if let Some(shard) = &mut self.shard {
            shard.order_answered(id, &order, answer, time, now);
        }
        Ok(())
    }

    const fn fault_phase_end_ms(&self) -> u64 {
        10_000 + self.options.fault_phase_ms
    }

    fn execute(
        &mut self,
        index: usize,
        order: &Order,
        token: u64,
        delivery: Delivery,
    ) -> Result<OrderResult, Violation> {
        let now = self.now_ms;
        match order {
            Order::Start {
                task,
                run,
                spec,
                deadline_ms,
                ticket,
                checkpoint,
                ..
            } => {
                if self.options.advised && !self.is_valid_ticket(ticket, index, *task) {
                    return Ok(OrderResult::BadTicket);
                }
                let step = &spec.steps[usize::from(task.step)];
                let profile = run_profile(*task, run.get(), spec, step);
                let resumed_ms = step.checkpointing.then(|| checkpoint.parse().unwrap_or(0));
                let left_ms = profile.duration_ms.saturating_sub(resumed_ms.unwrap_or(0));
                let ends_at_ms = match step.gang || step.persistent {
                    true => None,
                    false => Some(now + left_ms.max(MIN_RUN_MS)),
                };
                let sim = SimRun {
                    task: *task,
                    run: *run,
                    profile,
                    gang: step.gang,
                    resumed_ms,
                    ends_at_ms,
                    started_at_ms: now,
                    stops_at_ms: None,
                };
                let result = self.workers[index].start(sim, token, *deadline_ms, now);
                if result == OrderResult::Executed {
                    self.counts.starts += 1;
                    self.check_start(index, *task, step, spec, delivery)?;
                    if profile.crashes_after_ms.is_some() && delivery == Delivery::Immediate {
                        self.check_crashes(*task)?;
                    }
                }
                Ok(result)
            }
            Order::Stop { task, run } => {
                if !self.workers[index].accept_token(token) {
                    return Ok(OrderResult::Fenced);
                }
                self.workers[index].stop(*task, *run, now);
                Ok(OrderResult::Executed)
            }
            Order::Pace { .. } => Ok(OrderResult::Executed),
        }
    }

    /// Starts the work of gangs whose members are all running, and ends the members of gangs that
    /// lost one.
    fn advance_gangs(&mut self) {
        let mut present: Vec<(TaskId, u64, usize)> = Vec::new();
        for worker in &self.workers {
            for run in worker.runs.iter().filter(|run| run.gang) {
                let gang = TaskId {
                    index: 0,
                    ..run.task
                };
                let same =
                    |row: &&mut (TaskId, u64, usize)| row.0 == gang && row.1 == run.run.get();
                match present.iter_mut().find(same) {
                    Some(row) => row.2 += 1,
                    None => present.push((gang, run.run.get(), 1)),
                }
            }
        }
        for (gang, number, count) in present {
            let job = self.jobs.iter().find(|job| job.id == gang.job);
            let member_count = job.map(|job| job.spec.steps[usize::from(gang.step)].count as usize);
            let is_complete = member_count == Some(count);
            for worker in &mut self.workers {
                let mut index = 0;
                while index < worker.runs.len() {
                    let run = &mut worker.runs[index];
                    let member = TaskId {
                        index: 0,
                        ..run.task
                    };
                    let same = member == gang && run.run.get() == number;
                    match run.ends_at_ms {
                        None if same && is_complete => {
                            run.ends_at_ms = Some(self.now_ms + run.profile.duration_ms);
                            index += 1;
                        }
                        Some(_) if same && !is_complete => {
                            worker.end(index, EndKind::GangMemberEnded, self.now_ms);
                        }
                        _ => index += 1,
                    }
                }
            }
        }
    }

    // --- Checks ----------------------------------------------------------------------------

    fn check_start(
        &self,
        index: usize,
        task: TaskId,
        step: &StepSpec,
        spec: &JobSpec,
        delivery: Delivery,
    ) -> Result<(), Violation> {
        let at_ms = self.now_ms;
        let running: usize = self
            .workers
            .iter()
            .filter(|worker| worker.down_until_ms <= self.now_ms)
            .map(|worker| worker.runs.iter().filter(|run| run.task == task).count())
            .sum();
        let is_acknowledged = |end: &CompletedRun| end.task == task && end.acknowledged;
        let dependencies_done = step.after.iter().all(|dependency| {
            (0..spec.steps[usize::from(*dependency)].count).all(|index| {
                let needed = TaskId {
                    step: *dependency,
                    index: u16::try_from(index).unwrap_or(u16::MAX),
                    ..task
                };
                self.completed.iter().any(|end| end.task == needed)
            })
        });
        let failed = self.acknowledged_failures.iter().find(|row| row.0 == task);
        let job = self.jobs.iter().find(|job| job.id == task.job);
        let cancelled = job.and_then(|job| job.cancelled_at_ms);
        let worker = &self.workers[index];
        match () {
            () if running > 1 => Err(Violation::ConcurrentRuns { at_ms, task }),
            () if !step.persistent && self.completed.iter().any(is_acknowledged) => {
                Err(Violation::StartAfterCompletion { at_ms, task })
            }
            () if !dependencies_done => Err(Violation::StartBeforeDependencies { at_ms, task }),
            () if !step.persistent && failed.is_some_and(|row| row.1 >= MAX_ATTEMPTS) => {
                Err(Violation::AttemptsExceeded { at_ms, task })
            }
            // The time limit does not apply to orders that a worker executes late.
            () if delivery == Delivery::Immediate
                && cancelled.is_some_and(|since_ms| at_ms > since_ms + CANCEL_GRACE_MS) =>
            {
                Err(Violation::StartAfterCancellation { at_ms, task })
            }
            () if job.is_some_and(|job| job.refused) => {
                Err(Violation::StartAfterRefusal { at_ms, task })
            }
            // A delayed order may precede the evacuation.
            () if delivery == Delivery::Immediate && !self.evacuations.allow_start(worker.zone) => {
                Err(Violation::StartInEvacuatedZone {
                    at_ms,
                    task,
                    zone: zone_name(worker.zone),
                })
            }
            // A delayed order may precede the loss of capacity.
            () if worker.used_millis() > worker.capacity_millis
                && (delivery == Delivery::Immediate
                    || worker.capacity_millis == FULL_CAPACITY_MILLIS) =>
            {
                Err(Violation::CapacityExceeded {
                    at_ms,
                    worker: worker.name.clone(),
                    cpu_millis: worker.used_millis(),
                    capacity_millis: worker.capacity_millis,
                })
            }
            () => Ok(()),
        }
    }

    /// Returns whether two workers have crashed by themselves under one task of a job. Callers may
    /// then be told that the job has failed.
    fn had_two_crashes(&self, job: JobId) -> bool {
        let of_job = |task: &&TaskId| task.job == job;
        let tasks = || self.crashed_beside.iter().filter(of_job);
        tasks().any(|task| tasks().filter(|other| *other == task).count() >= 2)
    }

    /// Returns whether less than half of the workers that may run a job is in use, so that it should
    /// have been started if it waits. On fuller ones a gang may not find room for all its members.
    fn has_free_capacity(&self, job: JobId) -> bool {
        let (mut used, mut capacity) = (0, 0);
        for (index, worker) in self.workers.iter().enumerate() {
            if self.is_suitable(index, job) {
                used += worker.used_millis();
                capacity += worker.capacity_millis;
            }
        }
        used * 2 < capacity
    }

    fn check_jobs(&self) -> Result<(), Violation> {
        let Some(shard) = &self.shard else {
            return Ok(());
        };
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            let state = shard.state(run.task.job);
            if !matches!(state, Some(JobState::Queued | JobState::Running)) {
                let task = run.task;
                return Err(Violation::RunAfterJobEnd { task });
            }
        }
        for job in self.jobs.iter().filter(|job| job.accepted) {
            let state = shard.state(job.id);
            let persistent = job.spec.steps.iter().any(|step| step.persistent);
            let crashing = job.spec.text == CRASHING_TEXT;
            let attempts_used = |row: &(TaskId, u32)| row.0.job == job.id && row.1 >= MAX_ATTEMPTS;
            if state == Some(JobState::Failed)
                && !crashing
                && !self.failures.iter().any(attempts_used)
                && !self.had_two_crashes(job.id)
            {
                return Err(Violation::GivenUpWithoutCause { job: job.id });
            }
            let is_expected = match state {
                Some(JobState::Completed) => !persistent,
                Some(JobState::Cancelled) => job.cancel_at_ms.is_some(),
                Some(JobState::Failed) => !persistent || crashing || self.had_two_crashes(job.id),
                Some(JobState::Running) if persistent && !crashing => true,
                Some(JobState::Queued | JobState::Running) => !self.has_free_capacity(job.id),
                _ => false,
            };
            if !is_expected {
                return Err(Violation::UnfinishedJob {
                    job: job.id,
                    state: state.map_or("unknown".to_owned(), |state| state.to_string()),
                });
            }
        }
        Ok(())
    }
}

/// Returns the profile of a run, which depends only on its job, step, index and run number.
fn run_profile(task: TaskId, run: u64, spec: &JobSpec, step: &StepSpec) -> RunProfile {
    // All members of a gang get the same duration, so that they end together.
    let index = match step.gang {
        true => 0,
        false => task.index,
    };
    let seed = task.job.get() ^ (u64::from(task.step) << 20) ^ (u64::from(index) << 32) ^ run;
    let mut random = Random::new(seed);
    RunProfile {
        // Best-effort tasks reserve no CPU.
        cpu_millis: match step.best_effort {
            true => 0,
            false => step.needs.cpu_millis,
        },
        duration_ms: match spec.text.as_str() {
            LONG_TEXT => 4_000 + random.next_u64() % 10_000,
            CHECKPOINTING_TEXT => 3_500 + random.next_u64() % 3_000,
            _ => 100 + random.next_u64() % 1_500,
        },
        fails: spec.text == "poison" || random.next_bool(0.04),
        crashes_after_ms: match spec.text == CRASHING_TEXT && task.step == 0 && task.index == 0 {
            true => Some([0, 10, 300][(task.job.get() % 3) as usize]),
            false => None,
        },
    }
}

/// Makes the first task of a job crash each worker that starts it, and its first step of a random
/// kind.
fn make_crashing(job: &mut CallerJob, random: &mut Random) {
    job.spec.text = CRASHING_TEXT.to_owned();
    let kind = random.next_u64() % 5;
    let step = &mut job.spec.steps[0];
    match kind {
        0 => step.gang = !step.persistent,
        1 => {
            step.persistent = true;
            step.gang = false;
            job.spec.steps.truncate(1);
        }
        2 => step.best_effort = true,
        3 if !step.persistent => {
            job.spec.repeat = Some(Repeat {
                count: 2,
                start_unix_ms: job.submit_at_ms,
                interval_ms: 2_000,
            });
        }
        _ => {}
    }
}

/// Makes a step fast only on the rack of its data, on one rack, or both.
fn make_near(step: &mut StepSpec, random: &mut Random) {
    let kind = random.next_u64() % 3;
    if kind != 1 {
        step.data_rack = RACKS[usize::from(random.next_bool(0.5))].to_owned();
    }
    step.same_rack = kind != 0;
}

/// Returns a job with random steps that is submitted during the fault phase.
fn random_job(number: u64, fault_phase_ms: u64, random: &mut Random) -> CallerJob {
    let mut steps = Vec::new();
    let persistent = random.next_bool(0.1);
    let count = match persistent {
        true => 1,
        false => 1 + random.next_u64() % 3,
    };
    for index in 0..count {
        let gang = !persistent && random.next_bool(0.15);
        steps.push(StepSpec {
            count: u32::try_from(1 + random.next_u64() % 4).unwrap_or(1),
            needs: Resources {
                cpu_millis: 300 + random.next_u64() % 900,
                memory_mib: 10,
                gpus: 0,
            },
            estimate_ms: 800,
            after: match index {
                0 => Vec::new(),
                index => vec![u16::try_from(index - 1).unwrap_or(0)],
            },
            gang,
            persistent,
            anti_affinity: u32::from(persistent),
            ..StepSpec::default()
        });
    }
    let always_fails = !persistent && random.next_bool(0.05);
    let is_cancelled = random.next_bool(0.15);
    let submit_at_ms = 10_000 + random.next_u64() % fault_phase_ms;
    CallerJob {
        id: format!("{number:016x}")
            .parse()
            .unwrap_or_else(|error| unreachable!("a formatted job id can be read: {error}")),
        spec: JobSpec {
            queue: "queue".to_owned(),
            pool: "pool".to_owned(),
            organisation: String::new(),
            text: match always_fails {
                true => "poison".to_owned(),
                false => "work".to_owned(),
            },
            steps,
            repeat: None,
            submitted_unix_ms: submit_at_ms,
        },
        submit_at_ms,
        accepted: false,
        refused: false,
        cancel_at_ms: is_cancelled.then_some(submit_at_ms + 500 + random.next_u64() % 3_000),
        cancel_requested: false,
        cancelled_at_ms: None,
    }
}

const fn settings() -> Settings {
    Settings {
        lease_ms: 4_500,
        max_lease_ms: 10_000,
        poll_wait_ms: 0,
        min_poll_interval_ms: 25,
        takeover_wait_ms: 6_600,
        finished_retention_ms: 140_000,
        vm_operation_pause_ms: 1_700,
        maintenance_ms: 2_000,
        vm_operations_per_s: 64,
        move_ms: 1_500,
        stop_timeout_ms: 400,
        restore_ms: 250,
        remote_factor_permille: 3_000,
        moves_enabled: false,
    }
}

/// Returns the name of a pool.
fn pool_name(number: usize) -> String {
    match number {
        0 => "pool".to_owned(),
        number => format!("pool{number}"),
    }
}

fn catalogue(options: &SimulationOptions, version: u64, queue_pool: usize) -> Catalogue {
    let pool = |number| PoolInfo {
        name: pool_name(number),
        spare: false,
    };
    Catalogue {
        version,
        queues: vec![QueueInfo {
            name: "queue".to_owned(),
            pool: pool_name(queue_pool),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch_permille: 1_600,
            target_latency_ms: 60_000,
            advised: options.advised,
        }],
        pools: (0..options.pools).map(pool).collect(),
        organisations: Vec::new(),
        removed_queues: Vec::new(),
    }
}

fn capacity(worker: &SimWorker) -> Resources {
    Resources {
        cpu_millis: worker.capacity_millis,
        memory_mib: 10_000,
        gpus: 0,
    }
}

fn entry(worker: &SimWorker) -> WorkerEntry {
    WorkerEntry {
        id: worker_id(worker),
        pool: worker.pool.clone(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone_name(worker.zone),
        ready: true,
        capacity: capacity(worker),
        labels: vec![rack(worker).to_owned()],
        started_unix_ms: None,
        cold_remaining_ms: 0,
    }
}

/// Returns the rack of a worker; its number is in its name.
fn rack(worker: &SimWorker) -> &'static str {
    let number = worker.name.bytes().last().unwrap_or_default();
    RACKS[usize::from(number) % RACKS.len()]
}

fn vm(worker: &SimWorker) -> Vm {
    Vm {
        name: worker.name.clone(),
        pool: worker.pool.clone(),
        state: VmState::Up,
        capacity: capacity(worker),
        labels: Vec::new(),
        worker: Some(worker_id(worker)),
        zone: zone_name(worker.zone),
    }
}

/// Returns the ticket for a step on the current incarnation of a worker.
fn ticket(step: (JobId, u32, u16), worker: &SimWorker, expires_ms: u64) -> String {
    let (name, started_ms) = (&worker.name, worker.started_ms);
    format!("{step:?} {name} {started_ms} {expires_ms}")
}

fn worker_id(worker: &SimWorker) -> WorkerId {
    worker
        .name
        .parse()
        .unwrap_or_else(|error| unreachable!("a worker's name is an id: {error}"))
}
