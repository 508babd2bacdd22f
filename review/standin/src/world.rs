//! A small deployment: the store, machines with runners, the operator, and the real daemons as
//! processes, all on loopback addresses.

use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::cloud::Cloud;
use super::http::call;
use super::json::{Json, map};
use super::runner::{Bounds, Trace};
use super::store::Store;

const HOST: &str = "jobs.example";
const KEY: &str = "sjnbanfqasnmgkcuyj8p";
const PROGRAM: &str = "target/release/vanillafold-fleet";
/// How many runners the advice service allows, and how long its tickets are valid.
const ADVISED_RUNNERS: usize = 2;
const TICKET_VALID_MS: u64 = 20_000;
const OWNERS_GROUP: &str = "vanillafold-owners";

/// A daemon of the system, as a process of its own.
pub struct Daemon {
    ip: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Starts the process; returns `None` if that fails.
    pub fn start(&mut self) -> Option<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let mut command = Command::new(PROGRAM);
        command.env_clear();
        for name in ["PATH", "HOME"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("VANILLAFOLD_NODE_FILE", &self.settings);
        command.stdin(Stdio::null()).stderr(Stdio::null());
        command.stdout(log.ok()?);
        match command.spawn() {
            Ok(child) => {
                self.child = Some(child);
                Some(())
            }
            Err(error) => {
                eprintln!("{PROGRAM} can't be started: {error}");
                None
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM, then SIGKILL after `grace`, as the platform does to stop a process.
    pub fn stop(&mut self, grace: Duration) {
        if let Some(child) = &mut self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &id]).status();
            let until = Instant::now() + grace;
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(20));
            }
        }
        self.kill();
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = call(
            self.ready,
            "GET",
            "/readyz",
            &[("host", "ready")],
            b"",
            limit,
        );
        answer.is_ok_and(|answer| answer.0 == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct World {
    pub store: Arc<Store>,
    pub trace: Arc<Trace>,
    pub cloud: Arc<Cloud>,
    pub daemons: Vec<Daemon>,
    record: Mutex<fs::File>,
    directory: PathBuf,
}

impl World {
    /// Sets up the platform and starts the daemons, one for each of `zones`, with a configuration;
    /// returns once all daemons are ready, or `None` if they don't become so.
    pub fn start(
        record: &Path,
        zones: &[&str],
        runners: &[(&str, &str, u64, u64)],
        config: &[u8],
    ) -> Option<Self> {
        let bounds = Bounds {
            max_hold_ms: 10_000,
            stop_ms: 900,
        };
        let trace = Trace::new();
        let store = Store::new(zones.len());
        store.put("keyed.op", "config", config);
        let cloud = Cloud::new(runners, bounds, &store, &trace);
        let address = cloud.listen();
        let beating = Arc::clone(&cloud);
        let beats = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                for runner in beating.runners() {
                    if !runner.is_down() {
                        beats.put("keyed.servers", &runner.id, &runner.entry());
                    }
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        let directory =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unique()));
        fs::create_dir_all(&directory).ok()?;
        let mut world = Self {
            store,
            trace,
            cloud,
            daemons: Vec::new(),
            record: Mutex::new(fs::File::create(record).ok()?),
            directory,
        };
        let advice = world.cloud.listen_advice(ADVISED_RUNNERS, TICKET_VALID_MS);
        for (index, zone) in zones.iter().enumerate() {
            world.add_daemon(index, zone, address, advice)?;
        }
        world.wait_ready(Duration::from_secs(20))?;
        Some(world)
    }

    fn add_daemon(
        &mut self,
        index: usize,
        zone: &str,
        cloud: SocketAddr,
        advice: SocketAddr,
    ) -> Option<()> {
        let pid = std::process::id();
        let ip = format!(
            "127.{}.{}.{}",
            16 + pid / 251 % 200,
            1 + pid % 251,
            11 + index
        );
        let front = free_port(&ip)?;
        let ready = free_port(&ip)?;
        let peers = free_port(&ip)?.port();
        let store = self.store.listen(index);
        let mut text = String::new();
        let _ = write!(
            text,
            "node = \"edge-{zone}-{index}\"\nrole = \"fleet\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"home\"\n\
             port_range = [{peers},{peers}]\nseeds = []\nbootstrap = true\ncounts_as_loss = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\norders = \"call\"\n\
             advice = \"{advice}\"\n\n[zones]\nza = \"home\"\nzb = \"home\"\nzc = \"home\"\n\n[listen]\n\
             front = \"{front}\"\nready = \"{ready}\"\n\n[limits]\ncpu_share = 0.25\ncores = 1\n\
             memory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\n[bounds]\n\
             contact_ms = 3000\nack_timeout_ms = 4000\ngrace_s = 6\nconfig_apply_ms = 2000\n\
             max_hold_ms = 10000\nstop_timeout_ms = 900\ngang_timeout_ms = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nfinish_s = 14\nstatus_s = 120\nmove_s = 1.5\nmaintenance_s = 2\n\
             fencing_required = false\nlease_ms = 3000\npace_ms = 100\n\n[platform]\n\
             address = \"{store}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\n\
             parts = 16\nappend_ms = 3.0\nrecord_bytes = 262144\ncall_bytes = 2097152\n\
             keep_s = 300\npart_mb = 200\nmin_ttl_ms = 1000\n\n[cloud]\naddress = \"{cloud}\"\n\
             rate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n"
        );
        let settings = self.directory.join(format!("settings-{index}.toml"));
        fs::write(&settings, text).ok()?;
        let mut daemon = Daemon {
            ip: ip.clone(),
            front,
            ready,
            settings,
            log: self.directory.join(format!("daemon-{index}.log")),
            child: None,
        };
        daemon.start()?;
        self.daemons.push(daemon);
        Some(())
    }

    /// Writes a line to the record, with the time since the start.
    pub fn note(&self, line: &str) {
        self.note_at(self.trace.now_ms(), line);
    }

    pub fn note_at(&self, at_ms: u64, line: &str) {
        let at = at_ms as f64 / 1_000.0;
        let _ = writeln!(self.record.lock().unwrap(), "{at:9.3} s  {line}");
    }

    fn wait_ready(&self, limit: Duration) -> Option<()> {
        let began = Instant::now();
        while !self.daemons.iter().all(Daemon::is_ready) {
            if began.elapsed() > limit {
                self.note("the daemons did not become ready");
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.note("all daemons are ready");
        Some(())
    }

    /// Returns which daemon the store names as the owner of the shard.
    pub fn owner(&self) -> Option<usize> {
        let member = self.store.owner(OWNERS_GROUP, 0)?;
        let found = self
            .daemons
            .iter()
            .position(|daemon| member.starts_with(&format!("{}:", daemon.ip)));
        found
    }

    /// Sends a client's call to a daemon; returns status (0 without an answer) and body.
    pub fn client(&self, daemon: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let answer = client(self.daemons[daemon].front, method, path, body);
        self.note(&format!(
            "client: {method} {path} -> {} {}",
            answer.0, answer.1
        ));
        answer
    }

    /// Copies the daemons' logs beside the record, for whoever looks into a failure.
    pub fn keep_logs(&self, folder: &Path) {
        let _ = fs::create_dir_all(folder);
        for (index, daemon) in self.daemons.iter().enumerate() {
            let _ = fs::copy(&daemon.log, folder.join(format!("daemon-{index}.log")));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn client(front: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let token = format!("Token {KEY}");
    let headers = [
        ("host", HOST),
        ("content-type", "application/json"),
        ("authorization", token.as_str()),
        ("deadline-ms", "3000"),
    ];
    let limit = Duration::from_secs(4);
    match call(front, method, path, &headers, body.as_bytes(), limit) {
        Ok((status, body)) => (status, String::from_utf8_lossy(&body).into_owned()),
        Err(error) => (0, error),
    }
}

/// Returns an address whose port is free now.
fn free_port(ip: &str) -> Option<SocketAddr> {
    let listener = TcpListener::bind((ip, 0)).ok()?;
    listener.local_addr().ok()
}

fn unique() -> u64 {
    super::runner::unix_ms() % 1_000_000
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub max_attempts: u64,
    pub advised: bool,
}

/// Returns a configuration as the operator writes it.
pub fn config(version: u64, routes: &[Route], services: &[&str]) -> Vec<u8> {
    let routes = routes.iter().map(|route| {
        map([
            ("name", route.name.into()),
            ("host", HOST.into()),
            ("path_prefix", route.prefix.into()),
            ("kind", "non_idempotent".into()),
            ("timeout_ms", Json::Int(3_000)),
            ("target_latency_ms", Json::Int(600)),
            ("priority", Json::Int(0)),
            ("service", route.service.into()),
            ("max_attempts", route.max_attempts.into()),
            ("stretch", Json::Float(20.5)),
            ("public", Json::Bool(false)),
            (
                "advice",
                match route.advised {
                    true => map([
                        ("decide_ms", Json::Int(20)),
                        ("each_ms", Json::Int(2)),
                        ("valid_ms", TICKET_VALID_MS.into()),
                    ]),
                    false => Json::Null,
                },
            ),
        ])
    });
    let services = services.iter().map(|name| {
        map([
            ("name", (*name).into()),
            ("health_path", "/healthz".into()),
            ("max_connections", Json::Int(64)),
            ("protocol", "h1".into()),
            ("tls", Json::Bool(false)),
            ("admission_check", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ])
    });
    let none = map([
        ("cpu", Json::Int(0)),
        ("mem_mb", Json::Int(0)),
        ("gpu", Json::Int(0)),
    ]);
    let tenant = map([
        ("name", "shop".into()),
        ("api_keys", Json::List(vec![KEY.into()])),
        ("weight", Json::Int(10)),
        ("max_count", none),
    ]);
    let limits = map([
        ("max_header_bytes", Json::Int(16_384)),
        ("max_body_bytes", Json::Int(262_144)),
    ]);
    map([
        ("version", version.into()),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(services.collect())),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ])
    .to_string()
    .into_bytes()
}
