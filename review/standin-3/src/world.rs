//! A small deployment: daemons as processes, and stand-ins of all that they speak to.

use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cloud::{Cloud, CloudService};
use crate::http::{call, serve};
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Runner, RunnerOptions};
use crate::store::{Door, Store};

/// The program that the deploy file runs.
const PROGRAM: &str = "target/release/vanillafold-fleet";
const FRONT_PORT: u16 = 8_340;
const READY_PORT: u16 = 8_343;
const METRICS_PORT: u16 = 9_464;
const PEER_PORT: u16 = 7_000;
/// How long a daemon may take to exit (`grace_s` of the settings).
const GRACE: Duration = Duration::from_secs(6);
/// Host name of the routes.
pub const HOST: &str = "press.example";
/// The pool of the runners.
pub const POOL: &str = "press";
/// The group whose members own the shard.
const OWNERS_GROUP: &str = "vanillafold-owners";
const ZONES: [&str; 3] = ["za", "zb", "zc"];
/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Processes to end, whatever happens.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all daemons and the script.
pub fn finish(code: i32) -> ! {
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(code)
}

pub struct World {
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub record: Arc<Record>,
    pub runners: Vec<Arc<Runner>>,
    ips: Vec<String>,
    directory: PathBuf,
    cloud_address: SocketAddr,
    /// The store's address for each daemon, and whether it is silent for that daemon.
    doors: Vec<(SocketAddr, Arc<AtomicBool>)>,
}

/// Returns a loopback address on which all ports of a daemon are free.
fn free_ip(taken: &[String]) -> String {
    let seed = std::process::id();
    for attempt in 0..20_000_u32 {
        let n = seed.wrapping_mul(31).wrapping_add(attempt.wrapping_mul(7));
        let ip = format!(
            "127.{}.{}.{}",
            20 + n % 200,
            n / 200 % 250,
            2 + attempt % 240
        );
        let is_free = |port: &u16| TcpListener::bind((ip.as_str(), *port)).is_ok();
        if !taken.contains(&ip)
            && [FRONT_PORT, READY_PORT, METRICS_PORT, PEER_PORT]
                .iter()
                .all(is_free)
        {
            return ip;
        }
    }
    panic!("no free loopback address");
}

impl World {
    /// Starts the stand-ins and three daemons, and waits until all daemons are ready.
    pub fn start(record: &Arc<Record>, config: &str, machines: &[RunnerOptions]) -> Self {
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", config.as_bytes());
        let cloud = Cloud::new(record);
        let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = |listener: &TcpListener| listener.local_addr().expect("an address");
        let cloud_listener = listen();
        let cloud_address = address(&cloud_listener);
        let mut doors = Vec::new();
        for _ in ZONES {
            let listener = listen();
            let is_silent = Arc::new(AtomicBool::new(false));
            doors.push((address(&listener), Arc::clone(&is_silent)));
            let door = Door {
                store: Arc::clone(&store),
                is_silent,
            };
            serve(listener, Arc::new(door));
        }
        serve(cloud_listener, Arc::new(CloudService(Arc::clone(&cloud))));
        let mut runners = Vec::new();
        for options in machines {
            let id = format!("i-{}-1", options.machine);
            let runner = Runner::start(options, &id, "127.0.0.1", &store, record);
            cloud.add(&runner, options.pool);
            runners.push(runner);
        }
        let directory =
            std::env::temp_dir().join(format!("vanillafold-review-3-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let mut ips = Vec::new();
        for _ in ZONES {
            let ip = free_ip(&ips);
            ips.push(ip);
        }
        let world = Self {
            store,
            cloud,
            record: Arc::clone(record),
            runners,
            ips,
            directory,
            cloud_address,
            doors,
        };
        for at in 0..ZONES.len() {
            world.start_daemon(at);
        }
        world.wait("all daemons are ready", Duration::from_secs(25), |world| {
            world.ips.iter().all(|ip| world.is_ready(ip))
        });
        world
    }

    fn is_ready(&self, ip: &str) -> bool {
        let address = SocketAddr::new(ip.parse::<IpAddr>().expect("an address"), READY_PORT);
        let asked = call(
            address,
            "GET",
            "/readyz",
            &[],
            b"",
            Duration::from_millis(500),
        );
        asked.is_some_and(|answer| answer.0 == 200)
    }

    fn start_daemon(&self, at: usize) {
        let ip = &self.ips[at];
        let zone = ZONES[at];
        let (store, cloud) = (self.doors[at].0, self.cloud_address);
        let settings = format!(
            r#"node = "edge-{zone}-1"
role = "fleet"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [{PEER_PORT}, 7015]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "call"
advice = ""
[zones]
za = "r"
zb = "r"
zc = "r"
[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
max_hold_ms = 10000
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_s = 0.5
restore_ms = 250
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
fencing_required = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 16
append_ms = 3.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
min_ttl_ms = 1000
[cloud]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"#
        );
        let path = self.directory.join(format!("{zone}.toml"));
        fs::write(&path, settings).expect("a settings file");
        let log = fs::File::create(self.directory.join(format!("{zone}.log"))).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("VANILLAFOLD_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon's program");
        self.record
            .line(&format!("daemon edge-{zone}-1 is started"));
        CHILDREN.lock().unwrap().push(child);
    }

    /// Stops a daemon with SIGTERM, and starts it again once it has exited.
    pub fn restart_daemon(&mut self, at: usize) {
        let mut child = CHILDREN.lock().unwrap().remove(at);
        let sent = Command::new("/bin/kill")
            .args(["-TERM", &child.id().to_string()])
            .status();
        let until = Instant::now() + GRACE;
        while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let ended = child.wait();
        self.record.line(&format!(
            "daemon edge-{}-1 got SIGTERM ({}) and has ended: {}",
            ZONES[at],
            sent.is_ok(),
            ended.map_or(String::new(), |status| status.to_string())
        ));
        self.start_daemon(at);
        let mut children = CHILDREN.lock().unwrap();
        if let Some(child) = children.pop() {
            children.insert(at, child);
        }
        drop(children);
        self.wait("it is ready", Duration::from_secs(25), |world| {
            world.is_ready(&world.ips[at])
        });
    }

    /// Waits for a condition; the script ends with 2 if it isn't met in time.
    pub fn wait(&self, what: &str, limit: Duration, met: impl Fn(&Self) -> bool) {
        let until = Instant::now() + limit;
        while !met(self) {
            if Instant::now() >= until {
                self.record.line(&format!("not met in {limit:?}: {what}"));
                self.keep_logs();
                finish(2);
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.line(&format!("met: {what}"));
    }

    /// Returns the number of the daemon that owns the shard, by the group in the store.
    pub fn owner(&self) -> Option<usize> {
        let member = self.store.owner(OWNERS_GROUP)?;
        self.ips
            .iter()
            .position(|ip| member.starts_with(&format!("{ip}:")))
    }

    /// Lets the store be silent for one daemon, or answer it again.
    pub fn set_store_silent(&self, at: usize, silent: bool) {
        self.record.line(&format!(
            "the store is silent for edge-{}-1: {silent}",
            ZONES[at]
        ));
        self.doors[at].1.store(silent, Ordering::Relaxed);
    }

    /// Sends a client's request to a daemon, and returns status and body; `None` without an answer.
    pub fn request(
        &self,
        at: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let ip: IpAddr = self.ips[at % self.ips.len()].parse().expect("an address");
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "3000"),
        ];
        let address = SocketAddr::new(ip, FRONT_PORT);
        let asked = call(
            address,
            method,
            path,
            &headers,
            body.as_bytes(),
            CLIENT_TIMEOUT,
        );
        let answer =
            asked.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        let shown = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        self.record
            .line(&format!("client: {method} {path} -> {shown}"));
        answer
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, id: &str, body: &str) {
        self.submit_to("/press/", id, body);
    }

    /// Submits a job to the queue with this prefix until it is accepted.
    pub fn submit_to(&self, prefix: &str, id: &str, body: &str) {
        for at in 0..10 {
            let answer = self.request(at, "POST", &format!("{prefix}{id}"), body);
            if answer.is_some_and(|answer| answer.0 / 100 == 2) {
                return;
            }
            thread::sleep(Duration::from_millis(500));
        }
        self.record.line(&format!("job {id} was never accepted"));
        self.keep_logs();
        finish(2);
    }

    /// Returns the state of a job as a client sees it.
    pub fn state(&self, id: &str) -> String {
        self.state_of("/press/", id)
    }

    /// Returns the state of a job of the queue with this prefix as a client sees it.
    pub fn state_of(&self, prefix: &str, id: &str) -> String {
        let answer = self.request(0, "GET", &format!("{prefix}{id}"), "");
        let body = answer
            .filter(|answer| answer.0 == 200)
            .map(|answer| answer.1);
        let body = body.and_then(|body| Json::parse(body.as_bytes()));
        body.map_or(String::new(), |body| body.get("state").text().to_owned())
    }

    /// Leaves the daemons' logs in the temporary folder, and names it.
    pub fn keep_logs(&self) {
        eprintln!("logs of the daemons: {}", self.directory.display());
    }

    /// Removes the temporary folder.
    pub fn clean(&self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            return self.keep_logs();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}
