//! The settings file of a daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use vanillafold_types::{DaemonId, Document, Millis, Percent, PoolId, Problem, VmId, ZoneId};

use super::Secret;
use super::draft::Draft;

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
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where operators and their programs connect.
    pub admin_address: SocketAddr,
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
