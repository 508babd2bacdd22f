//! The platform's API for machines.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Handler, Reply, Request};
use crate::json::{Json, object, text};
use crate::record::Record;
use crate::runner::Runner;

/// How long upkeep takes (`maintenance_s` of the settings).
const UPKEEP: Duration = Duration::from_millis(2_000);
/// How long a move takes (`move_s` of the settings).
const MOVE: Duration = Duration::from_millis(1_500);

/// What is wrong with the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudFault {
    None,
    /// The next operation is carried out, and its answer is lost; from then on [`CloudFault::Busy`].
    LoseNextAnswer,
    /// Calls are refused with 503: nothing is done.
    Busy,
    /// Calls are carried out, and nothing is answered.
    Unanswered,
}

struct Machine {
    runner: Arc<Runner>,
    pool: String,
    state: &'static str,
    waves_done: BTreeSet<u64>,
    lives: u64,
}

struct State {
    machines: Vec<Machine>,
    fault: CloudFault,
    /// Runners start again under the ids that they had.
    keeps_ids: bool,
}

/// The machines.
pub struct Cloud {
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Cloud {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        let state = State {
            machines: Vec::new(),
            fault: CloudFault::None,
            keeps_ids: false,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            record: Arc::clone(record),
        })
    }

    pub fn add(&self, runner: &Arc<Runner>, pool: &str) {
        self.state.lock().unwrap().machines.push(Machine {
            runner: Arc::clone(runner),
            pool: pool.to_owned(),
            state: "up",
            waves_done: BTreeSet::new(),
            lives: 1,
        });
    }

    /// Makes runners start again under the ids that they had.
    pub fn keep_ids(&self) {
        self.state.lock().unwrap().keeps_ids = true;
    }

    pub fn set_fault(&self, fault: CloudFault) {
        self.record.line(&format!("API for machines: {fault:?}"));
        self.state.lock().unwrap().fault = fault;
    }

    pub fn fault(&self) -> CloudFault {
        self.state.lock().unwrap().fault
    }

    fn list(&self) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let row = |machine: &Machine| machine.runner.machine_row(&machine.pool, machine.state);
        let rows = state.machines.iter().map(row).collect();
        (
            200,
            object([("machines", Json::List(rows)), ("next_token", Json::Null)]),
        )
    }

    /// Takes a machine out of service; a new runner under a new id joins the pool afterwards.
    fn restart(self: &Arc<Self>, at: usize, state: &'static str, pool: String, time: Duration) {
        let runner = {
            let mut locked = self.state.lock().unwrap();
            let machine = &mut locked.machines[at];
            machine.state = state;
            machine.pool.clone_from(&pool);
            machine.lives += 1;
            Arc::clone(&machine.runner)
        };
        runner.end(true);
        let cloud = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            let mut locked = cloud.state.lock().unwrap();
            let keeps_ids = locked.keeps_ids;
            let machine = &mut locked.machines[at];
            machine.state = "up";
            let life = if keeps_ids { 1 } else { machine.lives };
            let id = format!("i-{}-{life}", machine.runner.machine);
            machine.runner.begin(&id, &pool, 0);
        });
    }

    fn operate(self: &Arc<Self>, request: &Request) -> (u16, Json) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = body.get("machine").text();
        let found = {
            let state = self.state.lock().unwrap();
            let position = state
                .machines
                .iter()
                .position(|row| row.runner.machine == name);
            position.map(|at| {
                let machine = &state.machines[at];
                (
                    at,
                    machine.state,
                    machine.pool.clone(),
                    machine.waves_done.clone(),
                )
            })
        };
        let Some((at, state, pool, waves_done)) = found else {
            return (400, object([]));
        };
        let busy = || (409, object([("reason", text("busy"))]));
        if request.path == "/machine-upkeep" {
            let wave = body.get("wave").number().unwrap_or(0);
            if waves_done.contains(&wave) {
                self.record
                    .line(&format!("upkeep of {name} in wave {wave}: done already"));
                return (200, object([]));
            }
            if state != "up" {
                return busy();
            }
            self.state.lock().unwrap().machines[at]
                .waves_done
                .insert(wave);
            self.record
                .line(&format!("upkeep of {name} in wave {wave} begins"));
            self.restart(at, "upkeep", pool, UPKEEP);
            return (200, object([]));
        }
        let to = body.get("pool").text().to_owned();
        if pool == to {
            return (200, object([]));
        }
        if state != "up" {
            return busy();
        }
        self.record.line(&format!("move of {name} to {to} begins"));
        self.restart(at, "moving", to, MOVE);
        (200, object([]))
    }
}

/// The API's listener.
pub struct CloudService(pub Arc<Cloud>);

impl Handler for CloudService {
    fn handle(&self, request: Request) -> Reply {
        let cloud = &self.0;
        let is_list = request.method == "GET";
        let fault = cloud.fault();
        let sent = || {
            format!(
                "{} {}",
                request.path,
                String::from_utf8_lossy(&request.body)
            )
        };
        if fault == CloudFault::Busy {
            if !is_list {
                cloud.record.line(&format!("{}: 503", sent()));
            }
            return Reply::Answer(503, b"{}".to_vec());
        }
        if fault == CloudFault::Unanswered {
            if !is_list {
                let (status, _) = cloud.operate(&request);
                cloud
                    .record
                    .line(&format!("{}: {status}, not answered", sent()));
            }
            thread::sleep(Duration::from_secs(2));
            return Reply::Close;
        }
        if is_list {
            let (status, body) = cloud.list();
            return Reply::Answer(status, body.to_text().into_bytes());
        }
        let (status, body) = cloud.operate(&request);
        let holder = request.header("lease-holder").unwrap_or("").to_owned();
        if fault == CloudFault::LoseNextAnswer {
            cloud.record.line(&format!(
                "{} by {holder}: carried out, its answer is lost",
                sent()
            ));
            cloud.set_fault(CloudFault::Busy);
            return Reply::Close;
        }
        cloud.record.line(&format!(
            "{} by {holder}: {status} {}",
            sent(),
            body.to_text()
        ));
        Reply::Answer(status, body.to_text().into_bytes())
    }
}
