//! A runner: starts, stops and lists runs under a lease.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Action, Answer, Request, Service};
use crate::json::{self, Value, quote};
use crate::record::{EndKind, Record, unix_ms};
use crate::store::Store;
use crate::world::{Link, Links};

const MAX_HOLD_MS: u64 = 10_000;
const STOP_TIME: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const LISTED_ENDS: usize = 500;
/// How long a runner is away after a task has crashed it.
const BACK_AFTER: Duration = Duration::from_secs(3);

struct Run {
    task: String,
    run: u64,
    ends_at: Instant,
    end: EndKind,
}

struct Life {
    started: Instant,
    born: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, EndKind)>,
    last_end: u64,
    floors: BTreeMap<String, u64>,
}

impl Life {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            born: unix_ms(),
            fence: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            floors: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

pub struct Runner {
    this: Weak<Self>,
    pub index: usize,
    pub id: String,
    pub zone: usize,
    pub rack: usize,
    pub pool: &'static str,
    pub cpu: u64,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Longest delay of an answer to an order, in milliseconds.
    pub answer_delay_ms: AtomicU64,
    random: AtomicU64,
    /// How often the runner has changed its address.
    pub address: AtomicU64,
    /// Since when the runner has been silent.
    silent_since: Mutex<Option<Instant>>,
    listed: AtomicBool,
}

impl Runner {
    pub fn start(
        index: usize,
        (zone, rack): (usize, usize),
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let runner = Arc::new_cyclic(|this| Self {
            this: this.clone(),
            index,
            id: format!("i-{index:010x}"),
            zone,
            rack,
            pool: "workers",
            cpu,
            life: Mutex::new(Some(Life::new())),
            changed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            answer_delay_ms: AtomicU64::new(0),
            random: AtomicU64::new(index as u64 * 7_919 + 1),
            address: AtomicU64::new(0),
            silent_since: Mutex::new(None),
            listed: AtomicBool::new(false),
        });
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                ticking.end_due_runs();
                thread::sleep(Duration::from_millis(4));
            }
        });
        let registering = Arc::clone(&runner);
        thread::spawn(move || {
            let mut sequence = 0;
            loop {
                sequence += 1;
                registering.register(sequence);
                thread::sleep(HEARTBEAT / 3);
            }
        });
        runner
    }

    pub fn machine(&self) -> String {
        format!("m-{:05}", self.index)
    }

    pub fn labels(&self) -> String {
        format!("[\"a\",\"zone-{}\",\"r{}\"]", self.zone, self.rack)
    }

    pub fn row(&self) -> String {
        let state = if self.life.lock().unwrap().is_some() {
            "up"
        } else {
            "down"
        };
        format!(
            "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{state}\",\"zone\":\"z{}\",\"labels\":{},\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":32768,\"gpu\":0}},\"id\":\"{}\"}}",
            self.machine(),
            self.pool,
            self.zone,
            self.labels(),
            self.cpu,
            self.id
        )
    }

    /// Writes the entry, or removes it after three heartbeat intervals of silence.
    fn register(&self, sequence: u64) {
        let born = self.life.lock().unwrap().as_ref().map(|life| life.born);
        let silent = *self.silent_since.lock().unwrap();
        match (born, silent) {
            (Some(born), None) => {
                let value = format!(
                    "{{\"service\":\"{}\",\"address\":\"@runner-{}@\",\"zone\":\"z{}\",\"version\":\"v1\",\
                     \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
                     \"born\":{born},\"capacity\":{{\"cpu\":{},\"mem_mb\":32768,\"gpu\":0}},\"labels\":{}}}",
                    self.pool,
                    self.index,
                    self.zone,
                    self.cpu,
                    self.labels()
                );
                self.listed.store(true, Ordering::SeqCst);
                self.store.put("keyed.servers", &self.id, &value);
            }
            (_, Some(since))
                if since.elapsed() >= HEARTBEAT * 3
                    && self.listed.swap(false, Ordering::SeqCst) =>
            {
                self.record
                    .note(&format!("store: entry of {} removed", self.id));
                self.store.put("keyed.servers", &self.id, "");
            }
            _ => {}
        }
    }

    /// Crashes: all that runs is gone, and nothing is answered.
    pub fn crash(&self) {
        *self.silent_since.lock().unwrap() = Some(Instant::now());
        if let Some(life) = self.life.lock().unwrap().take() {
            self.record.note(&format!(
                "runner {} crashes with {} runs",
                self.id,
                life.runs.len()
            ));
            for run in life.runs {
                self.record
                    .ended(&run.task, run.run, EndKind::Lost, &self.id);
            }
        }
        self.changed.notify_all();
    }

    /// Starts again under its id, knowing nothing of before.
    pub fn start_again(&self) {
        *self.life.lock().unwrap() = Some(Life::new());
        *self.silent_since.lock().unwrap() = None;
        self.record
            .note(&format!("runner {} starts again", self.id));
        self.register(0);
    }

    /// Crashes some time after a task that crashes its runners has started, and is back after some
    /// seconds.
    fn crash_after(&self, after_ms: u64) {
        let Some(this) = self.this.upgrade() else {
            return;
        };
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(after_ms));
            if this.is_up() {
                this.crash();
                thread::sleep(BACK_AFTER);
                this.start_again();
            }
        });
    }

    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().is_some()
    }

    fn end_due_runs(&self) {
        let mut life = self.life.lock().unwrap();
        let Some(life) = life.as_mut() else { return };
        let lapsed = life.clock_ms() > life.lease_until_ms;
        let now = Instant::now();
        for mut run in std::mem::take(&mut life.runs) {
            if run.ends_at > now {
                if !lapsed {
                    life.runs.push(run);
                    continue;
                }
                run.end = EndKind::Lapsed;
            }
            life.last_end += 1;
            let floor = life.floors.entry(run.task.clone()).or_default();
            *floor = run.run.max(*floor);
            self.record.ended(&run.task, run.run, run.end, &self.id);
            life.ended.push((life.last_end, run.task, run.run, run.end));
            self.changed.notify_all();
        }
    }

    fn carry_out(&self, path: &str, order: &Value) -> Option<Answer> {
        let mut life = self.life.lock().unwrap();
        let life = life.as_mut()?;
        let clock_ms = life.clock_ms();
        let rejected = |reason: &str| {
            Answer::new(
                409,
                format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
            )
        };
        let token = order.number("fencing_token").unwrap_or(0);
        if token < life.fence {
            return Some(rejected("fence"));
        }
        life.fence = token;
        let deadline_ms = order.number("deadline_ms");
        let mut extend = || {
            let until = deadline_ms.unwrap_or(0).min(clock_ms + MAX_HOLD_MS);
            life.lease_until_ms = life.lease_until_ms.max(until);
        };
        let task = order.text("task").unwrap_or("").to_owned();
        let run = order.number("run").unwrap_or(0);
        match path {
            "/hold" => {
                extend();
                let seen = order.number("last_seen").unwrap_or(0);
                for end in life.ended.iter().filter(|end| end.0 <= seen) {
                    self.record.noted(&end.1, end.2);
                }
                life.ended.retain(|end| end.0 > seen);
            }
            "/run-start" => {
                if deadline_ms.unwrap_or(0) <= clock_ms {
                    return Some(rejected("late"));
                }
                extend();
                let known = life
                    .runs
                    .iter()
                    .any(|row| row.task == task && row.run == run);
                if !known && life.floors.get(&task).is_some_and(|floor| run <= *floor) {
                    return Some(rejected("old"));
                }
                if !known {
                    let spec = order.text("spec").unwrap_or("");
                    let number = |name: &str| {
                        let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
                        word.and_then(|text| text.parse().ok())
                    };
                    let work: u64 = number("ms=").unwrap_or(300);
                    let end = match spec.contains("fails") {
                        true => EndKind::Failed,
                        false => EndKind::Done,
                    };
                    if let Some(after_ms) = number("crashes=") {
                        self.crash_after(after_ms);
                    }
                    self.record.started(&task, run, &self.id, token);
                    life.runs.push(Run {
                        task,
                        run,
                        ends_at: Instant::now() + Duration::from_millis(work),
                        end,
                    });
                }
            }
            "/run-stop" => {
                let floor = life.floors.entry(task.clone()).or_default();
                *floor = run.max(*floor);
                let found = life
                    .runs
                    .iter_mut()
                    .find(|row| row.task == task && row.run == run);
                if let Some(found) = found.filter(|found| found.end != EndKind::Stopped) {
                    found.end = EndKind::Stopped;
                    found.ends_at = Instant::now() + STOP_TIME;
                }
            }
            _ => {}
        }
        Some(Answer::new(200, format!("{{\"clock_ms\":{clock_ms}}}")))
    }

    fn list(&self, wait_ms: u64) -> Option<Answer> {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(2_000));
        let mut guard = self.life.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let has_ends = !guard.as_ref()?.ended.is_empty();
            if has_ends || left.is_zero() {
                break;
            }
            guard = self.changed.wait_timeout(guard, left).unwrap().0;
        }
        let life = guard.as_ref()?;
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|run| format!("[{},{},\"\",50,100]", quote(&run.task), run.run))
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(LISTED_ENDS)
            .map(|end| {
                format!(
                    "[{},{},{},\"{}\",\"\"]",
                    end.0,
                    quote(&end.1),
                    end.2,
                    end.3.word()
                )
            })
            .collect();
        Some(Answer::new(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                life.clock_ms(),
                life.born,
                running.join(","),
                ended.join(",")
            ),
        ))
    }

    fn delay(&self) -> Duration {
        let most = self.answer_delay_ms.load(Ordering::SeqCst);
        if most == 0 {
            return Duration::ZERO;
        }
        let next = |state: u64| {
            Some(
                state
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1),
            )
        };
        let state = self
            .random
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, next)
            .unwrap_or(0);
        Duration::from_millis((state >> 33) % (most + 1))
    }
}

/// A runner as one daemon reaches it.
pub struct RunnerService {
    pub runner: Arc<Runner>,
    /// Which of the runner's addresses this is.
    pub address: u64,
    pub links: Arc<Links>,
    pub daemon: usize,
}

impl Service for RunnerService {
    fn answer(&self, request: &Request) -> Action {
        let runner = &self.runner;
        if !runner.is_up() || runner.address.load(Ordering::SeqCst) != self.address {
            return Action::Silence;
        }
        if request.header("expected-instance") != Some(&runner.id) {
            return Action::Answer(Answer::new(421, "{}"));
        }
        let Some(order) = json::parse(&request.body) else {
            return Action::Answer(Answer::new(400, "{}"));
        };
        let carried_out = runner.carry_out(&request.path, &order);
        let answer = match (request.path.as_str(), carried_out) {
            ("/hold", Some(Answer { status: 200, .. })) => {
                runner.list(order.number("wait_ms").unwrap_or(0))
            }
            (_, answer) => answer,
        };
        match answer {
            Some(mut answer) => {
                if request.path != "/hold" {
                    answer.delay = runner.delay();
                }
                Action::Answer(answer)
            }
            None => Action::Silence,
        }
    }

    fn wait_for_link(&self) {
        self.links
            .wait(Link::to_zone(self.daemon, self.runner.zone));
    }
}
