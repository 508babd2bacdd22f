//! Reads a settings file section by section and collects all problems.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use vanillafold_types::{
    Connections, DaemonId, Document, Millis, Offset, Percent, Problem, Reader, VmId, ZoneId,
    nearest_name,
};

use super::Secret;
use super::daemon::{ConfiguredPeer, LimitSettings, PlatformSettings, Settings, Timeouts};
use super::value::{Address, Level};

const SECTIONS: [&str; 4] = ["daemon", "limits", "peer", "platform"];
/// Default of the pool in the platform's VM list that holds the entry VMs.
const DEFAULT_ENTRY_POOL: &str = "entry";

/// The sections read so far. The outer `Option` is `None` until the section is found, the inner one
/// if it has problems.
#[derive(Default)]
pub(super) struct Draft {
    daemon: Option<Option<DaemonSection>>,
    platform: Option<Option<PlatformSettings>>,
    limits: Option<LimitSettings>,
    peers: Vec<ConfiguredPeer>,
}

struct DaemonSection {
    name: DaemonId,
    vm: VmId,
    zone: ZoneId,
    cluster: String,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    peer_token: Secret,
    operator_credential: Secret,
    max_connections: u32,
    log_level: log::LevelFilter,
    timeouts: Timeouts,
}

impl Draft {
    pub(super) fn read(
        document: &Document,
        folder: &Path,
        problems: &mut Vec<Problem>,
    ) -> Option<Settings> {
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
        draft.check_document(document, problems);
        draft.build()
    }

    fn check_document(&mut self, document: &Document, problems: &mut Vec<Problem>) {
        let mut report_missing = |section: &str| {
            problems.push(Problem {
                file: document.file().to_owned(),
                line: 1,
                message: format!("[{section}] is missing: add it"),
            });
        };
        if self.daemon.is_none() {
            report_missing("daemon");
        }
        if self.platform.is_none() {
            report_missing("platform");
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
            let is_duplicate = document.sections()[..index]
                .iter()
                .any(|earlier| earlier.kind == "peer" && earlier.name == section.name);
            if section.kind != "peer" {
                continue;
            }
            let mut reader = Reader::new(document, section, problems);
            if is_duplicate {
                reader.problem_at("", "this peer is given twice: keep one of them");
            }
            if own.is_some_and(|own| section.name.as_deref() == Some(own.name.as_str())) {
                reader.problem_at("", "this peer has the daemon's own name: leave it out");
            }
        }
        self.peers.sort_by(|a, b| a.name.cmp(&b.name));
    }

    fn build(self) -> Option<Settings> {
        let daemon = self.daemon??;
        Some(Settings {
            name: daemon.name,
            vm: daemon.vm,
            zone: daemon.zone,
            cluster: daemon.cluster,
            caller_address: daemon.caller_address,
            peer_address: daemon.peer_address,
            admin_address: daemon.admin_address,
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
    let caller_address = address(&mut reader, "callers");
    let peer_address = address(&mut reader, "peers");
    let admin_address = address(&mut reader, "admin");
    let peer_token = read_secret(&mut reader, "peer_token_file", folder);
    let operator_credential = read_secret(&mut reader, "operator_credential_file", folder);
    let max_connections = reader.ranged(
        "max_connections",
        Connections::new(12_000),
        Connections::new(1)..=Connections::new(100_000),
    );
    let Level(log_level) = reader.optional_or("log_level", Level(log::LevelFilter::Info));
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
        caller_address: caller_address?,
        peer_address: peer_address?,
        admin_address: admin_address?,
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
    let time_range = Millis::new(1_000)..=Millis::new(43_200_000);
    let fence_ms = reader.ranged("fence_ms", default.fence_ms, time_range.clone());
    let longest_work_ms = reader.ranged("longest_work_ms", default.longest_work_ms, time_range);
    let percent_range = Percent::ZERO..=Percent::new(100);
    let floor_percent = reader.ranged("floor_percent", default.floor_percent, percent_range);
    reader.finish();
    LimitSettings {
        fence_ms,
        longest_work_ms,
        floor_percent,
    }
}

fn read_peer(mut reader: Reader<'_>) -> Option<ConfiguredPeer> {
    let name = reader.name();
    let zone = reader.required("zone");
    let address = address(&mut reader, "address");
    reader.finish();
    Some(ConfiguredPeer {
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
