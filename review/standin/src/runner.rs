//! Stand-in runners, as the users' PROTOCOL.md describes them, and the list of what happened on them.
//!
//! The text of a job's `spec` says how its tasks behave, in words separated by spaces: `ms=N` how long
//! a task works, `spread=N` up to how much longer, by its number, `lasts=N` that the tasks of steps from
//! N on last, `fail` that its tasks end as failed, `advised` that a start needs a ticket.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::http::{Handler, Reply, Request, reply, serve};
use super::json::{Json, map};

/// Ends that an answer lists at most (PROTOCOL.md: "500 at a time").
const ENDS_AT_A_TIME: usize = 500;

#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub max_hold_ms: u64,
    pub stop_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    Start {
        token: u64,
    },
    End {
        how: &'static str,
    },
    /// `last_seen` has reached the end of this run.
    Noted {
        how: &'static str,
    },
    /// The lease of the runner has lapsed.
    Lapsed,
    /// The runner has ended or crashed with all that ran on it.
    Down,
}

#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: u64,
    pub runner: usize,
    pub task: String,
    pub run: u64,
    pub what: What,
}

/// Everything that runners have seen, on one clock.
pub struct Trace {
    began: Instant,
    events: Mutex<Vec<Event>>,
}

impl Trace {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            events: Mutex::new(Vec::new()),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn add(&self, runner: usize, task: &str, run: u64, what: What) {
        let event = Event {
            at_ms: self.now_ms(),
            runner,
            task: task.to_owned(),
            run,
            what,
        };
        self.events.lock().unwrap().push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}

struct Run {
    task: String,
    run: u64,
    started: Instant,
    ends_at: Option<Instant>,
    how: &'static str,
    stopping: bool,
}

impl Run {
    /// How far the run is, in percent. A run that lasts is at work after a short startup.
    fn percent(&self) -> u64 {
        match self.ends_at {
            _ if self.stopping => 50,
            None => (self.started.elapsed().as_millis() as u64 / 7).min(100),
            Some(_) => 50,
        }
    }
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    started: Instant,
    born: u64,
    fence: u64,
    /// On the runner's clock, in milliseconds; 0 if there is no lease.
    lease_ms: u64,
    runs: Vec<Run>,
    ended: Vec<End>,
    next_end: u64,
    floors: HashMap<String, u64>,
    /// The runner has ended, or has crashed and is not back yet.
    down: bool,
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn end(&mut self, index: usize, how: &'static str) -> (String, u64) {
        let run = self.runs.remove(index);
        let floor = self.floors.entry(run.task.clone()).or_insert(0);
        *floor = (*floor).max(run.run);
        self.ended.push(End {
            number: self.next_end,
            task: run.task.clone(),
            run: run.run,
            how,
        });
        self.next_end += 1;
        (run.task, run.run)
    }
}

pub struct Runner {
    pub index: usize,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub address: Mutex<Option<SocketAddr>>,
    bounds: Bounds,
    trace: Arc<Trace>,
    state: Mutex<State>,
    ended: Condvar,
    sequence: AtomicU64,
    random: AtomicU64,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Runner {
    pub fn start(
        index: usize,
        service: &str,
        zone: &str,
        (cpu, mem_mb): (u64, u64),
        bounds: Bounds,
        trace: &Arc<Trace>,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            index,
            id: format!("i-{:010x}", 0x7f3a_91c2_u64 + index as u64 * 7919),
            service: service.to_owned(),
            zone: zone.to_owned(),
            cpu,
            mem_mb,
            address: Mutex::new(None),
            bounds,
            trace: Arc::clone(trace),
            state: Mutex::new(State {
                started: Instant::now(),
                born: unix_ms(),
                fence: 0,
                lease_ms: 0,
                runs: Vec::new(),
                ended: Vec::new(),
                next_end: 1,
                floors: HashMap::new(),
                down: false,
            }),
            ended: Condvar::new(),
            sequence: AtomicU64::new(0),
            random: AtomicU64::new(unix_ms().wrapping_mul(index as u64 + 1)),
        });
        let answering = Arc::clone(&runner);
        let handler: Handler = Arc::new(move |request: &Request| answering.answer(request));
        *runner.address.lock().unwrap() = Some(serve(handler));
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.advance();
            }
        });
        runner
    }

    /// The runner's entry in the store.
    pub fn entry(&self) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let address = self.address.lock().unwrap().expect("an address");
        map([
            ("service", self.service.as_str().into()),
            ("address", address.to_string().as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", Json::Int(8)),
            ("state", "ready".into()),
            ("cold_remaining_ms", Json::Int(0)),
            ("capacity", self.capacity()),
            ("labels", Json::List(vec!["a".into(), "r1-1".into()])),
            ("born", self.state.lock().unwrap().born.into()),
            ("sequence", sequence.into()),
        ])
        .to_string()
        .into_bytes()
    }

    pub fn capacity(&self) -> Json {
        map([
            ("cpu", self.cpu.into()),
            ("mem_mb", self.mem_mb.into()),
            ("gpu", Json::Int(0)),
        ])
    }

    /// Ends the runner, with all that runs on it, without another word.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        state.runs.clear();
        state.ended.clear();
        state.lease_ms = 0;
        self.trace.add(self.index, "", 0, What::Down);
        self.ended.notify_all();
    }

    /// Starts the runner again under its id; it holds and knows nothing of before.
    pub fn start_again(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = false;
        state.started = Instant::now();
        state.born = unix_ms();
        state.fence = 0;
        state.next_end = 1;
        state.floors.clear();
    }

    /// When this life of the runner began, in milliseconds since 1970.
    pub fn born(&self) -> u64 {
        self.state.lock().unwrap().born
    }

    /// Returns whether a ticket of the advice service is valid for a task in this life of the runner. A
    /// ticket holds the step, the runner's id, its birth and when it expires, on the trace's clock.
    fn is_valid(&self, state: &State, ticket: &str, task: &str) -> bool {
        let words: Vec<&str> = ticket.split('|').collect();
        let [step, id, born, expires] = words.as_slice() else {
            return false;
        };
        task.starts_with(&format!("{step}."))
            && *id == self.id
            && born.parse() == Ok(state.born)
            && expires
                .parse::<u64>()
                .is_ok_and(|at| self.trace.now_ms() < at)
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    /// Returns the tasks of a job that are at work here.
    pub fn at_work(&self, job: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let is_at_work = |run: &&Run| run.task.starts_with(job) && run.percent() == 100;
        let tasks = state.runs.iter().filter(is_at_work);
        tasks.map(|run| run.task.clone()).collect()
    }

    /// Ends the runs that are done, and all of them once the lease is over.
    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let mut any = false;
        if state.lease_ms > 0 && state.clock_ms() > state.lease_ms {
            state.lease_ms = 0;
            self.trace.add(self.index, "", 0, What::Lapsed);
            while !state.runs.is_empty() {
                let (task, run) = state.end(0, "lapsed");
                self.trace
                    .add(self.index, &task, run, What::End { how: "lapsed" });
                any = true;
            }
        }
        let mut index = 0;
        while index < state.runs.len() {
            let due = state.runs[index].ends_at.is_some_and(|at| at <= now);
            if !due {
                index += 1;
                continue;
            }
            let how = match state.runs[index].stopping {
                true => "stopped",
                false => state.runs[index].how,
            };
            let (task, run) = state.end(index, how);
            self.trace.add(self.index, &task, run, What::End { how });
            any = true;
        }
        if any {
            self.ended.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        if request.path == "/hold" {
            thread::sleep(self.latency());
        }
        if request.header("expected-instance") != self.id {
            return Reply::Answer(421, Vec::new());
        }
        let body = request.json();
        let token = body.get("fencing_token").u64().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if state.down {
            return Reply::Close;
        }
        let rejected = |state: &State, reason: &str| {
            let clock = state.clock_ms();
            reply(
                409,
                &map([("clock_ms", clock.into()), ("reason", reason.into())]),
            )
        };
        if token < state.fence {
            return rejected(&state, "fence");
        }
        state.fence = token;
        let task = body.get("task").text();
        let run = body.get("run").u64().unwrap_or(0);
        let is_same = |row: &Run| row.task == task && row.run == run;
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body.get("deadline_ms").u64().unwrap_or(0);
                if state.clock_ms() >= deadline {
                    return rejected(&state, "late");
                }
                self.extend(&mut state, deadline);
                let there = state.runs.iter().any(is_same);
                if !there && state.floors.get(task).is_some_and(|floor| run <= *floor) {
                    return rejected(&state, "old");
                }
                let is_advised = body
                    .get("spec")
                    .text()
                    .split(' ')
                    .any(|word| word == "advised");
                if is_advised && !self.is_valid(&state, body.get("ticket").text(), task) {
                    return rejected(&state, "ticket");
                }
                if !there {
                    let (work_ms, how) = behaviour(body.get("spec").text(), task);
                    let ends_at = work_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
                    state.runs.push(Run {
                        task: task.to_owned(),
                        run,
                        started: Instant::now(),
                        ends_at,
                        how,
                        stopping: false,
                    });

                    let what = What::Start { token };
                    self.trace.add(self.index, task, run, what);
                }
                reply(200, &map([("clock_ms", state.clock_ms().into())]))
            }
            "/run-stop" => {
                let floor = state.floors.entry(task.to_owned()).or_insert(0);
                *floor = (*floor).max(run);
                let stop = Duration::from_millis(self.bounds.stop_ms / 2);
                if let Some(row) = state.runs.iter_mut().find(|row| is_same(row)) {
                    if !row.stopping {
                        row.stopping = true;
                        row.ends_at = Some(Instant::now() + stop);
                    }
                }
                reply(200, &map([("clock_ms", state.clock_ms().into())]))
            }
            "/pace" => reply(200, &map([("clock_ms", state.clock_ms().into())])),
            "/hold" => {
                if let Some(deadline) = body.get("deadline_ms").u64() {
                    self.extend(&mut state, deadline);
                }
                let seen = body.get("last_seen").u64().unwrap_or(0);
                let (noted, kept): (Vec<End>, Vec<End>) = std::mem::take(&mut state.ended)
                    .into_iter()
                    .partition(|end| end.number <= seen);
                state.ended = kept;
                for end in noted {
                    let what = What::Noted { how: end.how };
                    self.trace.add(self.index, &end.task, end.run, what);
                }
                let wait = Duration::from_millis(body.get("wait_ms").u64().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                while state.ended.is_empty() && !state.down {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                match state.down {
                    true => Reply::Close,
                    false => self.lists(&state),
                }
            }
            _ => Reply::Answer(404, Vec::new()),
        }
    }

    /// How long the runner takes to read a poll: 1 to 40 ms, at random and alike on all runners.
    fn latency(&self) -> Duration {
        let state = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (state ^ state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        Duration::from_millis(1 + (mixed >> 33) % 40)
    }

    fn extend(&self, state: &mut State, deadline_ms: u64) {
        let most = state.clock_ms() + self.bounds.max_hold_ms;
        state.lease_ms = state.lease_ms.max(deadline_ms.min(most));
    }

    fn lists(&self, state: &State) -> Reply {
        let running = state.runs.iter().map(|run| {
            Json::List(vec![
                run.task.as_str().into(),
                run.run.into(),
                "".into(),
                run.percent().into(),
                Json::Int(100),
            ])
        });
        let ended = state.ended.iter().take(ENDS_AT_A_TIME).map(|end| {
            Json::List(vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                "".into(),
            ])
        });
        let body = map([
            ("clock_ms", state.clock_ms().into()),
            ("born", state.born.into()),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ]);
        reply(200, &body)
    }
}

/// Returns how long a task works (`None` if it lasts) and how its runs end. A task is named
/// ID.K.STEP.INDEX.
fn behaviour(spec: &str, task: &str) -> (Option<u64>, &'static str) {
    let number = |key: &str| {
        let word = spec.split(' ').find_map(|word| word.strip_prefix(key));
        word.and_then(|word| word.parse::<u64>().ok())
    };
    let mut words = task
        .rsplit('.')
        .map(|word| word.parse::<u64>().unwrap_or(0));
    let index = words.next().unwrap_or(0);
    let step = words.next().unwrap_or(0);
    let spread = number("spread=").unwrap_or(0).max(1);
    let work_ms = match number("lasts=") {
        Some(first) if step >= first => None,
        _ => number("ms=").map(|ms| ms + index * 7_919 % spread),
    };
    let how = match spec.split(' ').any(|word| word == "fail") {
        true => "failed",
        false => "done",
    };
    (work_ms, how)
}
