//! Measures how long a catalogue edit or the withdrawal of a key takes until it is in force on every
//! daemon, how long a daemon takes to start, and what idle daemons cost.

use std::fs;
use std::process::{Command, ExitCode};
use std::thread::sleep;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use http::Method;
use http::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use vanillafold::state::{Author, CatalogueChange, CatalogueRecord, Entry, EntryEdit, Stream};
use vanillafold::types::{
    CatalogueFile, Incarnation, Limit, Millis, Offset, ResultCode, Revision, Sequence, Team,
};
use vanillafold::wire::http::Client;
use vanillafold::wire::platform::{HttpPlatform, PlatformLog};
use vanillafold_standin::process;
use vanillafold_standin::rig::{
    Child, Cluster, DEMO_CATALOGUE, DaemonSpec, KeyWithSecret, Layout, RigError, RigOptions,
};

const POOLS: [&str; 5] = ["quotes", "bookings", "stock", "proofs", "archive"];
const VMS_PER_ZONE: usize = 2;
/// The time limit of each wait: so long that only a defect exceeds it.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How long the usage of idle daemons is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// The ticks per second in which `/proc` reports CPU times.
const TICKS_PER_S: f64 = 100.0;

#[derive(Debug)]
struct Options {
    repeats: u32,
    zones: u8,
    daemons: u8,
    rig: RigOptions,
}

fn options() -> bpaf::OptionParser<Options> {
    let repeats = long("repeats")
        .help("repeats of each measurement")
        .argument::<u32>("N")
        .fallback(30);
    let zones = long("zones").help("zones").argument::<u8>("N").fallback(4);
    let daemons = long("daemons")
        .help("daemons in a zone")
        .argument::<u8>("N")
        .fallback(2);
    let rig = RigOptions::parser(99, "run/propagation");
    construct!(Options {
        repeats,
        zones,
        daemons,
        rig
    })
    .to_options()
    .descr("Time until an edit or a withdrawal is in force on every daemon")
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), RigError> {
    let layout = Layout::new(
        options.rig.number,
        options.zones,
        options.daemons,
        &POOLS,
        VMS_PER_ZONE,
    );
    let mut cluster = Cluster::start(
        layout,
        &[],
        DEMO_CATALOGUE,
        &options.rig.directory,
        &options.rig.programs,
    )?;
    let keys = (0..2 * options.repeats)
        .map(|number| cluster.give_key(&format!("cafes-{number}"), "cafes"))
        .collect::<Result<Vec<_>, _>>()?;
    let (healthy, outage) = keys.split_at(options.repeats as usize);
    let mut editor = CatalogueEditor::new(&cluster);
    let daemons: Vec<DaemonSpec> = cluster.layout.daemons().cloned().collect();
    println!("daemons={} repeats={}", daemons.len(), options.repeats);

    print_idle_usage("health", &cluster);
    measure_edits("edit, health", &cluster, &mut editor, options.repeats)?;
    measure_withdrawals("withdrawal, health", &cluster, healthy)?;

    let name = daemons[0].name.clone();
    cluster.kill_daemon(&name)?;
    let partitioned = start_without_platform(&cluster, &daemons[0])?;
    wait_ready(&cluster, &daemons[0])?;
    let label = "edit, one daemon without the platform";
    measure_edits(label, &cluster, &mut editor, options.repeats)?;
    drop(partitioned);
    cluster.start_daemon(&name)?;
    cluster.wait_serving(&name)?;

    cluster.set_platform_faults("outage=true")?;
    print_idle_usage("outage", &cluster);
    measure_withdrawals("withdrawal, outage", &cluster, outage)?;
    measure_starts("start through peers, outage", &mut cluster, options.repeats)?;
    measure_reconnect_load(&cluster)?;
    cluster.set_platform_faults("outage=false\nretention_records=400\nappend_rate=100000")?;

    for stream in ["catalogue", "control"] {
        let path = format!("/log/{stream}");
        for _ in 0..450 {
            cluster.call(Method::POST, cluster.layout.platform, &path, "no record")?;
        }
    }
    cluster.wait_until("a snapshot", TIMEOUT, |cluster| {
        let page = cluster.call(Method::GET, daemons[1].admin_address, "/state", "");
        page.is_ok_and(|page| !page.contains("newest_snapshot_control_next=none"))
    })?;
    measure_starts(
        "start, first records dropped",
        &mut cluster,
        options.repeats,
    )
}

// --- Measuring ---------------------------------------------------------------------------------

/// Prints the median, the 99th percentile and the maximum of `times`.
fn print_quantiles(label: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |percent: usize| {
        let rank = (times.len() * percent).div_ceil(100).max(1);
        times[rank - 1].as_secs_f64() * 1_000.0
    };
    println!(
        "{label}: n={} p50={:.1}ms p99={:.1}ms worst={:.1}ms",
        times.len(),
        at(50),
        at(99),
        at(100)
    );
}

/// Ends the outage and prints the rate at which all daemons together send requests to the log: the
/// maximum within a second, and the rate in the last second.
fn measure_reconnect_load(cluster: &Cluster) -> Result<(), RigError> {
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
    const SAMPLES: usize = 40;
    const SAMPLES_PER_S: usize = 4;
    let mut counts = vec![log_requests(cluster)];
    cluster.set_platform_faults("outage=false")?;
    let started_at = Instant::now();
    for sample in 1..=SAMPLES as u32 {
        sleep((SAMPLE_INTERVAL * sample).saturating_sub(started_at.elapsed()));
        counts.push(log_requests(cluster));
    }
    let most = counts
        .windows(SAMPLES_PER_S + 1)
        .map(|window| window[SAMPLES_PER_S] - window[0])
        .max();
    let least = counts[SAMPLES] - counts[SAMPLES - SAMPLES_PER_S];
    println!(
        "return of the platform: at most {} log requests/s of all daemons, {least} in the last second",
        most.unwrap_or_default()
    );
    Ok(())
}

/// Returns the number of log reads and appends that all daemons have sent so far.
fn log_requests(cluster: &Cluster) -> u64 {
    let pages = cluster.running_daemons().filter_map(|spec| {
        let page = cluster.call(Method::GET, spec.admin_address, "/metrics", "");
        page.ok()
    });
    let counts = pages.flat_map(|page| {
        let lines = page.lines().filter(|line| {
            line.starts_with("vanillafold_log_reads_total")
                || line.starts_with("vanillafold_log_appends_total")
        });
        let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        counts.collect::<Vec<_>>()
    });
    counts.sum()
}

/// The CPU time and network traffic of a daemon so far.
struct Usage {
    name: String,
    cpu_s: f64,
    /// Bytes sent on the sockets that are open.
    sent_bytes: u64,
}

/// Prints the CPU time and network traffic of each daemon while there are no requests.
fn print_idle_usage(label: &str, cluster: &Cluster) {
    let before = daemon_usages(cluster);
    sleep(IDLE_TIME);
    let after = daemon_usages(cluster);
    let seconds = IDLE_TIME.as_secs_f64();
    for (before, after) in before.iter().zip(&after) {
        let percent = (after.cpu_s - before.cpu_s) / seconds * 100.0;
        let sent_bytes = after.sent_bytes.saturating_sub(before.sent_bytes);
        let rate = sent_bytes as f64 / seconds;
        println!(
            "idle, {label}: {} cpu={percent:.2}% sent={rate:.0}B/s",
            after.name
        );
    }
}

fn daemon_usages(cluster: &Cluster) -> Vec<Usage> {
    let sockets = Command::new("ss").args(["-tinHOp"]).output();
    let sockets = sockets.map(|output| output.stdout).unwrap_or_default();
    let sockets = String::from_utf8_lossy(&sockets).into_owned();
    let names = cluster.daemon_names();
    let usages = names.into_iter().filter_map(|name| {
        let id = cluster.daemon_pid(&name)?;
        Some(Usage {
            name,
            cpu_s: cpu_s(id)?,
            sent_bytes: sent_bytes(&sockets, id),
        })
    });
    usages.collect()
}

fn cpu_s(id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, fields) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// Returns the bytes sent on all open sockets of a process, as `ss` reports them.
fn sent_bytes(sockets: &str, id: u32) -> u64 {
    let owner = format!("pid={id},");
    let own = sockets.lines().filter(|line| line.contains(&owner));
    own.filter_map(|line| {
        let (_, rest) = line.split_once(" bytes_sent:")?;
        rest.split(' ').next()?.parse::<u64>().ok()
    })
    .sum()
}

/// Waits until `holds` is true for every daemon; returns the time since `started_at`.
fn wait_for_all(
    cluster: &Cluster,
    label: &str,
    started_at: Instant,
    holds: impl Fn(&DaemonSpec) -> bool,
) -> Result<Duration, RigError> {
    let mut pending: Vec<DaemonSpec> = cluster.layout.daemons().cloned().collect();
    while !pending.is_empty() {
        pending.retain(|spec| !holds(spec));
        if started_at.elapsed() > TIMEOUT {
            let operation = label.to_owned();
            let reason = format!(
                "{} daemons did not reach the expected state within {TIMEOUT:?}",
                pending.len()
            );
            return Err(RigError::Failed { operation, reason });
        }
    }
    Ok(started_at.elapsed())
}

fn measure_edits(
    label: &str,
    cluster: &Cluster,
    editor: &mut CatalogueEditor,
    repeats: u32,
) -> Result<(), RigError> {
    let mut times = Vec::new();
    for _ in 0..repeats {
        let started_at = Instant::now();
        let offset = editor.edit();
        times.push(wait_for_all(cluster, label, started_at, |spec| {
            catalogue_next(cluster, spec).is_some_and(|next| next > offset.get())
        })?);
        sleep(Duration::from_millis(150));
    }
    print_quantiles(label, times);
    Ok(())
}

fn measure_withdrawals(
    label: &str,
    cluster: &Cluster,
    keys: &[KeyWithSecret],
) -> Result<(), RigError> {
    let daemons: Vec<DaemonSpec> = cluster.layout.daemons().cloned().collect();
    let mut times = Vec::new();
    for (key, daemon) in keys.iter().zip(daemons.iter().cycle()) {
        let (id, _) = key.text.split_once('.').unwrap_or((&key.text, ""));
        let path = format!("/keys/{id}/withdraw");
        let started_at = Instant::now();
        cluster.call(Method::POST, daemon.admin_address, &path, "")?;
        times.push(wait_for_all(cluster, label, started_at, |spec| {
            is_withdrawn(spec, key)
        })?);
        sleep(Duration::from_millis(150));
    }
    print_quantiles(label, times);
    Ok(())
}

fn measure_starts(label: &str, cluster: &mut Cluster, repeats: u32) -> Result<(), RigError> {
    let daemons: Vec<DaemonSpec> = cluster.layout.daemons().cloned().collect();
    let mut times = Vec::new();
    for spec in daemons.iter().cycle().take(repeats as usize) {
        cluster.kill_daemon(&spec.name)?;
        let started_at = Instant::now();
        cluster.start_daemon(&spec.name)?;
        wait_ready(cluster, spec)?;
        times.push(started_at.elapsed());
        sleep(Duration::from_millis(500));
    }
    print_quantiles(label, times);
    Ok(())
}

fn wait_ready(cluster: &Cluster, spec: &DaemonSpec) -> Result<(), RigError> {
    cluster.wait_until("the start", TIMEOUT, |cluster| {
        cluster
            .call(Method::GET, spec.admin_address, "/ready", "")
            .is_ok()
    })
}

fn catalogue_next(cluster: &Cluster, spec: &DaemonSpec) -> Option<u64> {
    let page = cluster
        .call(Method::GET, spec.admin_address, "/state", "")
        .ok()?;
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix("catalogue_next="));
    line?.parse().ok()
}

fn is_withdrawn(spec: &DaemonSpec, key: &KeyWithSecret) -> bool {
    let mut headers = HeaderMap::new();
    let credential = format!("Bearer {}", key.text);
    if let Ok(value) = HeaderValue::from_str(&credential) {
        headers.insert(AUTHORIZATION, value);
    }
    let callers = spec.caller_address;
    let answer = process::run(async move {
        let mut client = Client::new(callers, Duration::from_secs(3));
        let path = "/queues/bookings/today";
        let asking = client.request(Method::GET, path, &headers, bytes::Bytes::new());
        Ok(asking.await.ok())
    });
    let code = answer.ok().flatten().and_then(|answer| {
        let code = answer.headers().get("vf-result-code")?;
        code.to_str().ok()?.parse().ok()
    });
    code == Some(ResultCode::WithdrawnKey.number())
}

/// Starts a daemon with a platform address at which nothing listens.
fn start_without_platform(cluster: &Cluster, spec: &DaemonSpec) -> Result<Child, RigError> {
    let path = cluster.directory().join(format!("{}.ini", spec.name));
    let text = fs::read_to_string(&path).map_err(|source| RigError::Io {
        operation: "reading settings".to_owned(),
        source,
    })?;
    let platform = cluster.layout.platform;
    let text = text.replace(&platform.to_string(), &format!("{}:9", platform.ip()));
    let path = cluster.directory().join(format!("{}-cut.ini", spec.name));
    fs::write(&path, text).map_err(|source| RigError::Io {
        operation: "writing settings".to_owned(),
        source,
    })?;
    let arguments = [path.display().to_string()];
    let program = cluster.program_path("vanillafold");
    Child::start(&spec.name, &program, &arguments, cluster.directory())
}

// --- Edits -------------------------------------------------------------------------------------

/// Appends catalogue records that each change the limit of one team.
struct CatalogueEditor {
    platform: std::net::SocketAddr,
    team: Team,
    revision: Revision,
    sequence: Sequence,
    as_of: Offset,
}

impl CatalogueEditor {
    fn new(cluster: &Cluster) -> Self {
        let text = CatalogueFile::parse("catalogue.ini", DEMO_CATALOGUE);
        let team = text.ok().and_then(|text| text.teams.into_iter().next());
        Self {
            platform: cluster.layout.platform,
            team: team.expect("the demonstration's catalogue has teams"),
            // All entries were created by the first record.
            revision: Revision::new(1),
            sequence: Sequence::ZERO,
            as_of: Offset::new(2),
        }
    }

    /// Appends an edit and returns its offset.
    fn edit(&mut self) -> Offset {
        let limit = 100 + self.sequence.get() % 50;
        self.team.limit = Limit::new(u32::try_from(limit).unwrap_or(100));
        self.sequence = Sequence::new(self.sequence.get() + 1);
        let entry = Entry::Team(self.team.clone());
        let record = CatalogueRecord {
            author: Author {
                id: "propagation".parse().expect("an author"),
                incarnation: Incarnation::new(1),
            },
            sequence: self.sequence,
            as_of: self.as_of,
            change: CatalogueChange::Edit(vec![EntryEdit {
                name: entry.name(),
                expected_revision: self.revision,
                value: Some(entry),
            }]),
        };
        let bytes = record.encode().expect("a small record");
        let platform = self.platform;
        let appended = process::run(async move {
            let platform = HttpPlatform::new(platform, Millis::new(3_000));
            let stream = Stream::Catalogue.as_str();
            Ok(platform.append(stream, bytes.into()).await.ok())
        });
        let offset = appended.ok().flatten().expect("a platform that appends");
        self.as_of = offset.next();
        self.revision = Revision::new(offset.get());
        offset
    }
}
