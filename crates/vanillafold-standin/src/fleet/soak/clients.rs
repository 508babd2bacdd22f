//! The clients of the platform: submissions with retries, cancels and questions for states.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_jobs::JobId;

use crate::fleet::caller::{CALLER_TIMEOUT, Caller, JobShape};
use crate::fleet::journal::Outcome;
use crate::fleet::world::World;
use crate::process::Random;

/// Callers, which share the jobs out.
const CALLERS: usize = 24;
/// The most tries of one submission.
const MAX_TRIES: usize = 4;
/// Mean time between two jobs, outside bursts.
const MEAN_JOB_INTERVAL_MS: f64 = 60.0;
/// Time in which a burst of jobs is submitted.
const BURST_MS: u64 = 400;
/// A short job that is wide: a burst of these holds more than the runners can start in time.
const BURST_SHAPE: JobShape = JobShape {
    tasks: 4,
    cpu_millis: 2_000,
    work_ms: 100,
};
/// Ids of jobs that are never submitted begin with this number.
const UNKNOWN_JOBS: u64 = 0xbad0_0000_0000_0000;
/// Ids of submitted jobs begin with this number.
const KNOWN_JOBS: u64 = 0xa11c_0000_0000_0000;

/// All clients.
#[derive(Debug)]
pub(super) struct Clients {
    callers: Vec<Caller>,
    daemons: usize,
    random: RefCell<Random>,
    jobs: Cell<u64>,
    /// Submissions that are not over yet.
    active: Cell<usize>,
    /// Whether no further tries begin.
    stopped: Cell<bool>,
}

impl Clients {
    pub(super) fn new(world: &World, random: Random) -> Rc<Self> {
        Rc::new(Self {
            callers: (0..CALLERS).map(|_| world.caller()).collect(),
            daemons: world.daemons().len(),
            random: RefCell::new(random),
            jobs: Cell::default(),
            active: Cell::default(),
            stopped: Cell::default(),
        })
    }

    /// Submits jobs until [`Clients::stop`].
    pub(super) async fn submit_all(self: &Rc<Self>) {
        while !self.stopped.get() {
            let shape = JobShape {
                tasks: u32::try_from(self.between(1, 3)).unwrap_or(1),
                cpu_millis: self.between(1, 5) * 250,
                work_ms: self.between(50, 800),
            };
            self.begin(shape, Duration::ZERO);
            let interval_ms = self.random.borrow_mut().exponential() * MEAN_JOB_INTERVAL_MS;
            sleep(Duration::from_millis(interval_ms as u64)).await;
        }
    }

    /// Submits many jobs within [`BURST_MS`].
    pub(super) fn burst(self: &Rc<Self>, jobs: u64) {
        for _ in 0..jobs {
            self.begin(BURST_SHAPE, self.up_to_ms(BURST_MS));
        }
    }

    /// Begins no further tries.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
    }

    /// Returns whether all submissions are over.
    pub(super) fn is_idle(&self) -> bool {
        self.active.get() == 0
    }

    /// Asks a random daemon for the state of a job; returns whether it is completed.
    pub(super) async fn is_completed(&self, job: JobId) -> bool {
        let outcome = self.caller(job).state(self.any_daemon(), job).await;
        matches!(outcome, Outcome::Answered(200, body) if body.contains("completed"))
    }

    fn begin(self: &Rc<Self>, shape: JobShape, delay: Duration) {
        self.jobs.set(self.jobs.get() + 1);
        self.active.set(self.active.get() + 1);
        let job = job_id(KNOWN_JOBS, self.jobs.get());
        let clients = Rc::clone(self);
        monoio::spawn(async move {
            sleep(delay).await;
            if clients.submit(job, shape).await {
                clients.follow(job, shape).await;
            }
            clients.active.set(clients.active.get() - 1);
        });
    }

    /// Submits a job with retries; returns whether it is accepted.
    async fn submit(&self, job: JobId, shape: JobShape) -> bool {
        let caller = self.caller(job);
        let mut daemon = self.any_daemon();
        for _ in 0..MAX_TRIES {
            if self.stopped.get() {
                return false;
            }
            let patience = match self.chance(0.2) {
                true => Duration::from_millis(self.between(50, 1_000)),
                false => CALLER_TIMEOUT,
            };
            let reply = caller.submit_for_reply(daemon, job, shape, patience).await;
            let pause = match reply.outcome {
                Outcome::Answered(200..=299, _) => return true,
                Outcome::Answered(429 | 503, _) => reply.retry_after.unwrap_or_default(),
                Outcome::Answered(502 | 504, _) | Outcome::NotSent | Outcome::Unanswered => {
                    self.up_to_ms(200)
                }
                Outcome::Answered(..) => return false,
            };
            self.pause(pause).await;
            let others = u64::try_from(self.daemons - 1).unwrap_or(1).max(1);
            let step = usize::try_from(self.between(1, others)).unwrap_or(1);
            daemon = (daemon + step) % self.daemons;
        }
        false
    }

    /// Does what clients do with jobs that were accepted.
    async fn follow(&self, job: JobId, shape: JobShape) {
        let caller = self.caller(job);
        sleep(self.up_to_ms(2_000)).await;
        match self.between(0, 99) {
            0..=9 => {
                caller.cancel(self.any_daemon(), job).await;
            }
            10..=14 if !self.stopped.get() => {
                let daemon = self.any_daemon();
                caller.submit(daemon, job, shape, CALLER_TIMEOUT).await;
            }
            15..=34 => {
                caller.state(self.any_daemon(), job).await;
            }
            35 => {
                let unknown = job_id(UNKNOWN_JOBS, self.jobs.get());
                caller.state(self.any_daemon(), unknown).await;
            }
            _ => {}
        }
    }

    /// Waits before the next try. A submission counts as over meanwhile: a refusal may ask for a
    /// pause of minutes.
    async fn pause(&self, pause: Duration) {
        self.active.set(self.active.get() - 1);
        sleep(pause).await;
        self.active.set(self.active.get() + 1);
    }

    fn caller(&self, job: JobId) -> &Caller {
        let number = usize::try_from(job.get()).unwrap_or(0);
        &self.callers[number % self.callers.len()]
    }

    fn any_daemon(&self) -> usize {
        let last = u64::try_from(self.daemons - 1).unwrap_or(0);
        usize::try_from(self.between(0, last)).unwrap_or(0)
    }

    fn between(&self, low: u64, high: u64) -> u64 {
        self.random.borrow_mut().between(low..=high)
    }

    fn chance(&self, probability: f64) -> bool {
        self.random.borrow_mut().next_bool(probability)
    }

    fn up_to_ms(&self, limit_ms: u64) -> Duration {
        Duration::from_millis(self.between(0, limit_ms))
    }
}

fn job_id(first: u64, number: u64) -> JobId {
    let text = format!("{:016x}", first + number);
    text.parse().expect("16 hexadecimal digits")
}
