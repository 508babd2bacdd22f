//! The stand-in for runners, and the machines that they run on.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request};
use crate::json::{Json, number, object, text};
use crate::record::{Record, unix_ms};
use crate::store::Store;

/// Time between two registrations (`heartbeat_ms` of the settings).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// A registration is removed after this time without a further one: three heartbeats.
const SILENCE: Duration = Duration::from_millis(4_500);
/// The longest lease (`max_hold_ms` of the settings).
const MAX_HOLD_MS: u64 = 10_000;
/// How long a stop takes, less than `stop_timeout_ms`.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Start-up time of a task that lasts.
const WARM_UP: Duration = Duration::from_millis(400);
/// Ends that an answer lists at most.
const MAX_LISTED_ENDS: usize = 500;

/// How a run ends by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// It is done after this time.
    Done(Duration),
    /// It fails by its own fault after this time.
    Fails(Duration),
    /// It lasts until it is stopped.
    Lasts,
}

#[derive(Debug)]
struct Run {
    task: String,
    run: u64,
    started: Instant,
    work: Work,
    stops_at: Option<Instant>,
}

#[derive(Debug)]
struct Life {
    id: String,
    born_unix_ms: u64,
    started: Instant,
    /// What the runner's clock showed at the start of the script, for a runner that is older.
    clock_offset_ms: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    last_seen: u64,
    /// The highest run of each task that was stopped or has ended here.
    floors: BTreeMap<String, u64>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.clock_offset_ms + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    fn end(&mut self, at: usize, how: &'static str) -> Run {
        let run = self.runs.swap_remove(at);
        self.last_end += 1;
        self.ends
            .push((self.last_end, run.task.clone(), run.run, how));
        let floor = self.floors.entry(run.task.clone()).or_insert(0);
        *floor = (*floor).max(run.run);
        run
    }
}

/// A fault that a runner shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFault {
    None,
    /// The next order to start is not answered, and carried out when [`Runner::carry_out_late`] is called.
    LeaveNextStart,
    /// The runner is lost for good: nothing runs there any more, and nothing is answered.
    Dark,
}

struct State {
    life: Option<Life>,
    pool: String,
    fault: OrderFault,
    late: Option<Json>,
    connections: Vec<TcpStream>,
    registered_at: Option<Instant>,
    draining: bool,
}

/// A machine with the runner on it. The address stays with the machine.
pub struct Runner {
    pub machine: String,
    pub zone: String,
    pub address: SocketAddr,
    labels: Vec<String>,
    cpu: u64,
    work: fn(&str) -> Work,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
}

/// What describes a runner at its start.
pub struct RunnerOptions<'a> {
    pub machine: &'a str,
    pub pool: &'a str,
    pub zone: &'a str,
    pub rack: &'a str,
    pub label: &'a str,
    pub cpu: u64,
    pub age_ms: u64,
    /// How a run ends, by the text of its job.
    pub work: fn(&str) -> Work,
}

impl Runner {
    pub fn start(
        options: &RunnerOptions,
        id: &str,
        ip: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a runner");
        let runner = Arc::new(Self {
            machine: options.machine.to_owned(),
            zone: options.zone.to_owned(),
            address: listener.local_addr().expect("the address of a runner"),
            labels: vec![options.label.to_owned(), options.rack.to_owned()],
            cpu: options.cpu,
            work: options.work,
            store: Arc::clone(store),
            record: Arc::clone(record),
            state: Mutex::new(State {
                life: None,
                pool: options.pool.to_owned(),
                fault: OrderFault::None,
                late: None,
                connections: Vec::new(),
                registered_at: None,
                draining: false,
            }),
            changed: Condvar::new(),
        });
        runner.begin(id, options.pool, options.age_ms);
        crate::http::serve(listener, Arc::new(Serving(Arc::clone(&runner))));
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        runner
    }

    /// Begins a life of the runner. It holds and knows nothing of an earlier one.
    pub fn begin(&self, id: &str, pool: &str, age_ms: u64) {
        let mut state = self.state.lock().unwrap();
        pool.clone_into(&mut state.pool);
        state.draining = false;
        state.life = Some(Life {
            id: id.to_owned(),
            born_unix_ms: unix_ms() - age_ms,
            started: Instant::now(),
            clock_offset_ms: age_ms,
            fence: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            last_seen: 0,
            floors: BTreeMap::new(),
        });
        state.registered_at = None;
        self.record
            .line(&format!("runner {id} on {} is up", self.machine));
    }

    /// Ends the life of the runner: everything on it ends, and its connections are reset. `leaves`
    /// removes its registration at once; otherwise it is removed after three heartbeats of silence.
    pub fn end(&self, leaves: bool) {
        let mut state = self.state.lock().unwrap();
        let Some(life) = state.life.take() else {
            return;
        };
        self.record
            .line(&format!("runner {} on {} is down", life.id, self.machine));
        for run in &life.runs {
            self.record
                .ended(&run.task, run.run, &life.id, "lost with its runner");
        }
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let seen = state.registered_at.take();
        drop(state);
        let (store, record) = (Arc::clone(&self.store), Arc::clone(&self.record));
        let (id, born) = (life.id.clone(), life.born_unix_ms);
        if leaves {
            store.put("keyed.servers", &id, b"");
            record.line(&format!("entry of runner {id} is removed: it has left"));
            return;
        }
        thread::spawn(move || {
            let silent = seen.map_or(Duration::ZERO, |at| at.elapsed());
            thread::sleep(SILENCE.saturating_sub(silent));
            // Unless another life has registered since.
            let entry = store.newest("keyed.servers", &id);
            let entry = entry.and_then(|bytes| Json::parse(&bytes));
            if entry.is_some_and(|entry| entry.get("born").number() == Some(born)) {
                store.put("keyed.servers", &id, b"");
                record.line(&format!(
                    "entry of runner {id} is removed: three heartbeats of silence"
                ));
            }
        });
    }

    pub fn set_fault(&self, fault: OrderFault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Loses the runner for good and without a sign: its connections stay open, and nothing comes on
    /// them. Its entry is removed after three heartbeats of silence.
    pub fn go_dark(&self) {
        let connections = {
            let mut state = self.state.lock().unwrap();
            state.fault = OrderFault::Dark;
            std::mem::take(&mut state.connections)
        };
        self.end(false);
        self.state.lock().unwrap().connections = connections;
    }

    /// Makes a run fail by its own fault.
    pub fn fail_run(&self, task: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(life) = state.life.as_mut()
            && let Some(at) = life.runs.iter().position(|run| run.task == task)
        {
            let run = life.end(at, "failed");
            self.record.ended(&run.task, run.run, &life.id, "failed");
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Carries out the order that was left unanswered.
    pub fn carry_out_late(&self) {
        let Some(order) = self.state.lock().unwrap().late.take() else {
            return;
        };
        let (status, answer) = self.start_run(&order);
        let task = order.get("task").text();
        self.record.line(&format!(
            "late order to start {task} carried out: {status} {}",
            answer.to_text()
        ));
    }

    /// Returns up to which end the runner was told that its ends are taken note of.
    pub fn last_seen(&self) -> u64 {
        self.state
            .lock()
            .unwrap()
            .life
            .as_ref()
            .map_or(0, |life| life.last_seen)
    }

    /// Returns whether the runner is up.
    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().life.is_some()
    }

    /// Returns the row of the machine in the list of machines.
    pub fn machine_row(&self, pool: &str, state: &str) -> Json {
        let id = match (&self.state.lock().unwrap().life, state) {
            (Some(life), "up") => text(&life.id),
            _ => Json::Null,
        };
        object([
            ("machine", text(&self.machine)),
            ("pool", text(pool)),
            ("state", text(state)),
            ("zone", text(&self.zone)),
            ("labels", self.labels()),
            ("capacity", self.capacity()),
            ("id", id),
        ])
    }

    fn labels(&self) -> Json {
        Json::List(self.labels.iter().map(|label| text(label)).collect())
    }

    fn capacity(&self) -> Json {
        object([
            ("cpu", number(self.cpu)),
            ("mem_mb", number(32_768)),
            ("gpu", number(0)),
        ])
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let Some(life) = state.life.as_mut() else {
            return;
        };
        if state
            .registered_at
            .is_none_or(|at| at.elapsed() >= HEARTBEAT)
        {
            state.registered_at = Some(Instant::now());
            let entry = object([
                ("service", text(&state.pool)),
                ("address", text(&self.address.to_string())),
                ("zone", text(&self.zone)),
                ("version", text("v1")),
                ("slots", number(8)),
                (
                    "state",
                    text(if state.draining { "draining" } else { "ready" }),
                ),
                ("cold_remaining_ms", number(0)),
                ("capacity", self.capacity()),
                ("labels", self.labels()),
                ("clock_ms", number(life.clock_ms())),
                ("born", number(life.born_unix_ms)),
                ("sequence", number(life.clock_ms())),
            ]);
            self.store
                .put("keyed.servers", &life.id, entry.to_text().as_bytes());
        }
        let mut ended = false;
        let lapsed = life.clock_ms() > life.lease_until_ms;
        if lapsed {
            for end in &life.ends {
                self.record.lapsed(&end.1, end.2, &life.id);
            }
        }
        let mut at = 0;
        while at < life.runs.len() {
            let run = &life.runs[at];
            let how = match run.work {
                _ if run.stops_at.is_some_and(|stops| stops <= Instant::now()) => "stopped",
                _ if lapsed => "lapsed",
                Work::Done(time) if run.started.elapsed() >= time => "done",
                Work::Fails(time) if run.started.elapsed() >= time => "failed",
                _ => {
                    at += 1;
                    continue;
                }
            };
            let run = life.end(at, how);
            ended = true;
            self.record.ended(&run.task, run.run, &life.id, how);
        }
        if ended {
            self.changed.notify_all();
        }
    }

    fn start_run(&self, order: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let Some(life) = state.life.as_mut() else {
            return (421, object([]));
        };
        let clock_ms = life.clock_ms();
        let refused = |reason: &str| {
            (
                409,
                object([("clock_ms", number(clock_ms)), ("reason", text(reason))]),
            )
        };
        let token = order.get("fencing_token").number().unwrap_or(0);
        let (task, run) = (
            order.get("task").text(),
            order.get("run").number().unwrap_or(0),
        );
        let deadline_ms = order.get("deadline_ms").number().unwrap_or(0);
        if token < life.fence {
            return refused("fence");
        }
        life.fence = token;
        if deadline_ms <= clock_ms {
            return refused("late");
        }
        life.lease_until_ms = life
            .lease_until_ms
            .max(deadline_ms.min(clock_ms + MAX_HOLD_MS));
        let answer = object([("clock_ms", number(clock_ms))]);
        if life
            .runs
            .iter()
            .any(|row| row.task == task && row.run == run)
        {
            return (200, answer);
        }
        if life.floors.get(task).is_some_and(|floor| run <= *floor) {
            return refused("old");
        }
        life.runs.push(Run {
            task: task.to_owned(),
            run,
            started: Instant::now(),
            work: (self.work)(order.get("spec").text()),
            stops_at: None,
        });
        self.record.started(task, run, &life.id, token);
        (200, answer)
    }

    fn stop_run(&self, order: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let Some(life) = state.life.as_mut() else {
            return (421, object([]));
        };
        let clock_ms = life.clock_ms();
        let token = order.get("fencing_token").number().unwrap_or(0);
        let (task, run) = (
            order.get("task").text(),
            order.get("run").number().unwrap_or(0),
        );
        if token < life.fence {
            return (
                409,
                object([("clock_ms", number(clock_ms)), ("reason", text("fence"))]),
            );
        }
        life.fence = token;
        let floor = life.floors.entry(task.to_owned()).or_insert(0);
        *floor = (*floor).max(run);
        if let Some(row) = life
            .runs
            .iter_mut()
            .find(|row| row.task == task && row.run == run)
        {
            row.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.record.line(&format!(
            "runner {} is told to stop {task} run {run}",
            life.id
        ));
        (200, object([("clock_ms", number(clock_ms))]))
    }

    fn hold(&self, order: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let token = order.get("fencing_token").number().unwrap_or(0);
        let wait = Duration::from_millis(order.get("wait_ms").number().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let Some(life) = state.life.as_mut() else {
            return (421, object([]));
        };
        let born = life.born_unix_ms;
        if token < life.fence {
            let clock_ms = number(life.clock_ms());
            return (
                409,
                object([("clock_ms", clock_ms), ("reason", text("fence"))]),
            );
        }
        life.fence = token;
        if let Some(deadline_ms) = order.get("deadline_ms").number() {
            let longest = life.clock_ms() + MAX_HOLD_MS;
            life.lease_until_ms = life.lease_until_ms.max(deadline_ms.min(longest));
        }
        let last_seen = order.get("last_seen").number().unwrap_or(0);
        life.last_seen = life.last_seen.max(last_seen);
        for end in life.ends.iter().filter(|end| end.0 <= last_seen) {
            self.record.noted(&end.1, end.2, &life.id);
        }
        life.ends.retain(|end| end.0 > last_seen);
        loop {
            let Some(life) = state.life.as_ref().filter(|life| life.born_unix_ms == born) else {
                return (421, object([]));
            };
            let left = until.saturating_duration_since(Instant::now());
            if life.ends.is_empty() && !left.is_zero() {
                state = self.changed.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let row = |run: &Run| {
                let percent = match run.work {
                    Work::Lasts if run.started.elapsed() >= WARM_UP => 100,
                    Work::Lasts => 10,
                    Work::Done(time) | Work::Fails(time) => {
                        let part =
                            run.started.elapsed().as_millis() * 100 / time.as_millis().max(1);
                        u64::try_from(part.min(99)).unwrap_or(99)
                    }
                };
                Json::List(vec![
                    text(&run.task),
                    number(run.run),
                    text(""),
                    number(percent),
                    number(0),
                ])
            };
            let end = |end: &(u64, String, u64, &str)| {
                Json::List(vec![
                    number(end.0),
                    text(&end.1),
                    number(end.2),
                    text(end.3),
                    text(""),
                ])
            };
            return (
                200,
                object([
                    ("clock_ms", number(life.clock_ms())),
                    ("born", number(life.born_unix_ms)),
                    ("running", Json::List(life.runs.iter().map(row).collect())),
                    (
                        "ended",
                        Json::List(life.ends.iter().take(MAX_LISTED_ENDS).map(end).collect()),
                    ),
                ]),
            );
        }
    }
}

/// The runner's listener.
struct Serving(Arc<Runner>);

impl Handler for Serving {
    fn accepts(&self) -> bool {
        let state = self.0.state.lock().unwrap();
        state.life.is_some() || state.fault == OrderFault::Dark
    }

    fn opened(&self, stream: &TcpStream) {
        if let Ok(stream) = stream.try_clone() {
            self.0.state.lock().unwrap().connections.push(stream);
        }
    }

    fn handle(&self, request: Request) -> Reply {
        let runner = &self.0;
        let order = Json::parse(&request.body).unwrap_or(Json::Null);
        {
            let mut state = runner.state.lock().unwrap();
            if state.fault == OrderFault::Dark {
                drop(state);
                runner.record.line(&format!(
                    "{} to {} which is dark: {}",
                    request.path,
                    runner.machine,
                    order.get("task").text()
                ));
                thread::sleep(Duration::from_secs(100));
                return Reply::Close;
            }
            let Some(id) = state.life.as_ref().map(|life| life.id.clone()) else {
                return Reply::Close;
            };
            if request
                .header("expected-instance")
                .is_some_and(|wanted| wanted != id)
            {
                return Reply::Answer(421, b"{}".to_vec());
            }
            if request.path == "/run-start" && state.fault == OrderFault::LeaveNextStart {
                state.fault = OrderFault::None;
                let line = format!(
                    "runner {id} leaves the order to start {} unanswered",
                    order.get("task").text()
                );
                runner.record.line(&line);
                state.late = Some(order);
                drop(state);
                // The caller gives up long before that.
                thread::sleep(Duration::from_secs(60));
                return Reply::Close;
            }
        }
        let (status, body) = match request.path.as_str() {
            "/run-start" => runner.start_run(&order),
            "/run-stop" => runner.stop_run(&order),
            "/hold" => runner.hold(&order),
            "/pace" => (200, object([])),
            _ => (404, object([])),
        };
        Reply::Answer(status, body.to_text().into_bytes())
    }
}
