//! Tasks that crash the workers that start them, and the tasks that share these workers.

use vanillafold_jobs::{
    Epoch, JobId, JobSpec, JobState, OrderAnswer, PollReport, Record, Repeat, Shard, StepSpec,
    SuspectRun, TaskId, Vm, WorkerEntry,
};

use crate::fixture::{
    accept_start, answer_start, at, catalogue, job, job_id, listed_run, poll, report,
    schedule_starts, settings, shard_with_workers, step, store_batches, task, unix, vm, worker,
    worker_entry,
};

/// How long a crashed worker is away, in milliseconds.
const CRASH_DOWN_MS: u64 = 3_300;
/// Size of a record that the store takes, in bytes.
const RECORD_BYTES: usize = 128 * 1024;
/// Time between two rounds of orders and polls, in milliseconds.
const ROUND_MS: u64 = 100;

/// A VM and the worker that runs on it.
struct SimulatedVm {
    name: &'static str,
    /// Number of workers that have run on the VM.
    lives: u32,
    /// When the next worker starts; `None` while one runs.
    back_at_ms: Option<u64>,
    started_ms: u64,
    /// Whether orders and polls get no answer although the worker runs.
    is_cut_off: bool,
    runs: Vec<(TaskId, u64)>,
}

impl SimulatedVm {
    fn worker_name(&self) -> String {
        format!("{}-{}", self.name, self.lives)
    }
}

/// A pool whose workers crash 10 ms after they have started a task of `crashing`, and register under
/// a new id when they are back.
struct Pool {
    shard: Shard,
    now_ms: u64,
    vms: Vec<SimulatedVm>,
    crashing: Vec<TaskId>,
    /// Tasks in the order of their starts.
    started: Vec<TaskId>,
    /// Stored records, by key.
    records: Vec<(String, Vec<u8>)>,
}

impl Pool {
    fn new(names: &[&'static str]) -> Self {
        let mut shard = Shard::load(settings(), Epoch::new(5), Vec::new(), at(0), unix(0));
        shard.set_evacuated_zones(&[], at(0));
        shard.set_catalogue(catalogue());
        let vms = names.iter().map(|name| SimulatedVm {
            name,
            lives: 0,
            back_at_ms: None,
            started_ms: 0,
            is_cut_off: false,
            runs: Vec::new(),
        });
        let mut pool = Self {
            shard,
            now_ms: 0,
            vms: vms.collect(),
            crashing: Vec::new(),
            started: Vec::new(),
            records: Vec::new(),
        };
        pool.list();
        pool
    }

    fn submit(&mut self, id: JobId, spec: JobSpec) {
        let now_ms = self.now_ms;
        self.shard.submit(id, spec, at(now_ms), unix(now_ms));
        self.store();
    }

    fn list(&mut self) {
        let entry = |row: &SimulatedVm| WorkerEntry {
            address: worker_entry(row.name).address,
            started_unix_ms: Some(row.started_ms),
            ..worker_entry(&row.worker_name())
        };
        let up = self.vms.iter().filter(|row| row.back_at_ms.is_none());
        let entries = up.map(entry).collect();
        let listed = |row: &SimulatedVm| Vm {
            worker: row.back_at_ms.is_none().then(|| worker(&row.worker_name())),
            ..vm(row.name, row.name)
        };
        let vms = self.vms.iter().map(listed).collect();
        self.shard.set_workers(entries, at(self.now_ms));
        self.shard.set_vms(vms, at(self.now_ms));
    }

    /// Lets `rounds` rounds pass.
    fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now_ms += ROUND_MS;
            self.restart_vms();
            self.poll_workers();
            for (task, run, name) in schedule_starts(&mut self.shard, self.now_ms) {
                self.start(task, run, &name);
            }
            self.store();
        }
    }

    fn restart_vms(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.vms.len() {
            let row = &mut self.vms[index];
            if row.back_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                let gone = row.worker_name();
                row.back_at_ms = None;
                row.lives += 1;
                row.started_ms = now_ms;
                let replaced = OrderAnswer::Replaced;
                self.shard
                    .poll_failed(&worker(&gone), replaced, at(now_ms), unix(now_ms));
            }
        }
        self.list();
    }

    fn poll_workers(&mut self) {
        let now_ms = self.now_ms;
        for row in &self.vms {
            let name = row.worker_name();
            self.shard.plan_poll(&worker(&name), at(now_ms));
            if row.back_at_ms.is_some() || row.is_cut_off {
                let lost = OrderAnswer::Unknown;
                self.shard
                    .poll_failed(&worker(&name), lost, at(now_ms), unix(now_ms));
                continue;
            }
            let mut poll_report = report(now_ms - row.started_ms + 1);
            poll_report.started_unix_ms = Some(row.started_ms);
            let runs = row.runs.iter().map(|run| listed_run(run.0, run.1));
            poll_report.running = runs.collect();
            poll(&mut self.shard, &name, &poll_report, now_ms);
        }
    }

    fn start(&mut self, task: TaskId, run: u64, name: &str) {
        let found = self.vms.iter().position(|row| row.worker_name() == name);
        let row = &mut self.vms[found.expect("a worker")];
        let answer = match row.back_at_ms {
            Some(_) => OrderAnswer::NotSent,
            None => OrderAnswer::Accepted,
        };
        answer_start(&mut self.shard, name, (task, run), answer, self.now_ms);
        if row.back_at_ms.is_some() {
            return;
        }
        self.started.push(task);
        row.runs.push((task, run));
        if self.crashing.contains(&task) {
            row.runs.clear();
            row.back_at_ms = Some(self.now_ms + CRASH_DOWN_MS);
        }
    }

    /// Stores all batches.
    fn store(&mut self) {
        while let Some(batch) = self.shard.take_batch() {
            for (key, value) in &batch.records {
                self.records.retain(|row| row.0 != *key);
                if !value.is_empty() {
                    self.records.push((key.clone(), value.clone()));
                }
            }
            self.shard.batch_stored(&batch);
        }
    }

    /// Replaces the owner by one of the next epoch, which knows what is stored.
    fn change_owner(&mut self) {
        let decode = |row: &(String, Vec<u8>)| Record::decode(&row.0, &row.1).ok();
        let records = self.records.iter().filter_map(decode).collect();
        let epoch = Epoch::new(self.shard.epoch().get() + 1);
        let (now, now_unix_ms) = (at(self.now_ms), unix(self.now_ms));
        self.shard = Shard::load(settings(), epoch, records, now, now_unix_ms);
        self.shard.set_catalogue(catalogue());
        self.list();
    }

    /// Cuts the VM with a run of a task off for `rounds` rounds; the run goes on.
    fn cut_off(&mut self, task: TaskId, rounds: u64) {
        let runs_task = |row: &SimulatedVm| row.runs.iter().any(|run| run.0 == task);
        let index = self.vms.iter().position(runs_task).expect("a run");
        self.vms[index].is_cut_off = true;
        self.run(rounds);
        self.vms[index].is_cut_off = false;
        self.vms[index].runs.clear();
    }

    fn starts(&self, task: TaskId) -> usize {
        self.started.iter().filter(|row| **row == task).count()
    }

    fn state(&self, id: JobId) -> Option<JobState> {
        self.shard.state(id)
    }
}

fn persistent(count: u32) -> StepSpec {
    StepSpec {
        persistent: true,
        ..step(count)
    }
}

/// Lost runs were not counted, so one task crashed worker after worker.
#[test]
fn a_task_that_crashes_each_worker_is_given_up_before_its_fourth_start() {
    let mut pool = Pool::new(&["m1", "m2", "m3", "m4"]);
    pool.crashing.push(task(job_id(1), 0));
    pool.submit(job_id(1), job(vec![step(1)]));

    pool.run(400);

    assert_eq!(pool.state(job_id(1)), Some(JobState::Failed));
    assert!(pool.starts(task(job_id(1), 0)) <= 3);
}

/// Each kind of task is started by the same scheduler, and its losses are counted alike.
#[test]
fn tasks_of_all_kinds_that_crash_their_workers_are_given_up() {
    let kinds = [
        (
            "gang",
            StepSpec {
                gang: true,
                ..step(3)
            },
            None,
        ),
        ("persistent", persistent(1), None),
        (
            "best effort",
            StepSpec {
                best_effort: true,
                ..step(1)
            },
            None,
        ),
        (
            "repeated",
            step(1),
            Some(Repeat {
                count: 3,
                start_unix_ms: unix(0),
                interval_ms: 5_000,
            }),
        ),
    ];
    for (name, step, repeat) in kinds {
        let mut pool = Pool::new(&["m1", "m2", "m3", "m4"]);
        pool.crashing.push(task(job_id(1), 0));
        let spec = JobSpec {
            repeat,
            ..job(vec![step])
        };
        pool.submit(job_id(1), spec);

        pool.run(500);

        assert_eq!(pool.state(job_id(1)), Some(JobState::Failed), "{name}");
        assert!(pool.starts(task(job_id(1), 0)) <= 3, "{name}");
    }
}

/// Tasks that were lost together were started together again, so the others shared each loss and
/// could not be told from the task that caused it.
#[test]
fn tasks_that_share_workers_with_one_that_crashes_them_are_not_given_up() {
    let mut pool = Pool::new(&["m1", "m2", "m3"]);
    for number in 2..=6 {
        pool.submit(job_id(number), job(vec![persistent(1)]));
    }
    pool.run(5);
    pool.crashing.push(task(job_id(1), 0));
    pool.submit(job_id(1), job(vec![step(1)]));

    pool.run(500);

    assert_eq!(pool.state(job_id(1)), Some(JobState::Failed));
    for number in 2..=6 {
        assert_eq!(
            pool.state(job_id(number)),
            Some(JobState::Running),
            "{number}"
        );
    }
}

/// Two tasks that crash their workers at the same time share some of these losses.
#[test]
fn two_tasks_that_crash_their_workers_are_both_given_up() {
    let mut pool = Pool::new(&["m1", "m2", "m3", "m4"]);
    for number in 1..=2 {
        pool.crashing.push(task(job_id(number), 0));
        pool.submit(job_id(number), job(vec![step(1)]));
    }
    pool.submit(job_id(3), job(vec![persistent(4)]));

    pool.run(600);

    assert_eq!(pool.state(job_id(1)), Some(JobState::Failed));
    assert_eq!(pool.state(job_id(2)), Some(JobState::Failed));
    assert_eq!(pool.state(job_id(3)), Some(JobState::Running));
}

/// The losses that an owner had seen were gone with it.
#[test]
fn the_next_owner_counts_the_losses_that_the_one_before_has_stored() {
    let mut pool = Pool::new(&["m1", "m2", "m3", "m4"]);
    let crashing = task(job_id(1), 0);
    pool.crashing.push(crashing);
    pool.submit(job_id(1), job(vec![step(1)]));
    while pool.starts(crashing) < 2 {
        pool.run(1);
    }
    pool.run(60);
    let starts_before = pool.starts(crashing);

    pool.change_owner();
    pool.run(500);

    assert_eq!(pool.state(job_id(1)), Some(JobState::Failed));
    assert!(starts_before >= 2);
    assert!(pool.starts(crashing) <= 4);
}

/// A worker that is cut off loses its runs too, but answers again in the same life.
#[test]
fn a_task_whose_workers_are_cut_off_again_and_again_is_not_given_up() {
    let mut pool = Pool::new(&["m1", "m2", "m3"]);
    let cut_off = task(job_id(1), 0);
    pool.submit(job_id(1), job(vec![persistent(1)]));
    pool.run(5);

    for _ in 0..6 {
        pool.cut_off(cut_off, 60);
        pool.run(40);
    }

    assert_eq!(pool.state(job_id(1)), Some(JobState::Running));
    assert!(pool.starts(cut_off) >= 6);
}

/// Each run that was lost later counted as another lost worker, and seemed to be the only possible
/// cause of that loss.
#[test]
fn a_silent_worker_whose_runs_are_lost_at_different_times_counts_once() {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(2)]), at(900), unix(900));
    store_batches(&mut shard);
    let starts = schedule_starts(&mut shard, 1_000);
    let answers = [OrderAnswer::Accepted, OrderAnswer::Unknown];
    for (start, answer) in starts.iter().zip(answers) {
        answer_start(&mut shard, "w1", (start.0, start.1), answer, 1_010);
    }
    for ms in [1_100, 7_000, 14_000] {
        let lost = OrderAnswer::Unknown;
        shard.poll_failed(&worker("w1"), lost, at(ms), unix(ms));
        shard.schedule(at(ms), unix(ms));
    }

    assert_eq!(shard.run_count(), 0);
    assert_eq!(shard.loss_counts().leases_expired, 1);
}

/// Returns the losses of the first task of job 1 that the next batch stores.
fn stored_losses(shard: &mut Shard) -> Vec<SuspectRun> {
    let batch = shard.take_batch().map_or(Vec::new(), |batch| batch.records);
    let records = batch.iter().map(|row| Record::decode(&row.0, &row.1));
    let losses = records.filter_map(|record| match record {
        Ok(Record::Suspects(_, runs)) => Some(runs),
        _ => None,
    });
    losses.flatten().collect()
}

/// The start got no answer and was ordered again in the worker's next incarnation, which crashed under
/// it. The run counted as begun with the first order, so that the crash said little about its task.
#[test]
fn a_run_that_a_later_incarnation_starts_is_fresh_there() {
    // Arrange: the start on w1 gets no answer.
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    store_batches(&mut shard);
    let (task, run, _) = schedule_starts(&mut shard, 1_000).remove(0);
    answer_start(&mut shard, "w1", (task, run), OrderAnswer::Unknown, 1_500);

    // Act: w1 starts again and starts the run, and has started again at the next poll.
    let incarnation = |started_unix_ms, clock_ms| PollReport {
        started_unix_ms: Some(started_unix_ms),
        ..report(clock_ms)
    };
    poll(&mut shard, "w1", &incarnation(2, 20), 5_000);
    let repeated = schedule_starts(&mut shard, 5_001);
    accept_start(&mut shard, "w1", task, run, 5_005);
    let mut listed = incarnation(2, 30);
    listed.running = vec![listed_run(task, run)];
    poll(&mut shard, "w1", &listed, 5_010);
    poll(&mut shard, "w1", &incarnation(3, 20), 8_500);

    // Assert
    assert_eq!(repeated, vec![(task, run, "w1".to_owned())]);
    let losses = stored_losses(&mut shard);
    assert_eq!(losses.len(), 1);
    assert!(losses[0].alone, "{losses:?}");
}

/// The record of the runs that were lost grew beyond what the store takes, and nothing was stored any
/// more.
#[test]
fn the_stored_losses_of_a_large_job_stay_within_a_record() {
    let name = "i-2c16c7561f";
    let mut shard = shard_with_workers(&[name]);
    let mut large = step(3_000);
    large.needs.cpu_millis = 1;
    large.needs.memory_mib = 1;
    shard.submit(job_id(1), job(vec![large]), at(900), unix(900));
    store_batches(&mut shard);
    let mut started = 0;
    let mut ms = 1_000;
    loop {
        let starts = schedule_starts(&mut shard, ms);
        if starts.is_empty() {
            break;
        }
        started += starts.len();
        for (task, run, _) in starts {
            accept_start(&mut shard, name, task, run, ms + 1);
        }
        ms += 5;
    }

    let restarted = PollReport {
        started_unix_ms: Some(2),
        ..report(20)
    };
    poll(&mut shard, name, &restarted, ms);

    let batch = shard.take_batch().map_or(Vec::new(), |batch| batch.records);
    let largest = batch.iter().map(|row| row.1.len()).max().unwrap_or(0);
    assert_eq!(started, 3_000);
    assert!(largest > 0);
    assert!(largest <= RECORD_BYTES, "{largest} bytes");
}
