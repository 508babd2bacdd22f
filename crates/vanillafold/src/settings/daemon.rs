//! The settings file of a daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use vanillafold_types::{
    Connections, DaemonId, Document, Millis, Offset, Percent, PoolId, Problem, Reader, VmId,
    ZoneId, nearest_name,
};

use super::Secret;
use super::value::{Address, Level};

const SECTIONS: [&str; 4] = ["daemon", "limits", "peer", "platform"];

/// The pool under which the platform's list shows the entry VMs.
const DEFAULT_ENTRY_POOL: &str = "entry";

/// A daemon's settings, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This daemon's name.
    pub name: DaemonId,
    /// The VM that it runs on, as the platform names it.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The cluster that it belongs to; peers of other clusters are refused.
    pub cluster: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where operators and their programs connect.
    pub admin: SocketAddr,
    /// What peers prove that they know.
    pub peer_token: Secret,
    /// What operators prove that they know.
    pub operator_credential: Secret,
    /// The most caller connections at one time.
    pub max_connections: u32,
    /// The least severe log level that is written.
    pub log_level: log::LevelFilter,
    /// How long the daemon waits for what.
    pub timeouts: Timeouts,
    /// What bounds the use of limits.
    pub limits: LimitSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// The other daemons, sorted by name.
    pub peers: Vec<PeerSettings>,
}

/// How long the daemon waits for what.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// For a whole head, from its first byte.
    pub head_ms: Millis,
    /// For the next message of an idle caller connection.
    pub idle_ms: Millis,
    /// For the next piece of a caller's body.
    pub body_ms: Millis,
    /// For a connection to a target.
    pub connect_ms: Millis,
    /// For work that was given up on to end at its target.
    pub linger_ms: Millis,
    /// From the announcement of a stop until nothing new is taken.
    pub notice_ms: Millis,
    /// For accepted requests to end when the daemon stops.
    pub stop_ms: Millis,
    /// How long an owner remembers the id of a non-idempotent request.
    pub claim_window_ms: Millis,
    /// How long a target connection proves itself alive after an answer.
    pub proof_ms: Millis,
}

/// What bounds the use of limits. The same in every daemon of the fleet.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// How long a daemon that can't read the log uses more than its floor of each limit.
    pub fence_ms: Millis,
    /// The longest time from a send until no target runs the work any more.
    pub longest_work_ms: Millis,
    /// The part of a daemon's share of each limit that it never gives up, also when cut off.
    pub floor_percent: Percent,
}

/// Where the platform is.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// For each of its answers, long polls not counted.
    pub timeout_ms: Millis,
    /// Between two looks at the VM list.
    pub list_interval_ms: Millis,
    /// The most records of a stream between two snapshots; fewer where the platform keeps
    /// fewer than four times as many.
    pub snapshot_records: u64,
    /// The pool under which the list shows the entry VMs, each named as its daemon, with the
    /// address for peers.
    pub entry_pool: PoolId,
}

/// Another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Its name.
    pub name: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// Why settings were not taken.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file could not be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file has problems; a line each.
    #[error("{}", .0.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))]
    Problems(Vec<Problem>),
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            fence_ms: Millis::new(600_000),
            longest_work_ms: Millis::new(120_000),
            floor_percent: Percent::new(50),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file. Files that it names are taken relative to it.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every problem of the file at once.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Self::parse(&path.display().to_string(), &text, folder).map_err(SettingsError::Problems)
    }

    /// Parses and checks a settings text; secrets are read from files in `folder`.
    ///
    /// # Errors
    ///
    /// Every [`Problem`], in the order of the lines.
    pub fn parse(file: &str, text: &str, folder: &Path) -> Result<Self, Vec<Problem>> {
        let document = Document::parse(file, text).map_err(|problem| vec![problem])?;
        let mut problems = Vec::new();
        let settings = Draft::read(&document, folder, &mut problems);
        problems.sort();
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }

    /// The longest deadline that may be granted: after it, work that was given up on may linger,
    /// and all of it must be over within the longest work.
    #[must_use]
    pub fn longest_deadline_ms(&self) -> Millis {
        let linger = self.timeouts.linger_ms.get();
        Millis::new(self.limits.longest_work_ms.get().saturating_sub(linger))
    }

    /// Every daemon of the cluster by name, this one included, sorted.
    #[must_use]
    pub fn fleet(&self) -> Vec<DaemonId> {
        let mut fleet: Vec<DaemonId> = self.peers.iter().map(|peer| peer.name.clone()).collect();
        fleet.push(self.name.clone());
        fleet.sort();
        fleet
    }
}

/// The sections read so far.
#[derive(Default)]
struct Draft {
    daemon: Option<Option<DaemonSection>>,
    platform: Option<Option<PlatformSettings>>,
    limits: Option<LimitSettings>,
    peers: Vec<PeerSettings>,
}

struct DaemonSection {
    name: DaemonId,
    vm: VmId,
    zone: ZoneId,
    cluster: String,
    callers: SocketAddr,
    peer_address: SocketAddr,
    admin: SocketAddr,
    peer_token: Secret,
    operator_credential: Secret,
    max_connections: u32,
    log_level: log::LevelFilter,
    timeouts: Timeouts,
}

impl Draft {
    fn read(document: &Document, folder: &Path, problems: &mut Vec<Problem>) -> Option<Settings> {
        let mut draft = Self::default();
        for section in document.sections() {
            let mut reader = Reader::new(document, section, problems);
            match section.kind.as_str() {
                "daemon" if draft.daemon.is_none() => {
                    draft.daemon = Some(read_daemon(reader, folder));
                }
                "platform" if draft.platform.is_none() => {
                    draft.platform = Some(read_platform(reader));
                }
                "limits" if draft.limits.is_none() => {
                    draft.limits = Some(read_limits(reader));
                }
                "daemon" | "limits" | "platform" => {
                    reader.problem_at("", "this section is given twice: keep one of them");
                }
                "peer" => draft.peers.extend(read_peer(reader)),
                other => reader.problem_at("", unknown_section(other)),
            }
        }
        draft.check_whole(document, problems);
        draft.finish()
    }

    fn check_whole(&mut self, document: &Document, problems: &mut Vec<Problem>) {
        let mut missing = |section: &str| {
            problems.push(Problem {
                file: document.file().to_owned(),
                line: 1,
                message: format!("[{section}] is missing: add it"),
            });
        };
        if self.daemon.is_none() {
            missing("daemon");
        }
        if self.platform.is_none() {
            missing("platform");
        }
        let own = self.daemon.as_ref().and_then(Option::as_ref);
        let longest_work_ms = self.limits.clone().unwrap_or_default().longest_work_ms;
        if let Some(daemon) = own.filter(|own| own.timeouts.linger_ms >= longest_work_ms) {
            let linger_ms = daemon.timeouts.linger_ms;
            let least_ms = Millis::new(linger_ms.get() + 1);
            let message = format!(
                "longest_work_ms: expected at least {least_ms}, above linger_timeout_ms, \
                 found {longest_work_ms}"
            );
            let section = document
                .sections()
                .iter()
                .find(|section| section.kind == "limits");
            problems.push(Problem {
                file: document.file().to_owned(),
                line: section.map_or(1, |section| section.line),
                message,
            });
        }
        for (index, section) in document.sections().iter().enumerate() {
            let twice = document.sections()[..index]
                .iter()
                .any(|earlier| earlier.kind == "peer" && earlier.name == section.name);
            if section.kind != "peer" {
                continue;
            }
            let mut reader = Reader::new(document, section, problems);
            if twice {
                reader.problem_at("", "this peer is given twice: keep one of them");
            }
            if own.is_some_and(|own| section.name.as_deref() == Some(own.name.as_str())) {
                reader.problem_at("", "this peer has the daemon's own name: leave it out");
            }
        }
        self.peers.sort_by(|a, b| a.name.cmp(&b.name));
    }

    fn finish(self) -> Option<Settings> {
        let daemon = self.daemon??;
        Some(Settings {
            name: daemon.name,
            vm: daemon.vm,
            zone: daemon.zone,
            cluster: daemon.cluster,
            callers: daemon.callers,
            peer_address: daemon.peer_address,
            admin: daemon.admin,
            peer_token: daemon.peer_token,
            operator_credential: daemon.operator_credential,
            max_connections: daemon.max_connections,
            log_level: daemon.log_level,
            timeouts: daemon.timeouts,
            limits: self.limits.unwrap_or_default(),
            platform: self.platform??,
            peers: self.peers,
        })
    }
}

fn unknown_section(kind: &str) -> String {
    match nearest_name(kind, SECTIONS) {
        Some(nearest) => format!("unknown section [{kind}]: did you mean [{nearest}]?"),
        None => format!(
            "unknown section [{kind}]: expected [daemon], [limits], [platform] or [peer NAME]"
        ),
    }
}

fn read_daemon(mut reader: Reader<'_>, folder: &Path) -> Option<DaemonSection> {
    let name: Option<DaemonId> = reader.required("name");
    let vm = reader.optional("vm");
    let zone = reader.required("zone");
    let cluster = reader.required("cluster");
    let callers = address(&mut reader, "callers");
    let peer_address = address(&mut reader, "peers");
    let admin = address(&mut reader, "admin");
    let peer_token = read_secret(&mut reader, "peer_token_file", folder);
    let operator_credential = read_secret(&mut reader, "operator_credential_file", folder);
    let max_connections = reader.ranged(
        "max_connections",
        Connections::new(12_000),
        Connections::new(1)..=Connections::new(100_000),
    );
    let Level(log_level) = reader.or("log_level", Level(log::LevelFilter::Info));
    let timeouts = Timeouts {
        head_ms: milliseconds(&mut reader, "head_timeout_ms", 5_000),
        idle_ms: milliseconds(&mut reader, "idle_timeout_ms", 300_000),
        body_ms: milliseconds(&mut reader, "body_timeout_ms", 10_000),
        connect_ms: milliseconds(&mut reader, "connect_timeout_ms", 500),
        linger_ms: milliseconds(&mut reader, "linger_timeout_ms", 60_000),
        notice_ms: milliseconds(&mut reader, "stop_notice_ms", 2_000),
        stop_ms: milliseconds(&mut reader, "stop_timeout_ms", 60_000),
        claim_window_ms: milliseconds(&mut reader, "claim_window_ms", 900_000),
        proof_ms: milliseconds(&mut reader, "connection_proof_ms", 2_000),
    };
    reader.finish();
    let name = name?;
    let own_vm = name.as_str().parse().ok();
    Some(DaemonSection {
        vm: vm.or(own_vm)?,
        name,
        zone: zone?,
        cluster: cluster?,
        callers: callers?,
        peer_address: peer_address?,
        admin: admin?,
        peer_token: peer_token?,
        operator_credential: operator_credential?,
        max_connections: max_connections.get(),
        log_level,
        timeouts,
    })
}

fn read_platform(mut reader: Reader<'_>) -> Option<PlatformSettings> {
    let address = address(&mut reader, "address");
    let timeout_ms = milliseconds(&mut reader, "timeout_ms", 2_000);
    let list_interval_ms = milliseconds(&mut reader, "list_interval_ms", 1_000);
    let entry_pool = reader.optional("entry_pool");
    let snapshot_records = reader.ranged(
        "snapshot_records",
        Offset::new(10_000),
        Offset::new(100)..=Offset::new(1_000_000_000),
    );
    reader.finish();
    Some(PlatformSettings {
        address: address?,
        timeout_ms,
        list_interval_ms,
        entry_pool: entry_pool.or_else(|| DEFAULT_ENTRY_POOL.parse().ok())?,
        snapshot_records: snapshot_records.get(),
    })
}

fn read_limits(mut reader: Reader<'_>) -> LimitSettings {
    let default = LimitSettings::default();
    let times = Millis::new(1_000)..=Millis::new(43_200_000);
    let fence_ms = reader.ranged("fence_ms", default.fence_ms, times.clone());
    let longest_work_ms = reader.ranged("longest_work_ms", default.longest_work_ms, times);
    let percent = Percent::ZERO..=Percent::new(100);
    let floor_percent = reader.ranged("floor_percent", default.floor_percent, percent);
    reader.finish();
    LimitSettings {
        fence_ms,
        longest_work_ms,
        floor_percent,
    }
}

fn read_peer(mut reader: Reader<'_>) -> Option<PeerSettings> {
    let name = reader.name();
    let zone = reader.required("zone");
    let address = address(&mut reader, "address");
    reader.finish();
    Some(PeerSettings {
        name: name?,
        zone: zone?,
        address: address?,
    })
}

fn address(reader: &mut Reader<'_>, key: &'static str) -> Option<SocketAddr> {
    reader.required(key).map(|Address(address)| address)
}

fn milliseconds(reader: &mut Reader<'_>, key: &'static str, default: u64) -> Millis {
    let range = Millis::new(1)..=Millis::new(3_600_000);
    reader.ranged(key, Millis::new(default), range)
}

fn read_secret(reader: &mut Reader<'_>, key: &'static str, folder: &Path) -> Option<Secret> {
    let path: PathBuf = reader.required(key)?;
    match Secret::from_file(&folder.join(path)) {
        Ok(secret) => Some(secret),
        Err(error) => {
            reader.problem_at(key, format!("{key}: {error}"));
            None
        }
    }
}
