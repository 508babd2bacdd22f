//! The emulated platform with an owner of the shard, and the checks.

use vanillafold_jobs::{
    Batch, Catalogue, EndKind, Epoch, JobId, JobSpec, JobState, ListedEnd, Order, OrderAnswer,
    PollPlan, PoolInfo, QueueInfo, Record, Resources, Settings, Shard, StepSpec, SubmitOutcome,
    TaskId, Vm, VmState, WorkerEntry, WorkerId,
};
use vanillafold_policy::MonotonicMillis;

use super::options::FleetOptions;
use super::verdict::Broken;
use super::worker::{SimRun, SimWorker, Taken, Work};
use crate::process::Random;

/// One step of time, in milliseconds.
const STEP_MS: u64 = 5;
/// How long the store takes, in milliseconds.
const STORE_MS: u64 = 10;
/// How long an order or a look waits for its answer, in milliseconds.
const ANSWER_MS: u64 = 500;
/// A job may have so many failed runs of a task.
const MAX_ATTEMPTS: u32 = 3;
/// How long after an acknowledged cancellation starts must have ended, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// A batch on its way to the store.
#[derive(Debug)]
struct Writing {
    batch: Batch,
    at: u64,
    refused: bool,
}

/// When an order is carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Carried {
    AtOnce,
    /// Seconds after it was sent.
    Late,
}

/// An order that is carried out later, without an answer.
#[derive(Debug)]
struct LateOrder {
    at: u64,
    worker: usize,
    token: u64,
    order: Order,
}

/// Something that the owner is told later.
#[derive(Debug)]
struct Telling {
    at: u64,
    worker: WorkerId,
    /// `None` for a look.
    order: Option<Order>,
}

/// A job and what its caller knows.
#[derive(Debug)]
struct Handed {
    id: JobId,
    spec: JobSpec,
    at: u64,
    accepted: bool,
    refused: bool,
    cancels_at: Option<u64>,
    cancel_asked: bool,
    cancelled_at: Option<u64>,
}

/// An end of a run that was done, for the checks.
#[derive(Debug)]
struct DoneEnd {
    task: TaskId,
    worker: usize,
    number: u64,
    lapses: u64,
    noted: bool,
}

/// The emulated platform, its workers, and one owner of the shard at a time.
#[derive(Debug)]
pub struct World {
    options: FleetOptions,
    random: Random,
    now: u64,
    epoch: u64,
    shard: Option<Shard>,
    next_owner_at: u64,
    workers: Vec<SimWorker>,
    /// Sorted by key.
    records: Vec<(String, Vec<u8>)>,
    writing: Option<Writing>,
    store_away_until: u64,
    late: Vec<LateOrder>,
    tellings: Vec<Telling>,
    jobs: Vec<Handed>,
    done: Vec<DoneEnd>,
    /// Tasks with failed runs that were taken note of.
    failed: Vec<(TaskId, u32)>,
    /// Starts that were carried out.
    starts: u64,
}

impl World {
    /// A world whose course depends on the seed only.
    #[must_use]
    pub fn new(seed: u64, options: FleetOptions) -> Self {
        let mut random = Random::new(seed);
        let workers = (0..options.workers)
            .map(|at| SimWorker::new(format!("w{at}"), 980 + random.next_u64() % 21))
            .collect();
        let mut jobs = Vec::new();
        for number in 0..options.jobs {
            jobs.push(handed(number, options.trouble_ms, &mut random));
        }
        Self {
            options,
            random,
            now: 10_000,
            epoch: 0,
            shard: None,
            next_owner_at: 0,
            workers,
            records: Vec::new(),
            writing: None,
            store_away_until: 0,
            late: Vec::new(),
            tellings: Vec::new(),
            jobs,
            done: Vec::new(),
            failed: Vec::new(),
            starts: 0,
        }
    }

    /// Plays the trouble and the calm; returns how many runs were started.
    ///
    /// # Errors
    ///
    /// The first promise that is broken.
    pub fn play(mut self) -> Result<u64, Broken> {
        let trouble_ends = self.now + self.options.trouble_ms;
        let calm_ends = trouble_ends + self.options.calm_ms;
        while self.now < calm_ends {
            self.now += STEP_MS;
            if self.now < trouble_ends {
                self.make_trouble();
            }
            self.step()?;
        }
        self.check_jobs()?;
        Ok(self.starts)
    }

    // --- Trouble ---------------------------------------------------------------------------

    fn happens(&mut self, permille_a_second: u64) -> bool {
        self.random.next_u64() % (1_000 * 1_000 / STEP_MS) < permille_a_second
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn make_trouble(&mut self) {
        if self.shard.is_some() && self.happens(self.options.owner_lost) {
            self.lose_owner();
        }
        if self.happens(self.options.store_away) {
            self.store_away_until = self.now + 500 + self.below(4_000);
        }
        for at in 0..self.workers.len() {
            if self.happens(self.options.worker_cut) {
                self.workers[at].cut_until = self.now + 500 + self.below(8_000);
            }
            if self.happens(self.options.worker_crash) {
                let down_ms = 200 + self.below(4_000);
                self.workers[at].crash(self.now, down_ms);
            }
        }
    }

    fn lose_owner(&mut self) {
        self.shard = None;
        self.tellings.clear();
        self.next_owner_at = self.now + 300 + self.below(2_500);
        // What was on its way to the store may or may not have arrived.
        if let Some(writing) = self.writing.take()
            && !writing.refused
            && self.below(2) == 0
        {
            self.apply(&writing.batch);
        }
    }

    // --- A step of time --------------------------------------------------------------------

    fn step(&mut self) -> Result<(), Broken> {
        if self.shard.is_none() && self.now >= self.next_owner_at {
            self.take_over();
        }
        for at in 0..self.workers.len() {
            for (run, kind) in self.workers[at].pass(self.now) {
                self.note_end(at, &run, kind)?;
            }
        }
        self.carry_out_late()?;
        self.tell();
        self.write();
        self.call();
        self.look();
        let (now, unix) = (self.time(), self.now);
        if let Some(shard) = &mut self.shard {
            shard.schedule(now, unix);
            let orders = shard.take_orders();
            let token = shard.epoch().get();
            let _ = shard.take_vm_operations();
            for (worker, order) in orders {
                self.order(&worker, order, token)?;
            }
        }
        self.begin_gangs();
        Ok(())
    }

    const fn time(&self) -> MonotonicMillis {
        MonotonicMillis::new(self.now)
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let decode = |row: &(String, Vec<u8>)| Record::decode(&row.0, &row.1).ok();
        let records = self.records.iter().filter_map(decode).collect();
        let now = self.time();
        let mut shard = Shard::load(settings(), Epoch::new(self.epoch), records, now, self.now);
        shard.set_catalogue(catalogue());
        shard.set_workers(self.workers.iter().map(entry).collect(), now);
        shard.set_vms(self.workers.iter().map(machine).collect(), now);
        self.shard = Some(shard);
        for job in &mut self.jobs {
            // A caller without an answer asks again.
            if !job.accepted && !job.refused && job.at < self.now {
                job.at = self.now + 50;
            }
            job.cancel_asked = false;
        }
    }

    fn note_end(&mut self, at: usize, run: &SimRun, kind: EndKind) -> Result<(), Broken> {
        match kind {
            EndKind::Done => {
                let same = |end: &&ListedEnd| end.task == run.task && end.run == run.run;
                let ended = self.workers[at].ended.iter().find(same);
                let number = ended.map_or(0, |end| end.number);
                self.done.push(DoneEnd {
                    task: run.task,
                    worker: at,
                    number,
                    lapses: self.workers[at].lapses,
                    noted: false,
                });
                Ok(())
            }
            EndKind::GangIncomplete => {
                let quiet = self.options.owner_lost == 0
                    && self.options.worker_cut == 0
                    && self.options.worker_crash == 0
                    && self.options.order_late == 0;
                match quiet {
                    true => Err(Broken::Alone {
                        at_ms: self.now,
                        task: run.task,
                    }),
                    false => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }

    fn carry_out_late(&mut self) -> Result<(), Broken> {
        let now = self.now;
        let due: Vec<LateOrder> = self.late.extract_if(.., |order| order.at <= now).collect();
        for late in due {
            if self.workers[late.worker].reachable(now) {
                self.execute(late.worker, &late.order, late.token, Carried::Late)?;
            }
        }
        Ok(())
    }

    fn tell(&mut self) {
        let now = self.now;
        let due: Vec<Telling> = self.tellings.extract_if(.., |row| row.at <= now).collect();
        let time = self.time();
        let Some(shard) = &mut self.shard else { return };
        for telling in due {
            match &telling.order {
                Some(order) => {
                    let answer = OrderAnswer::Unknown;
                    shard.order_answered(&telling.worker, order, answer, time, now);
                }
                None => shard.poll_failed(&telling.worker, OrderAnswer::Unknown, time, now),
            }
        }
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

    fn write(&mut self) {
        if let Some(writing) = self.writing.take() {
            if writing.at > self.now {
                self.writing = Some(writing);
                return;
            }
            match writing.refused {
                true => {
                    let dropped = self
                        .shard
                        .as_mut()
                        .map(|shard| shard.batch_refused(&writing.batch))
                        .unwrap_or_default();
                    for job in self.jobs.iter_mut().filter(|job| dropped.contains(&job.id)) {
                        job.refused = true;
                    }
                }
                false => {
                    self.apply(&writing.batch);
                    if let Some(shard) = &mut self.shard {
                        shard.batch_stored(&writing.batch);
                    }
                }
            }
        }
        let away = self.store_away_until > self.now;
        let refused = away && self.below(2) == 0;
        // Without an answer the writer repeats the same append until the store is back.
        let at = match away && !refused {
            true => self.store_away_until + STORE_MS,
            false => self.now + STORE_MS,
        };
        let Some(shard) = &mut self.shard else { return };
        if let Some(batch) = shard.take_batch() {
            self.writing = Some(Writing { batch, at, refused });
        }
    }

    // --- Callers ---------------------------------------------------------------------------

    fn call(&mut self) {
        let (time, now) = (self.time(), self.now);
        let Some(shard) = &mut self.shard else { return };
        for job in &mut self.jobs {
            let (described, over) = shard.is_stored(job.id);
            job.accepted |= described && !job.refused && job.at <= now;
            let known = shard.is_known(job.id);
            if job.at <= now && !known && !job.accepted && !job.refused {
                let outcome = shard.submit(job.id, job.spec.clone(), time, now);
                job.refused = matches!(outcome, SubmitOutcome::Refused { .. });
            }
            let cancels = job.cancels_at.is_some_and(|at| at <= now) && job.accepted;
            if cancels && !job.cancel_asked {
                job.cancel_asked = true;
                shard.cancel(job.id, time, now);
            }
            if job.cancel_asked && over {
                job.cancelled_at.get_or_insert(now);
            }
        }
    }

    // --- Workers ---------------------------------------------------------------------------

    fn look(&mut self) {
        let (time, now) = (self.time(), self.now);
        let Some(shard) = &mut self.shard else { return };
        let token = shard.epoch().get();
        for at in 0..self.workers.len() {
            let id: WorkerId = match self.workers[at].name.parse() {
                Ok(id) => id,
                Err(_) => continue,
            };
            let out = |row: &Telling| row.worker == id && row.order.is_none();
            if self.tellings.iter().any(out) {
                continue;
            }
            let PollPlan::Poll {
                deadline_ms,
                acknowledged_end: last_seen,
                ..
            } = shard.plan_poll(&id, time)
            else {
                continue;
            };
            let worker = &mut self.workers[at];
            if !worker.reachable(now) {
                self.tellings.push(Telling {
                    at: now + ANSWER_MS,
                    worker: id,
                    order: None,
                });
                continue;
            }
            if !worker.admits(token) {
                shard.poll_failed(&id, OrderAnswer::Fenced, time, now);
                continue;
            }
            let failed = worker
                .ended
                .iter()
                .filter(|end| end.number <= last_seen && end.kind == EndKind::Failed);
            for end in failed {
                match self.failed.iter_mut().find(|row| row.0 == end.task) {
                    Some(row) => row.1 += 1,
                    None => self.failed.push((end.task, 1)),
                }
            }
            for end in self.done.iter_mut().filter(|end| end.worker == at) {
                end.noted |= end.number <= last_seen && end.lapses == worker.lapses;
            }
            let report = worker.hold(deadline_ms, last_seen, now);
            shard.poll_answered(&id, &report, time, time, now);
        }
    }

    fn order(&mut self, id: &WorkerId, order: Order, token: u64) -> Result<(), Broken> {
        let (time, now) = (self.time(), self.now);
        let Some(at) = self.workers.iter().position(|row| row.name == id.as_str()) else {
            return Ok(());
        };
        let late = self.below(1_000) < self.options.order_late && now < self.trouble_ends();
        if late || !self.workers[at].reachable(now) {
            self.tellings.push(Telling {
                at: now + ANSWER_MS,
                worker: id.clone(),
                order: Some(order.clone()),
            });
            if late {
                let at_ms = now + 1_000 + self.below(8_000);
                self.late.push(LateOrder {
                    at: at_ms,
                    worker: at,
                    token,
                    order,
                });
            }
            return Ok(());
        }
        let taken = self.execute(at, &order, token, Carried::AtOnce)?;
        let clock_ms = self.workers[at].clock_ms(now);
        let answer = match taken {
            Taken::Started | Taken::AlreadyThere => OrderAnswer::Accepted { clock_ms },
            Taken::Fenced => OrderAnswer::Fenced,
            Taken::Old => OrderAnswer::OldRun,
            Taken::Late => OrderAnswer::Late { clock_ms },
        };
        if let Some(shard) = &mut self.shard {
            shard.order_answered(id, &order, answer, time, now);
        }
        Ok(())
    }

    const fn trouble_ends(&self) -> u64 {
        10_000 + self.options.trouble_ms
    }

    fn execute(
        &mut self,
        at: usize,
        order: &Order,
        token: u64,
        carried: Carried,
    ) -> Result<Taken, Broken> {
        let now = self.now;
        match order {
            Order::Start {
                task,
                run,
                spec,
                deadline_ms,
                ..
            } => {
                let step = &spec.steps[usize::from(task.step)];
                let work = work(*task, run.get(), spec, step);
                let ends_at = match step.gang || step.persistent {
                    true => None,
                    false => Some(now + work.lasts_ms),
                };
                let sim = SimRun {
                    task: *task,
                    run: *run,
                    work,
                    gang: step.gang,
                    ends_at,
                    began_at: now,
                    stops_at: None,
                };
                let taken = self.workers[at].start(sim, token, *deadline_ms, now);
                if taken == Taken::Started {
                    self.starts += 1;
                    self.check_start(at, *task, step, spec, carried)?;
                }
                Ok(taken)
            }
            Order::Stop { task, run } => {
                if !self.workers[at].admits(token) {
                    return Ok(Taken::Fenced);
                }
                self.workers[at].stop(*task, *run, now);
                Ok(Taken::Started)
            }
            Order::Pace { .. } => Ok(Taken::Started),
        }
    }

    /// Members of a gang work from the moment when all are there, and end when one is gone.
    fn begin_gangs(&mut self) {
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
            let wanted = job.map(|job| job.spec.steps[usize::from(gang.step)].count as usize);
            let whole = wanted == Some(count);
            for worker in &mut self.workers {
                let mut at = 0;
                while at < worker.runs.len() {
                    let run = &mut worker.runs[at];
                    let member = TaskId {
                        index: 0,
                        ..run.task
                    };
                    let same = member == gang && run.run.get() == number;
                    match run.ends_at {
                        None if same && whole => {
                            run.ends_at = Some(self.now + run.work.lasts_ms);
                            at += 1;
                        }
                        Some(_) if same && !whole => {
                            worker.end(at, EndKind::GangMemberEnded);
                        }
                        _ => at += 1,
                    }
                }
            }
        }
    }

    // --- Checks ----------------------------------------------------------------------------

    fn check_start(
        &self,
        at: usize,
        task: TaskId,
        step: &StepSpec,
        spec: &JobSpec,
        carried: Carried,
    ) -> Result<(), Broken> {
        let at_ms = self.now;
        let running: usize = self
            .workers
            .iter()
            .filter(|worker| worker.down_until <= self.now)
            .map(|worker| worker.runs.iter().filter(|run| run.task == task).count())
            .sum();
        let noted = |end: &DoneEnd| end.task == task && end.noted;
        let before = step.after.iter().all(|after| {
            (0..spec.steps[usize::from(*after)].count).all(|index| {
                let needed = TaskId {
                    step: *after,
                    index: u16::try_from(index).unwrap_or(u16::MAX),
                    ..task
                };
                self.done.iter().any(|end| end.task == needed)
            })
        });
        let failed = self.failed.iter().find(|row| row.0 == task);
        let job = self.jobs.iter().find(|job| job.id == task.job);
        let cancelled = job.and_then(|job| job.cancelled_at);
        let worker = &self.workers[at];
        match () {
            () if running > 1 => Err(Broken::TwoRuns { at_ms, task }),
            () if !step.persistent && self.done.iter().any(noted) => {
                Err(Broken::AfterDone { at_ms, task })
            }
            () if !before => Err(Broken::Order { at_ms, task }),
            () if !step.persistent && failed.is_some_and(|row| row.1 >= MAX_ATTEMPTS) => {
                Err(Broken::Budget { at_ms, task })
            }
            // Bounds in time are not for orders that a worker carried out late.
            () if carried == Carried::AtOnce
                && cancelled.is_some_and(|since| at_ms > since + CANCEL_MS) =>
            {
                Err(Broken::Cancelled { at_ms, task })
            }
            () if job.is_some_and(|job| job.refused) => Err(Broken::Refused { at_ms, task }),
            () if worker.used_millis() > worker.capacity_millis => Err(Broken::Capacity {
                at_ms,
                worker: worker.name.clone(),
                cpu_millis: worker.used_millis(),
                capacity_millis: worker.capacity_millis,
            }),
            () => Ok(()),
        }
    }

    /// Under half of the pool is in use: jobs that wait then should have been started. Beside more,
    /// a gang may find no room for all its members.
    fn has_room(&self) -> bool {
        let used: u64 = self.workers.iter().map(SimWorker::used_millis).sum();
        let capacity: u64 = self.workers.iter().map(|row| row.capacity_millis).sum();
        used * 2 < capacity
    }

    fn check_jobs(&self) -> Result<(), Broken> {
        let Some(shard) = &self.shard else {
            return Ok(());
        };
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            let state = shard.state(run.task.job);
            if !matches!(state, Some(JobState::Queued | JobState::Running)) {
                let task = run.task;
                return Err(Broken::RunsOn { task });
            }
        }
        for job in self.jobs.iter().filter(|job| job.accepted) {
            let state = shard.state(job.id);
            let lasting = job.spec.steps.iter().any(|step| step.persistent);
            let settled = match state {
                Some(JobState::Completed) => !lasting,
                Some(JobState::Cancelled) => job.cancels_at.is_some(),
                Some(JobState::Failed) => !lasting,
                Some(JobState::Running) if lasting => true,
                Some(JobState::Queued | JobState::Running) => !self.has_room(),
                _ => false,
            };
            if !settled {
                return Err(Broken::Lost {
                    job: job.id,
                    state: state.map_or("unknown".to_owned(), |state| state.to_string()),
                });
            }
        }
        Ok(())
    }
}

/// What a run of a task does: the same for the same run.
fn work(task: TaskId, run: u64, spec: &JobSpec, step: &StepSpec) -> Work {
    // The members of a gang end together.
    let index = match step.gang {
        true => 0,
        false => task.index,
    };
    let seed = task.job.get() ^ (u64::from(task.step) << 20) ^ (u64::from(index) << 32) ^ run;
    let mut random = Random::new(seed);
    Work {
        cpu_millis: step.needs.cpu_millis,
        lasts_ms: 100 + random.next_u64() % 1_500,
        fails: spec.text == "poison" || random.next_bool(0.04),
    }
}

fn handed(number: u64, trouble_ms: u64, random: &mut Random) -> Handed {
    let mut steps = Vec::new();
    let lasting = random.next_bool(0.1);
    let count = match lasting {
        true => 1,
        false => 1 + random.next_u64() % 3,
    };
    for at in 0..count {
        let gang = !lasting && random.next_bool(0.15);
        steps.push(StepSpec {
            count: u32::try_from(1 + random.next_u64() % 4).unwrap_or(1),
            needs: Resources {
                cpu_millis: 300 + random.next_u64() % 900,
                memory_mib: 10,
                gpus: 0,
            },
            estimate_ms: 800,
            after: match at {
                0 => Vec::new(),
                at => vec![u16::try_from(at - 1).unwrap_or(0)],
            },
            gang,
            persistent: lasting,
            anti_affinity: u32::from(lasting),
            ..StepSpec::default()
        });
    }
    let poison = !lasting && random.next_bool(0.05);
    let cancels = random.next_bool(0.15);
    let at = 10_000 + random.next_u64() % trouble_ms;
    Handed {
        id: format!("{number:016x}")
            .parse()
            .unwrap_or_else(|error| unreachable!("a formatted job id can be read: {error}")),
        spec: JobSpec {
            queue: "queue".to_owned(),
            pool: "pool".to_owned(),
            organisation: String::new(),
            text: match poison {
                true => "poison".to_owned(),
                false => "work".to_owned(),
            },
            steps,
            repeat: None,
            submitted_unix_ms: at,
        },
        at,
        accepted: false,
        refused: false,
        cancels_at: cancels.then_some(at + 500 + random.next_u64() % 3_000),
        cancel_asked: false,
        cancelled_at: None,
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
        vm_operations_per_s: 64,
        moves_enabled: false,
    }
}

fn catalogue() -> Catalogue {
    Catalogue {
        version: 1,
        queues: vec![QueueInfo {
            name: "queue".to_owned(),
            pool: "pool".to_owned(),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch_permille: 1_600,
            target_latency_ms: 60_000,
            advised: false,
        }],
        pools: vec![PoolInfo {
            name: "pool".to_owned(),
            spare: false,
        }],
        organisations: Vec::new(),
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
        pool: "pool".to_owned(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone".to_owned(),
        ready: true,
        capacity: capacity(worker),
        labels: Vec::new(),
        started_unix_ms: None,
    }
}

fn machine(worker: &SimWorker) -> Vm {
    Vm {
        name: worker.name.clone(),
        pool: "pool".to_owned(),
        state: VmState::Up,
        capacity: capacity(worker),
        labels: Vec::new(),
        worker: Some(worker_id(worker)),
    }
}

fn worker_id(worker: &SimWorker) -> WorkerId {
    worker
        .name
        .parse()
        .unwrap_or_else(|error| unreachable!("a worker's name is an id: {error}"))
}
