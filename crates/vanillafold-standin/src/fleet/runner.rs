//! The stand-in for a runner: starts, stops and lists runs under a lease.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use monoio::time::{sleep, timeout};
use serde::Deserialize;
use serde_json::{Value, json};
use vanillafold::fleet::unix_ms;
use vanillafold_jobs::{RunNumber, TaskId};
use vanillafold_wire::Latch;
use vanillafold_wire::http::Service;

use super::http::{empty_response, json_response, serve_until};
use super::journal::{EventKind, Journal, RunEnd};
use super::store::Store;
use crate::process::Notify;

/// Ends that an answer lists at most.
const LISTED_ENDS: usize = 500;
/// The longest lease.
const MAX_LEASE_MS: u64 = 10_000;
/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(450);
/// Time between two checks for runs that have ended.
const TICK: Duration = Duration::from_millis(5);
/// Time between two registrations.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Duration of a task whose text does not say one.
const DEFAULT_WORK_MS: u64 = 200;

/// What a runner offers.
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// The pool.
    pub pool: String,
    /// The availability zone.
    pub zone: String,
    /// Thousandths of a core.
    pub cpu_millis: u64,
}

/// A fault of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerFault {
    /// Orders are carried out, and the connection closes without an answer.
    LoseAnswers,
    /// Orders are carried out late, in milliseconds, and the connection closes at once.
    ActLate(u64),
}

#[derive(Debug)]
struct Run {
    task: TaskId,
    run: RunNumber,
    ends_at: Instant,
    end: RunEnd,
}

#[derive(Debug)]
struct ListedEnd {
    number: u64,
    task: TaskId,
    run: RunNumber,
    end: RunEnd,
}

/// One life of a runner.
#[derive(Debug)]
struct Life {
    started: Instant,
    born_unix_ms: u64,
    /// The highest epoch that an order or poll has named.
    fence: u64,
    /// End of the lease, on the runner's clock.
    lease_until_ms: u64,
    has_lease: bool,
    runs: Vec<Run>,
    ended: Vec<ListedEnd>,
    last_end: u64,
    /// The highest run that has been stopped or has ended of each task, sorted by task.
    floors: Vec<(TaskId, RunNumber)>,
}

impl Life {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            born_unix_ms: unix_ms(),
            fence: 0,
            lease_until_ms: 0,
            has_lease: false,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            floors: Vec::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn extend_lease(&mut self, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        self.has_lease = self.lease_until_ms >= self.clock_ms();
    }

    fn floor(&self, task: TaskId) -> Option<RunNumber> {
        let found = self.floors.binary_search_by(|row| row.0.cmp(&task));
        found.ok().map(|index| self.floors[index].1)
    }

    fn raise_floor(&mut self, task: TaskId, run: RunNumber) {
        match self.floors.binary_search_by(|row| row.0.cmp(&task)) {
            Ok(index) => self.floors[index].1 = self.floors[index].1.max(run),
            Err(index) => self.floors.insert(index, (task, run)),
        }
    }
}

/// Body of `POST /run-start`, `POST /run-stop` and `POST /hold`.
#[derive(Deserialize)]
struct OrderBody {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u64,
    #[serde(default)]
    spec: String,
    deadline_ms: Option<u64>,
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// A runner.
#[derive(Debug)]
pub struct Runner {
    index: usize,
    id: String,
    options: RunnerOptions,
    address: Cell<Option<SocketAddr>>,
    /// `None` while the runner is down.
    life: RefCell<Option<Life>>,
    /// Set at the next crash, which closes all connections. One that is opened while the runner is
    /// down reaches its next life.
    crashed: RefCell<Rc<Latch>>,
    sequence: Cell<u64>,
    fault: Cell<Option<RunnerFault>>,
    changed: Notify,
    journal: Rc<Journal>,
}

struct RunnerService(Rc<Runner>);

impl Runner {
    /// Starts a runner, which registers in the store.
    pub(super) fn start(
        index: usize,
        id: String,
        options: RunnerOptions,
        store: &Rc<Store>,
        journal: &Rc<Journal>,
    ) -> io::Result<Rc<Self>> {
        let runner = Rc::new(Self {
            index,
            id,
            options,
            address: Cell::new(None),
            life: RefCell::new(Some(Life::new())),
            crashed: RefCell::default(),
            sequence: Cell::default(),
            fault: Cell::default(),
            changed: Notify::default(),
            journal: Rc::clone(journal),
        });
        let serving = Rc::clone(&runner);
        let address = serve_until(Rc::new(RunnerService(Rc::clone(&runner))), move || {
            Rc::clone(&serving.crashed.borrow())
        })?;
        runner.address.set(Some(address));
        let ticking = Rc::clone(&runner);
        monoio::spawn(async move {
            loop {
                ticking.end_due_runs();
                sleep(TICK).await;
            }
        });
        let registering = Rc::clone(&runner);
        let store = Rc::clone(store);
        monoio::spawn(async move {
            loop {
                let value = registering.registration();
                store.put("keyed.servers", &registering.id, value);
                sleep(HEARTBEAT).await;
            }
        });
        Ok(runner)
    }

    /// What the runner offers.
    #[must_use]
    pub const fn options(&self) -> &RunnerOptions {
        &self.options
    }

    /// Returns whether the runner has not crashed since it was started.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.life.borrow().is_some()
    }

    /// Sets how the runner treats orders from now on.
    pub fn set_fault(&self, fault: Option<RunnerFault>) {
        self.fault.set(fault);
    }

    /// Ends the runner with all that runs on it. It does not answer until it is started again.
    pub fn crash(&self) {
        if self.life.borrow_mut().take().is_some() {
            let runner = self.index;
            self.journal.add(EventKind::RunnerLost { runner });
            self.crashed.take().set();
            self.changed.notify_all();
        }
    }

    /// Starts the runner again under its id. It knows nothing of before.
    pub fn start_again(&self) {
        *self.life.borrow_mut() = Some(Life::new());
        self.sequence.set(0);
    }

    /// Returns the value of the runner's registration; empty, which deletes it, while the runner is
    /// down.
    fn registration(&self) -> String {
        let life = self.life.borrow();
        let (Some(life), Some(address)) = (life.as_ref(), self.address.get()) else {
            return String::new();
        };
        self.sequence.set(self.sequence.get() + 1);
        json!({
            "service": self.options.pool, "address": address.to_string(),
            "zone": self.options.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "sequence": self.sequence.get(), "born": life.born_unix_ms,
            "capacity": { "cpu": self.options.cpu_millis, "mem_mb": 65_536, "gpu": 0 },
            "labels": ["a", "r1-1"],
        })
        .to_string()
    }

    /// Returns the row of the runner's VM in the list of VMs.
    pub(super) fn vm(&self) -> Value {
        let is_up = self.life.borrow().is_some();
        json!({
            "machine": format!("m-{:05}", self.index), "pool": self.options.pool,
            "state": if is_up { "up" } else { "down" }, "zone": self.options.zone,
            "labels": ["a", "r1-1"], "id": self.id,
            "capacity": { "cpu": self.options.cpu_millis, "mem_mb": 65_536, "gpu": 0 },
        })
    }

    /// Ends the runs that are due, and all if the lease is over.
    fn end_due_runs(&self) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else {
            return;
        };
        let lapsed = life.clock_ms() > life.lease_until_ms;
        if lapsed && std::mem::take(&mut life.has_lease) {
            let runner = self.index;
            self.journal.add(EventKind::LeaseExpired { runner });
        }
        let now = Instant::now();
        let runs = std::mem::take(&mut life.runs);
        for mut run in runs {
            match run.ends_at <= now {
                true => {}
                false if lapsed => run.end = RunEnd::Lapsed,
                false => {
                    life.runs.push(run);
                    continue;
                }
            }
            life.raise_floor(run.task, run.run);
            life.last_end += 1;
            life.ended.push(ListedEnd {
                number: life.last_end,
                task: run.task,
                run: run.run,
                end: run.end,
            });
            self.journal.add(EventKind::Ended {
                runner: self.index,
                task: run.task,
                run: run.run,
                end: run.end,
            });
            self.changed.notify_all();
        }
    }

    /// Notes an order to start a run when it arrives, whether it is carried out or not.
    fn note_start_order(&self, path: &str, order: &OrderBody) {
        if path == "/run-start"
            && let Ok(task) = order.task.parse()
        {
            self.journal.add(EventKind::StartOrdered {
                runner: self.index,
                task,
                run: RunNumber::new(order.run),
                token: order.fencing_token,
            });
        }
    }

    /// Carries an order out; `None` while the runner is down.
    fn carry_out(&self, path: &str, order: &OrderBody) -> Option<Response<Bytes>> {
        let mut life = self.life.borrow_mut();
        let life = life.as_mut()?;
        let clock_ms = life.clock_ms();
        let rejected = |reason: &str| {
            let body = json!({ "clock_ms": clock_ms, "reason": reason });
            Some(json_response(StatusCode::CONFLICT, &body))
        };
        if order.fencing_token < life.fence {
            return rejected("fence");
        }
        life.fence = order.fencing_token;
        if path == "/hold" {
            self.acknowledge_ends(life, order.last_seen);
            if let Some(deadline_ms) = order.deadline_ms {
                life.extend_lease(deadline_ms);
            }
            return Some(empty_response(StatusCode::OK));
        }
        let Ok(task) = order.task.parse::<TaskId>() else {
            return Some(empty_response(StatusCode::BAD_REQUEST));
        };
        let run = RunNumber::new(order.run);
        let found = life
            .runs
            .iter()
            .position(|known| known.task == task && known.run == run);
        match (path, found) {
            ("/run-start", found) => {
                let deadline_ms = order.deadline_ms.unwrap_or(0);
                if deadline_ms <= clock_ms {
                    return rejected("late");
                }
                life.extend_lease(deadline_ms);
                if found.is_none() && life.floor(task).is_some_and(|floor| run <= floor) {
                    return rejected("old");
                }
                if found.is_none() {
                    self.begin(life, task, run, order);
                }
            }
            ("/run-stop", found) => {
                life.raise_floor(task, run);
                if let Some(index) = found.filter(|index| life.runs[*index].end == RunEnd::Done) {
                    life.runs[index].end = RunEnd::Stopped;
                    life.runs[index].ends_at = Instant::now() + STOP_TIME;
                }
            }
            _ => {}
        }
        Some(json_response(
            StatusCode::OK,
            &json!({ "clock_ms": clock_ms }),
        ))
    }

    fn begin(&self, life: &mut Life, task: TaskId, run: RunNumber, order: &OrderBody) {
        let words = order.spec.split(' ');
        let work_ms = words
            .filter_map(|word| word.strip_prefix("ms="))
            .find_map(|text| text.parse().ok());
        let work = Duration::from_millis(work_ms.unwrap_or(DEFAULT_WORK_MS));
        life.runs.push(Run {
            task,
            run,
            ends_at: Instant::now() + work,
            end: RunEnd::Done,
        });
        self.journal.add(EventKind::Started {
            runner: self.index,
            task,
            run,
            token: order.fencing_token,
            lease_ms: life.lease_until_ms.saturating_sub(life.clock_ms()),
            spec: order.spec.clone(),
        });
    }

    fn acknowledge_ends(&self, life: &mut Life, last_seen: u64) {
        let unseen = life.ended.partition_point(|end| end.number <= last_seen);
        for end in life.ended.drain(..unseen) {
            self.journal.add(EventKind::EndAcknowledged {
                task: end.task,
                run: end.run,
                end: end.end,
            });
        }
    }

    /// Waits for an end, for as long as the poll says, and returns the lists of runs and ends.
    async fn list(&self, wait_ms: u64) -> Option<Response<Bytes>> {
        let is_waiting = || {
            let life = self.life.borrow();
            life.as_ref().is_some_and(|life| life.ended.is_empty())
        };
        let ended = self.changed.wait_until(|| !is_waiting());
        // Without an end in this time, the lists are returned as they are.
        let _ = timeout(Duration::from_millis(wait_ms), ended).await;
        let life = self.life.borrow();
        let life = life.as_ref()?;
        let running = life.runs.iter();
        let running = running.map(|run| json!([run.task.to_string(), run.run.get(), "", 50, 100]));
        let ended = life.ended.iter().take(LISTED_ENDS).map(|end| {
            let how = match end.end {
                RunEnd::Done => "done",
                RunEnd::Stopped => "stopped",
                RunEnd::Lapsed => "lapsed",
            };
            json!([end.number, end.task.to_string(), end.run.get(), how, ""])
        });
        let body = json!({
            "clock_ms": life.clock_ms(), "born": life.born_unix_ms,
            "running": running.collect::<Vec<Value>>(), "ended": ended.collect::<Vec<Value>>(),
        });
        Some(json_response(StatusCode::OK, &body))
    }
}

impl Service for RunnerService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        let runner = &self.0;
        runner.life.borrow().as_ref()?;
        let expected = request.headers().get("expected-instance");
        if expected.is_none_or(|id| id.as_bytes() != runner.id.as_bytes()) {
            return Some(empty_response(StatusCode::MISDIRECTED_REQUEST));
        }
        let Ok(order) = serde_json::from_slice::<OrderBody>(request.body()) else {
            return Some(empty_response(StatusCode::BAD_REQUEST));
        };
        let path = request.uri().path().to_owned();
        runner.note_start_order(&path, &order);
        if path == "/hold" {
            let answer = runner.carry_out(&path, &order)?;
            return match answer.status() {
                StatusCode::OK => runner.list(order.wait_ms).await,
                _ => Some(answer),
            };
        }
        match runner.fault.get() {
            None => runner.carry_out(&path, &order),
            Some(RunnerFault::LoseAnswers) => {
                runner.carry_out(&path, &order);
                None
            }
            Some(RunnerFault::ActLate(delay_ms)) => {
                let runner = Rc::clone(runner);
                monoio::spawn(async move {
                    sleep(Duration::from_millis(delay_ms)).await;
                    runner.carry_out(&path, &order);
                });
                None
            }
        }
    }
}
