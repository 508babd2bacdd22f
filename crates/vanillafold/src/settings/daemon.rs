//! The settings of a daemon, and how they are read from its file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use vanillafold_types::{DaemonId, Document, Millis, Percent, PoolId, Problem, VmId, ZoneId};

use super::Secret;
use super::draft::Draft;

/// The checked settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's name, unique in its cluster.
    pub name: DaemonId,
    /// The VM that the daemon runs on, by its name at the platform. By default the daemon's name.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneId,
    /// The cluster that the daemon belongs to; peers of other clusters are refused.
    pub cluster: String,
    /// The address on which the daemon listens for callers.
    pub caller_address: SocketAddr,
    /// The address on which the daemon listens for peers.
    pub peer_address: SocketAddr,
    /// The address on which the daemon listens for operators and their programs.
    pub admin_address: SocketAddr,
    /// The secret by which peers authenticate to each other.
    pub peer_token: Secret,
    /// The secret by which operators authenticate.
    pub operator_credential: Secret,
    /// Maximum number of open caller connections.
    pub max_connections: u32,
    /// The least severe level of log lines that are written.
    pub log_level: log::LevelFilter,
    /// Time limits of the daemon.
    pub timeouts: Timeouts,
    /// Settings of the division of the teams' limits among the daemons.
    pub limits: LimitSettings,
    /// Settings of the connection to the platform.
    pub platform: PlatformSettings,
    /// The other daemons of the fleet, sorted by name.
    pub peers: Vec<ConfiguredPeer>,
}

/// Time limits of a daemon.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// Maximum time to receive a whole request head, from its first byte.
    pub head_ms: Millis,
    /// How long an idle caller connection may wait for its next request.
    pub idle_ms: Millis,
    /// Maximum wait for the next piece of a caller's body.
    pub body_ms: Millis,
    /// Maximum time to open a connection to a target.
    pub connect_ms: Millis,
    /// How long a lingering send, one without a whole answer, may take to end at its target.
    pub linger_ms: Millis,
    /// Time from the announcement of a stop until new requests are no longer accepted.
    pub notice_ms: Millis,
    /// How long accepted requests may take to end when the daemon stops.
    pub stop_ms: Millis,
    /// How long an owner remembers the id of a non-idempotent request.
    pub claim_window_ms: Millis,
    /// How long a target connection counts as alive after a whole answer.
    pub proof_ms: Millis,
}

/// Settings of the division of the teams' limits among the daemons. They must be the same for
/// every daemon of the fleet.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// How long a daemon that can't read the log may use more than its floor of each limit.
    pub fence_ms: Millis,
    /// Maximum time from a send until the work has ended at its target.
    pub longest_work_ms: Millis,
    /// The floor: the part of a daemon's share of each limit that it keeps even when partitioned
    /// from the others.
    pub floor_percent: Percent,
}

/// Settings of the connection to the platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address of the platform.
    pub address: SocketAddr,
    /// Timeout for an answer of the platform; the time of a long poll is added.
    pub timeout_ms: Millis,
    /// Interval between two reads of the VM list.
    pub list_interval_ms: Millis,
    /// Maximum number of records of a stream between two snapshots. A lower limit applies where the
    /// platform retains fewer than four times as many.
    pub snapshot_records: u64,
    /// The pool of the VM list that holds the entry VMs. Each has the name of its daemon and the
    /// daemon's address for peers.
    pub entry_pool: PoolId,
}

/// Another daemon of the fleet, from a `[peer]` section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfiguredPeer {
    /// The peer's name.
    pub name: DaemonId,
    /// The peer's availability zone.
    pub zone: ZoneId,
    /// The address on which the peer listens for peers.
    pub address: SocketAddr,
}

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file could not be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file's content has these problems, displayed one per line.
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
    /// Reads and checks a settings file. Paths in it are relative to the file's folder.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file can't be read, or with all problems of the file at once.
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
    /// All [`Problem`]s, in the order of their lines.
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

    /// Returns the longest deadline that a request may have: `longest_work_ms` without the linger
    /// time. A send without a whole answer at its deadline may linger for that time, and its work
    /// must end within `longest_work_ms`.
    #[must_use]
    pub fn longest_deadline_ms(&self) -> Millis {
        let linger = self.timeouts.linger_ms.get();
        Millis::new(self.limits.longest_work_ms.get().saturating_sub(linger))
    }

    /// Returns the names of all daemons of the fleet, this one included, sorted.
    #[must_use]
    pub fn fleet(&self) -> Vec<DaemonId> {
        let mut fleet: Vec<DaemonId> = self.peers.iter().map(|peer| peer.name.clone()).collect();
        fleet.push(self.name.clone());
        fleet.sort();
        fleet
    }
}
