//! A small deployment: stand-ins and daemons, and the links between them.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Action, Answer, Request, Service, call, serve};
use crate::record::{Record, unix_ms};
use crate::runner::{Runner, RunnerService};
use crate::store::{Store, StoreService};

pub const HOST: &str = "jobs.example";
pub const KEY: &str = "k5n2w8";
/// `Deadline-Ms` of the clients.
pub const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time from the readiness of the daemons to the first request.
const SETTLING: Duration = Duration::from_secs(2);
/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9_464;

/// The two ends of a link: a zone, or `None` for the platform.
#[derive(Debug, Clone, Copy)]
pub struct Link(Option<usize>, Option<usize>);

impl Link {
    /// Daemons and zones have the same numbers: each zone has one daemon.
    pub const fn to_platform(daemon: usize) -> Self {
        Self(Some(daemon), None)
    }

    pub const fn to_zone(daemon: usize, zone: usize) -> Self {
        Self(Some(daemon), Some(zone))
    }
}

/// Which links are cut, and where daemons find runners and each other.
#[derive(Default)]
pub struct Links {
    /// A zone that is cut off from the others and from the platform.
    cut: Mutex<Option<usize>>,
    changed: Condvar,
    /// Addresses of the runners, by daemon and runner.
    runners: Mutex<Vec<Vec<SocketAddr>>>,
    /// Addresses of the relays to the daemons.
    relays: Mutex<Vec<SocketAddr>>,
}

impl Links {
    pub fn set_cut(&self, zone: Option<usize>) {
        *self.cut.lock().unwrap() = zone;
        self.changed.notify_all();
    }

    /// Waits while a link is cut.
    pub fn wait(&self, link: Link) {
        let mut cut = self.cut.lock().unwrap();
        while cut.is_some() && (link.0 == *cut) != (link.1 == *cut) {
            cut = self.changed.wait(cut).unwrap();
        }
    }

    fn is_cut(&self, link: Link) -> bool {
        let cut = self.cut.lock().unwrap();
        cut.is_some() && (link.0 == *cut) != (link.1 == *cut)
    }

    /// Writes the address at which a daemon reaches a runner into the runner's entry.
    pub fn rewrite(&self, value: &[u8], daemon: usize) -> Vec<u8> {
        let Ok(text) = std::str::from_utf8(value) else {
            return value.to_vec();
        };
        let Some((before, rest)) = text.split_once("@runner-") else {
            return value.to_vec();
        };
        let Some((index, after)) = rest.split_once('@') else {
            return value.to_vec();
        };
        let runners = self.runners.lock().unwrap();
        let index: usize = index.parse().unwrap_or(0);
        match runners.get(daemon).and_then(|row| row.get(index)) {
            Some(address) => format!("{before}{address}{after}").into_bytes(),
            None => value.to_vec(),
        }
    }

    /// Replaces the address in another daemon's name in the group by that of the relay to it.
    pub fn rewrite_member(&self, member: &str, reader: usize) -> String {
        let mut parts = member.splitn(3, '/');
        let (_, name, rest) = (parts.next(), parts.next(), parts.next());
        let index: Option<usize> = name.and_then(|name| name.strip_prefix("edge-z")?.parse().ok());
        match (index, name, rest) {
            (Some(index), Some(name), Some(rest)) if index != reader => {
                format!("{}/{name}/{rest}", self.relays.lock().unwrap()[index])
            }
            _ => member.to_owned(),
        }
    }
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

struct Cloud {
    runners: Vec<Arc<Runner>>,
    links: Arc<Links>,
    daemon: usize,
}

impl Service for Cloud {
    fn answer(&self, request: &Request) -> Action {
        Action::Answer(match request.path.as_str() {
            "/machines" => {
                let rows: Vec<String> = self.runners.iter().map(|runner| runner.row()).collect();
                Answer::new(
                    200,
                    format!("{{\"machines\":[{}],\"next_token\":\"\"}}", rows.join(",")),
                )
            }
            _ => Answer::new(409, "{\"reason\":\"busy\"}"),
        })
    }

    fn wait_for_link(&self) {
        self.links.wait(Link::to_platform(self.daemon));
    }
}

struct Daemon {
    name: String,
    ip: String,
    ports: [u16; 3],
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Daemon {
    fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[0]).parse().unwrap()
    }

    fn ready(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[1]).parse().unwrap()
    }

    fn peer(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[2]).parse().unwrap()
    }

    fn start(&self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new("target/release/vanillafold-fleet");
        // A daemon ends with the thread that started it, also if this process is killed.
        // SAFETY: prctl only sets a flag of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("VANILLAFOLD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.process.lock().unwrap() = Some(child);
        Ok(())
    }

    fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub links: Arc<Links>,
    pub runners: Vec<Arc<Runner>>,
    daemons: Vec<Daemon>,
    directory: PathBuf,
}

/// Returns a loopback address of which the metrics' port and three others are free.
fn free_address(zone: usize) -> io::Result<(String, [u16; 3])> {
    for attempt in 0..200 {
        let seed = unix_ms() as usize / 7 + std::process::id() as usize * 31 + attempt * 97;
        let ip = format!("127.{}.{}.{}", 64 + seed % 100, seed / 100 % 250, 10 + zone);
        let Ok(metrics) = TcpListener::bind((ip.as_str(), METRICS_PORT)) else {
            continue;
        };
        let held: io::Result<Vec<TcpListener>> = (0..3)
            .map(|_| TcpListener::bind((ip.as_str(), 0)))
            .collect();
        let mut ports = [0; 3];
        for (port, listener) in ports.iter_mut().zip(&held?) {
            *port = listener.local_addr()?.port();
        }
        drop(metrics);
        return Ok((ip, ports));
    }
    Err(io::Error::other("no free loopback address"))
}

impl World {
    /// Starts a daemon in each of three zones, and runners of the given zone and rack.
    pub fn start(
        record: Arc<Record>,
        runners: &[(usize, usize)],
        cpu: u64,
        config: &str,
    ) -> io::Result<Self> {
        let store: Arc<Store> = Arc::default();
        let links: Arc<Links> = Arc::default();
        store.put("keyed.op", "config", config);
        let runners: Vec<Arc<Runner>> = runners
            .iter()
            .enumerate()
            .map(|(index, place)| Runner::start(index, *place, cpu, &store, &record))
            .collect();
        let directory =
            std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&directory)?;
        let mut daemons = Vec::new();
        for daemon in 0..3 {
            let mut addresses = Vec::new();
            for runner in &runners {
                addresses.push(serve(Arc::new(RunnerService {
                    runner: Arc::clone(runner),
                    address: 0,
                    links: Arc::clone(&links),
                    daemon,
                }))?);
            }
            links.runners.lock().unwrap().push(addresses);
            let store_address = serve(Arc::new(StoreService {
                store: Arc::clone(&store),
                links: Arc::clone(&links),
                daemon,
            }))?;
            let cloud_address = serve(Arc::new(Cloud {
                runners: runners.clone(),
                links: Arc::clone(&links),
                daemon,
            }))?;
            let (ip, ports) = free_address(daemon)?;
            let name = format!("edge-z{daemon}");
            let settings = directory.join(format!("{name}.toml"));
            let text = SETTINGS
                .replace("@NAME@", &name)
                .replace("@IP@", &ip)
                .replace("@ZONE@", &format!("z{daemon}"))
                .replace("@FRONT@", &ports[0].to_string())
                .replace("@READY@", &ports[1].to_string())
                .replace("@PEER@", &ports[2].to_string())
                .replace("@STORE@", &store_address.to_string())
                .replace("@CLOUD@", &cloud_address.to_string());
            fs::write(&settings, text)?;
            let log = directory.join(format!("{name}.log"));
            let daemon_row = Daemon {
                name,
                ip,
                ports,
                settings,
                log,
                process: Mutex::new(None),
            };
            let relay = relay(daemon_row.peer(), Arc::clone(&links), daemon)?;
            links.relays.lock().unwrap().push(relay);
            daemons.push(daemon_row);
        }
        let world = Self {
            record,
            store,
            links,
            runners,
            daemons,
            directory,
        };
        for daemon in &world.daemons {
            daemon.start()?;
        }
        let begun = Instant::now();
        while !world.daemons.iter().all(|daemon| world.is_ready(daemon)) {
            if begun.elapsed() > Duration::from_secs(15) {
                return Err(io::Error::other("the daemons don't become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        world.record.note("all daemons are ready");
        thread::sleep(SETTLING);
        Ok(world)
    }

    fn is_ready(&self, daemon: &Daemon) -> bool {
        let answer = call(
            daemon.ready(),
            "GET",
            "/readyz",
            &[("Host", "x")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_some_and(|answer| answer.0 == 200)
    }

    /// Returns the number of the daemon that owns the shard.
    pub fn owner(&self) -> Option<usize> {
        let name = self.store.owner()?;
        self.daemons.iter().position(|daemon| daemon.name == name)
    }

    /// Starts a crashed runner again under its id, at another address.
    pub fn start_elsewhere(&self, index: usize) -> io::Result<()> {
        let runner = &self.runners[index];
        let address = runner.address.fetch_add(1, Ordering::SeqCst) + 1;
        for daemon in 0..self.daemons.len() {
            let listening = serve(Arc::new(RunnerService {
                runner: Arc::clone(runner),
                address,
                links: Arc::clone(&self.links),
                daemon,
            }))?;
            self.links.runners.lock().unwrap()[daemon][index] = listening;
        }
        runner.start_again();
        Ok(())
    }

    /// Sends a client's request to a daemon and returns its status and body.
    pub fn call(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let key = format!("Token {KEY}");
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Authorization", key.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Connection", "close"),
        ];
        let shown: String = body.chars().take(160).collect();
        self.record
            .note(&format!("send {method} {path} to edge-z{daemon} {shown}"));
        let answer = call(
            self.daemons[daemon].front(),
            method,
            path,
            &headers,
            body.as_bytes(),
            DEADLINE,
        );
        let answer =
            answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        match &answer {
            Some((status, body)) => self
                .record
                .note(&format!("answer to {method} {path}: {status} {body}")),
            None => self
                .record
                .note(&format!("answer to {method} {path}: none in time")),
        }
        answer
    }

    /// Submits a job as a client does: up to four retries, at the daemons in turn. Returns whether it
    /// was accepted.
    pub fn submit(&self, first: usize, path: &str, body: &str) -> bool {
        for attempt in 0..5 {
            match self.call((first + attempt) % 3, "POST", path, body) {
                Some((200..=299, _)) => return true,
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// Ends the daemons and removes the temporary folder.
    pub fn close(&self) {
        for daemon in &self.daemons {
            daemon.kill();
        }
        if let Ok(keep) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&keep);
            for daemon in &self.daemons {
                let _ = fs::copy(&daemon.log, format!("{keep}/{}.log", daemon.name));
            }
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.close();
    }
}

/// Relays connections to a daemon. While its zone is cut off, nothing gets through.
fn relay(to: SocketAddr, links: Arc<Links>, zone: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let links = Arc::clone(&links);
            thread::spawn(move || {
                let link = Link::to_platform(zone);
                links.wait(link);
                let Ok(server) = TcpStream::connect(to) else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let pairs = (client.try_clone(), server.try_clone());
                if let (Ok(client_reader), Ok(server_reader)) = pairs {
                    let other = Arc::clone(&links);
                    thread::spawn(move || copy(client_reader, server, &other, link));
                    copy(server_reader, client, &links, link);
                }
            });
        }
    });
    Ok(address)
}

fn copy(mut from: TcpStream, mut to: TcpStream, links: &Links, link: Link) {
    let mut part = [0; 16_384];
    while let Ok(count @ 1..) = from.read(&mut part) {
        if links.is_cut(link) {
            links.wait(link);
        }
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = (
        from.shutdown(std::net::Shutdown::Both),
        to.shutdown(std::net::Shutdown::Both),
    );
}

/// The settings file of `DEPLOY.md`, with the bounds of kth-swap.
const SETTINGS: &str = r#"node = "@NAME@"
role = "fleet"
machine_class = "edge"
serves = ["edge"]
ip = "@IP@"
zone = "@ZONE@"
region = "r"
port_range = [@PEER@,@PEER@]
bootstrap = true
heartbeat_ms = 1500
orders = "call"
advice = ""
[listen]
front = "@IP@:@FRONT@"
ready = "@IP@:@READY@"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
max_hold_ms = 10000
stop_timeout_ms = 900
cancel_ms = 3000
visible_ms = 3000
status_s = 120
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
fencing_required = false
lease_ms = 3000
[platform]
address = "@STORE@"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 16
append_ms = 3.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
min_ttl_ms = 1000
[cloud]
address = "@CLOUD@"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"#;
