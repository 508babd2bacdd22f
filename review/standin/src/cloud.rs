//! Stand-in for the platform's API for machines, as the users' PROTOCOL.md describes it
//! (`fencing_required` is false), and the list of the orders that it got.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::http::{Reply, Request, reply, serve};
use super::json::{Json, map};
use super::runner::{Bounds, Runner, Trace};
use super::store::Store;

const MAINTENANCE: Duration = Duration::from_millis(2_000);

struct Machine {
    name: String,
    service: String,
    zone: String,
    size: (u64, u64),
    runner: Option<Arc<Runner>>,
    /// Wave of the upkeep that is under way.
    upkeep: Option<u64>,
    /// Waves whose upkeep the machine has had.
    done: Vec<u64>,
}

/// A wave of upkeep that the operator has asked for.
pub struct Wave {
    pub number: u64,
    pub machines: Vec<String>,
    pub max_count: usize,
}

/// An order for a machine, and how many machines of its wave were down when it came.
#[derive(Debug, Clone)]
pub struct MachineOrder {
    pub at_ms: u64,
    pub machine: String,
    pub wave: u64,
    pub holder: String,
    pub token: u64,
    /// Whether the order took the machine down.
    pub begins: bool,
    pub down_before: usize,
    /// Tasks of the watched job that the order ended while they were at work.
    pub ended: Vec<String>,
    /// Tasks of the watched job that an earlier order has ended and that are not at work again.
    pub away: Vec<String>,
}

struct State {
    /// A job whose tasks last, and those of its tasks that an order has ended.
    watched: String,
    away: Vec<String>,
    machines: Vec<Machine>,
    waves: Vec<Wave>,
    orders: Vec<MachineOrder>,
    next_index: usize,
}

pub struct Cloud {
    /// Calls for advice so far.
    pub advice_calls: AtomicU64,
    state: Mutex<State>,
    bounds: Bounds,
    store: Arc<Store>,
    trace: Arc<Trace>,
}

impl Cloud {
    /// Sets up a machine with a runner for each row of service, zone, `cpu` and `mem_mb`.
    pub fn new(
        rows: &[(&str, &str, u64, u64)],
        bounds: Bounds,
        store: &Arc<Store>,
        trace: &Arc<Trace>,
    ) -> Arc<Self> {
        let machine = |(index, row): (usize, &(&str, &str, u64, u64))| {
            let name = format!("m-{index:05}");
            let size = (row.2, row.3);
            let runner = Runner::start(index, row.0, row.1, size, bounds, trace);
            Machine {
                name,
                service: row.0.to_owned(),
                zone: row.1.to_owned(),
                size,
                runner: Some(runner),
                upkeep: None,
                done: Vec::new(),
            }
        };
        Arc::new(Self {
            advice_calls: AtomicU64::new(0),
            state: Mutex::new(State {
                watched: "none".to_owned(),
                away: Vec::new(),
                machines: rows.iter().enumerate().map(machine).collect(),
                waves: Vec::new(),
                orders: Vec::new(),
                next_index: rows.len(),
            }),
            bounds,
            store: Arc::clone(store),
            trace: Arc::clone(trace),
        })
    }

    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let cloud = Arc::clone(self);
        serve(Arc::new(move |request: &Request| {
            // The usual latency of the API.
            thread::sleep(Duration::from_millis(4));
            match request.path.as_str() {
                "/machines" => cloud.list(),
                "/machine-upkeep" => cloud.upkeep(request),
                _ => reply(409, &map([("reason", "busy".into())])),
            }
        }))
    }

    /// Serves the advice service, whose policy allows the runners with an index below `allowed`.
    pub fn listen_advice(self: &Arc<Self>, allowed: usize, valid_ms: u64) -> SocketAddr {
        let cloud = Arc::clone(self);
        serve(Arc::new(move |request: &Request| {
            let body = request.json();
            let step = body.get("step").text();
            cloud.advice_calls.fetch_add(1, Ordering::Relaxed);
            let asked = body.get("workers").list();
            thread::sleep(Duration::from_millis(20 + 2 * asked.len() as u64));
            let expires = cloud.trace.now_ms() + valid_ms;
            let mut good = Vec::new();
            for runner in cloud.runners() {
                let is_asked = asked.iter().any(|id| id.text() == runner.id);
                if is_asked && runner.index < allowed {
                    let ticket = format!("{step}|{}|{}|{expires}", runner.id, runner.born());
                    let row = vec![runner.id.as_str().into(), ticket.as_str().into()];
                    good.push(Json::List(row));
                }
            }
            reply(
                200,
                &map([("good", Json::List(good)), ("valid_ms", valid_ms.into())]),
            )
        }))
    }

    pub fn runners(&self) -> Vec<Arc<Runner>> {
        let state = self.state.lock().unwrap();
        let runners = state.machines.iter().filter_map(|row| row.runner.clone());
        runners.collect()
    }

    pub fn orders(&self) -> Vec<MachineOrder> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Asks for a wave of upkeep as the operator does.
    pub fn ask(&self, wave: Wave, duration_s: u64) {
        let machines = wave.machines.iter().map(|name| name.as_str().into());
        let value = map([
            ("wave", wave.number.into()),
            ("machines", Json::List(machines.collect())),
            ("duration_s", duration_s.into()),
            ("max_count", (wave.max_count as u64).into()),
        ]);
        let key = format!("wave/{}", wave.number);
        self.state.lock().unwrap().waves.push(wave);
        self.store
            .put("keyed.op", &key, value.to_string().as_bytes());
    }

    /// Names the job whose tasks last.
    pub fn watch(&self, job: &str) {
        self.state.lock().unwrap().watched = job.to_owned();
    }

    fn list(&self) -> Reply {
        let state = self.state.lock().unwrap();
        let row = |machine: &Machine| {
            let word = match machine.upkeep {
                Some(_) => "upkeep",
                None => "up",
            };
            let id = match &machine.runner {
                Some(runner) => runner.id.as_str().into(),
                None => Json::Null,
            };
            map([
                ("machine", machine.name.as_str().into()),
                ("pool", machine.service.as_str().into()),
                ("state", word.into()),
                ("zone", machine.zone.as_str().into()),
                ("labels", Json::List(vec!["a".into(), "r1-1".into()])),
                (
                    "capacity",
                    map([
                        ("cpu", machine.size.0.into()),
                        ("mem_mb", machine.size.1.into()),
                        ("gpu", Json::Int(0)),
                    ]),
                ),
                ("id", id),
            ])
        };
        let rows = state.machines.iter().map(row).collect();
        reply(
            200,
            &map([("machines", Json::List(rows)), ("next_token", Json::Null)]),
        )
    }

    fn upkeep(self: &Arc<Self>, request: &Request) -> Reply {
        let body = request.json();
        let name = body.get("machine").text().to_owned();
        let number = body.get("wave").u64().unwrap_or(0);
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let Some(at) = state.machines.iter().position(|row| row.name == name) else {
            return Reply::Answer(400, Vec::new());
        };
        let is_down = |row: &&Machine| row.upkeep == Some(number);
        let down_before = state.machines.iter().filter(is_down).count();
        let machine = &mut state.machines[at];
        let done = machine.done.contains(&number) || machine.upkeep == Some(number);
        let wave = state.waves.iter().find(|wave| wave.number == number);
        let is_of_wave = wave.is_some_and(|wave| wave.machines.contains(&name));
        let begins = !done && is_of_wave && machine.upkeep.is_none();
        let mut ended = Vec::new();
        if begins {
            let runner = machine.runner.as_ref();
            ended = runner.map_or(Vec::new(), |runner| runner.at_work(&state.watched));
        }
        let runners = state.machines.iter().filter_map(|row| row.runner.as_ref());
        let at_work: Vec<String> = runners
            .flat_map(|row| row.at_work(&state.watched))
            .collect();
        state.away.retain(|task| !at_work.contains(task));
        let away = state.away.clone();
        state.away.extend(ended.iter().cloned());
        let machine = &mut state.machines[at];
        state.orders.push(MachineOrder {
            at_ms: self.trace.now_ms(),
            machine: name.clone(),
            wave: number,
            holder: request.header("lease-holder").to_owned(),
            token: request.header("fencing-token").parse().unwrap_or(0),
            begins,
            down_before,
            ended,
            away,
        });
        match () {
            () if done => return reply(200, &map([])),
            () if !is_of_wave => return reply(409, &map([("reason", "wave".into())])),
            () if !begins => return reply(409, &map([("reason", "busy".into())])),
            () => {}
        }
        machine.upkeep = Some(number);
        if let Some(runner) = machine.runner.take() {
            runner.end();
            self.store.put("keyed.servers", &runner.id, b"");
        }
        let index = state.next_index;
        state.next_index += 1;
        let cloud = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(MAINTENANCE);
            cloud.finish_upkeep(at, index, number);
        });
        reply(200, &map([]))
    }

    fn finish_upkeep(&self, at: usize, index: usize, number: u64) {
        let mut state = self.state.lock().unwrap();
        let machine = &mut state.machines[at];
        machine.upkeep = None;
        machine.done.push(number);
        let runner = Runner::start(
            index,
            &machine.service,
            &machine.zone,
            machine.size,
            self.bounds,
            &self.trace,
        );
        self.store.put("keyed.servers", &runner.id, &runner.entry());
        machine.runner = Some(runner);
    }
}

/// AVAIL: an upkeep ends a task of a step with `may_miss` that is at work, while so many others of its
/// step are away, each ended by such an order and not at work again.
pub fn check_availability(cloud: &Cloud, may_miss: usize) -> Vec<String> {
    let mut found = Vec::new();
    for order in cloud.orders() {
        if !order.ended.is_empty() && order.ended.len() + order.away.len() > may_miss {
            found.push(format!(
                "AVAIL at {} ms: {} (token {}) orders the upkeep of {}, which ends {}, while {} of its step are away, may_miss {may_miss}",
                order.at_ms,
                order.holder,
                order.token,
                order.machine,
                order.ended.join(" "),
                order.away.len()
            ));
        }
    }
    found
}

/// LIMIT: an upkeep begins while `max_count` machines of its wave are down for theirs; and ONE: a lower
/// fencing token after a higher one for a machine.
pub fn check_orders(cloud: &Cloud) -> Vec<String> {
    let state = cloud.state.lock().unwrap();
    let mut found = Vec::new();
    for (at, order) in state.orders.iter().enumerate() {
        let wave = state.waves.iter().find(|wave| wave.number == order.wave);
        let max_count = wave.map_or(0, |wave| wave.max_count);
        let earlier = state.orders[..at].iter();
        let higher = earlier
            .filter(|row| row.machine == order.machine && row.token > order.token)
            .next_back();
        if let Some(higher) = higher {
            found.push(format!(
                "ONE at {} ms: {} orders the upkeep of {} with token {} after {} did with token {}",
                order.at_ms, order.holder, order.machine, order.token, higher.holder, higher.token
            ));
        }
        if order.begins && order.down_before >= max_count {
            found.push(format!(
                "LIMIT at {} ms: {} (token {}) begins the upkeep of {} while {} machines of wave {} are down, max_count {max_count}",
                order.at_ms, order.holder, order.token, order.machine, order.down_before, order.wave
            ));
        }
    }
    found
}
