//! Tasks that crash the workers that start them, and the tasks that share these workers.

use vanillafold_jobs::{
    Epoch, JobId, JobSpec, JobState, Order, OrderAnswer, Repeat, RunNumber, Shard, StepSpec,
    TaskId, Vm, WorkerEntry,
};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_run, poll, report, schedule_starts, settings,
    step, store_batches, task, unix, vm, worker, worker_entry,
};

/// How long a crashed worker is away, in milliseconds.
const CRASH_DOWN_MS: u64 = 3_300;
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
    runs: Vec<(TaskId, u64)>,
}

impl SimulatedVm {
    fn worker_name(&self) -> String {
        format!("{}-{}", self.name, self.lives)
    }
}

/// A pool whose workers crash 10 ms after they have started a task of `deadly`, and register under
/// a new id when they are back.
struct Pool {
    shard: Shard,
    now_ms: u64,
    vms: Vec<SimulatedVm>,
    deadly: Vec<TaskId>,
    /// Tasks in the order of their starts.
    started: Vec<TaskId>,
}

impl Pool {
    fn new(names: &[&'static str]) -> Self {
        let mut shard = Shard::load(settings(), Epoch::new(5), Vec::new(), at(0), unix(0));
        shard.set_catalogue(catalogue());
        let vms = names.iter().map(|name| SimulatedVm {
            name,
            lives: 0,
            back_at_ms: None,
            started_ms: 0,
            runs: Vec::new(),
        });
        let mut pool = Self {
            shard,
            now_ms: 0,
            vms: vms.collect(),
            deadly: Vec::new(),
            started: Vec::new(),
        };
        pool.list();
        pool
    }

    fn submit(&mut self, id: JobId, spec: JobSpec) {
        let now_ms = self.now_ms;
        self.shard.submit(id, spec, at(now_ms), unix(now_ms));
        store_batches(&mut self.shard);
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
            store_batches(&mut self.shard);
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
            if row.back_at_ms.is_some() {
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
        if row.back_at_ms.is_some() {
            let order = Order::Start {
                task,
                run: RunNumber::new(run),
                spec: std::rc::Rc::new(job(Vec::new())),
                deadline_ms: 0,
                checkpoint: String::new(),
                ticket: String::new(),
                waited_ms: 0,
            };
            let answer = OrderAnswer::NotSent;
            self.shard.order_answered(
                &worker(name),
                &order,
                answer,
                at(self.now_ms),
                unix(self.now_ms),
            );
            return;
        }
        self.started.push(task);
        accept_start(
            &mut self.shard,
            name,
            task,
            run,
            self.now_ms - row.started_ms + 1,
        );
        row.runs.push((task, run));
        if self.deadly.contains(&task) {
            row.runs.clear();
            row.back_at_ms = Some(self.now_ms + CRASH_DOWN_MS);
        }
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
    pool.deadly.push(task(job_id(1), 0));
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
        pool.deadly.push(task(job_id(1), 0));
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
    pool.deadly.push(task(job_id(1), 0));
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
        pool.deadly.push(task(job_id(number), 0));
        pool.submit(job_id(number), job(vec![step(1)]));
    }
    pool.submit(job_id(3), job(vec![persistent(4)]));

    pool.run(600);

    assert_eq!(pool.state(job_id(1)), Some(JobState::Failed));
    assert_eq!(pool.state(job_id(2)), Some(JobState::Failed));
    assert_eq!(pool.state(job_id(3)), Some(JobState::Running));
}
