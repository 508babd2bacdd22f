//! How long an edit or a withdrawal takes until it is in force on every daemon, how long a start
//! takes, and what the control side costs.

use std::fs;
use std::process::{Command, ExitCode};
use std::thread::sleep;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use http::Method;
use http::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use vanillafold::state::{Author, CatalogueChange, CatalogueRecord, Entry, EntryEdit, Stream};
use vanillafold::types::{
    CatalogueText, Incarnation, Limit, Millis, Offset, ResultCode, Revision, Sequence, Team,
};
use vanillafold::wire::http::Client;
use vanillafold::wire::platform::{HttpPlatform, PlatformLog};
use vanillafold_standin::process;
use vanillafold_standin::rig::{
    Child, Cluster, DEMO_CATALOGUE, DaemonPlace, KeyText, Layout, RigError, RigSite,
};

const POOLS: [&str; 5] = ["quotes", "bookings", "stock", "proofs", "archive"];
const VMS_PER_ZONE: usize = 2;
/// Long enough that only a fault reaches it.
const LIMIT: Duration = Duration::from_secs(60);
/// How long the cost of idling is measured.
const IDLE: Duration = Duration::from_secs(10);
/// Ticks a second of the processor times of `/proc`.
const TICKS_PER_S: f64 = 100.0;

#[derive(Debug)]
struct Options {
    repeats: u32,
    zones: u8,
    daemons: u8,
    site: RigSite,
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
    let site = RigSite::options(99, "run/propagation");
    construct!(Options {
        repeats,
        zones,
        daemons,
        site
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
        options.site.rig,
        options.zones,
        options.daemons,
        &POOLS,
        VMS_PER_ZONE,
    );
    let mut cluster = Cluster::start(
        layout,
        &[],
        DEMO_CATALOGUE,
        &options.site.directory,
        &options.site.programs,
    )?;
    let keys = (0..2 * options.repeats)
        .map(|number| cluster.give_key(&format!("cafes-{number}"), "cafes"))
        .collect::<Result<Vec<_>, _>>()?;
    let (healthy, outage) = keys.split_at(options.repeats as usize);
    let mut editor = Editor::new(&cluster);
    let daemons: Vec<DaemonPlace> = cluster.layout.daemons().cloned().collect();
    println!("daemons={} repeats={}", daemons.len(), options.repeats);

    idle("health", &cluster);
    edits("edit, health", &cluster, &mut editor, options.repeats)?;
    withdrawals("withdrawal, health", &cluster, healthy)?;

    let name = daemons[0].name.clone();
    cluster.kill_daemon(&name)?;
    let cut = start_cut(&cluster, &daemons[0])?;
    wait_ready(&cluster, &daemons[0])?;
    let what = "edit, one daemon without the platform";
    edits(what, &cluster, &mut editor, options.repeats)?;
    drop(cut);
    cluster.start_daemon(&name)?;
    cluster.wait_serving(&name)?;

    cluster.set_platform_faults("outage=true")?;
    idle("outage", &cluster);
    withdrawals("withdrawal, outage", &cluster, outage)?;
    starts("start through peers, outage", &mut cluster, options.repeats)?;
    rush(&cluster)?;
    cluster.set_platform_faults("outage=false\nretention_records=400\nappend_rate=100000")?;

    for stream in ["catalogue", "control"] {
        let path = format!("/log/{stream}");
        for _ in 0..450 {
            cluster.call(Method::POST, cluster.layout.platform, &path, "no record")?;
        }
    }
    cluster.wait_until("a snapshot", LIMIT, |cluster| {
        let page = cluster.call(Method::GET, daemons[1].admin, "/state", "");
        page.is_ok_and(|page| !page.contains("newest_snapshot_control_next=none"))
    })?;
    starts(
        "start, first records dropped",
        &mut cluster,
        options.repeats,
    )
}

// --- Measuring ---------------------------------------------------------------------------------

fn print(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |percent: usize| {
        let rank = (times.len() * percent).div_ceil(100).max(1);
        times[rank - 1].as_secs_f64() * 1_000.0
    };
    println!(
        "{what}: n={} p50={:.1}ms p99={:.1}ms worst={:.1}ms",
        times.len(),
        at(50),
        at(99),
        at(100)
    );
}

/// Ends the outage and prints how many requests to the log come from all daemons together.
fn rush(cluster: &Cluster) -> Result<(), RigError> {
    const LOOK: Duration = Duration::from_millis(250);
    const LOOKS: usize = 40;
    const LOOKS_PER_S: usize = 4;
    let mut counts = vec![log_requests(cluster)];
    cluster.set_platform_faults("outage=false")?;
    let begun = Instant::now();
    for look in 1..=LOOKS as u32 {
        sleep((LOOK * look).saturating_sub(begun.elapsed()));
        counts.push(log_requests(cluster));
    }
    let most = counts
        .windows(LOOKS_PER_S + 1)
        .map(|window| window[LOOKS_PER_S] - window[0])
        .max();
    let least = counts[LOOKS] - counts[LOOKS - LOOKS_PER_S];
    println!(
        "return of the platform: at most {} log requests/s of all daemons, {least} in the last second",
        most.unwrap_or_default()
    );
    Ok(())
}

/// Reads and appends that all daemons have sent.
fn log_requests(cluster: &Cluster) -> u64 {
    let pages = cluster.running_daemons().filter_map(|place| {
        let page = cluster.call(Method::GET, place.admin, "/metrics", "");
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

/// What each daemon has used so far.
struct Usage {
    name: String,
    processor_s: f64,
    /// Of the sockets that are open.
    sent_bytes: u64,
}

/// Prints what each daemon uses while nobody calls.
fn idle(what: &str, cluster: &Cluster) {
    let before = usage(cluster);
    sleep(IDLE);
    let after = usage(cluster);
    let seconds = IDLE.as_secs_f64();
    for (before, after) in before.iter().zip(&after) {
        let percent = (after.processor_s - before.processor_s) / seconds * 100.0;
        let sent_bytes = after.sent_bytes.saturating_sub(before.sent_bytes);
        let rate = sent_bytes as f64 / seconds;
        println!(
            "idle, {what}: {} cpu={percent:.2}% sent={rate:.0}B/s",
            after.name
        );
    }
}

fn usage(cluster: &Cluster) -> Vec<Usage> {
    let sockets = Command::new("ss").args(["-tinHOp"]).output();
    let sockets = sockets.map(|output| output.stdout).unwrap_or_default();
    let sockets = String::from_utf8_lossy(&sockets).into_owned();
    let names = cluster.daemon_names();
    let usages = names.into_iter().filter_map(|name| {
        let id = cluster.daemon_id(&name)?;
        Some(Usage {
            name,
            processor_s: processor_s(id)?,
            sent_bytes: sent_bytes(&sockets, id),
        })
    });
    usages.collect()
}

fn processor_s(id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, fields) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// The bytes sent on all open sockets of a process, as `ss` shows them.
fn sent_bytes(sockets: &str, id: u32) -> u64 {
    let owner = format!("pid={id},");
    let own = sockets.lines().filter(|line| line.contains(&owner));
    own.filter_map(|line| {
        let (_, rest) = line.split_once(" bytes_sent:")?;
        rest.split(' ').next()?.parse::<u64>().ok()
    })
    .sum()
}

/// Waits until `holds` on every daemon; the time since `begun`.
fn until_all(
    cluster: &Cluster,
    what: &str,
    begun: Instant,
    holds: impl Fn(&DaemonPlace) -> bool,
) -> Result<Duration, RigError> {
    let mut open: Vec<DaemonPlace> = cluster.layout.daemons().cloned().collect();
    while !open.is_empty() {
        open.retain(|place| !holds(place));
        if begun.elapsed() > LIMIT {
            let what = what.to_owned();
            let problem = format!("{} daemons did not follow", open.len());
            return Err(RigError::Refused { what, problem });
        }
    }
    Ok(begun.elapsed())
}

fn edits(what: &str, cluster: &Cluster, editor: &mut Editor, repeats: u32) -> Result<(), RigError> {
    let mut times = Vec::new();
    for _ in 0..repeats {
        let begun = Instant::now();
        let offset = editor.edit();
        times.push(until_all(cluster, what, begun, |place| {
            catalogue_next(cluster, place).is_some_and(|next| next > offset.get())
        })?);
        sleep(Duration::from_millis(150));
    }
    print(what, times);
    Ok(())
}

fn withdrawals(what: &str, cluster: &Cluster, keys: &[KeyText]) -> Result<(), RigError> {
    let daemons: Vec<DaemonPlace> = cluster.layout.daemons().cloned().collect();
    let mut times = Vec::new();
    for (key, daemon) in keys.iter().zip(daemons.iter().cycle()) {
        let (id, _) = key.text.split_once('.').unwrap_or((&key.text, ""));
        let path = format!("/keys/{id}/withdraw");
        let begun = Instant::now();
        cluster.call(Method::POST, daemon.admin, &path, "")?;
        times.push(until_all(cluster, what, begun, |place| {
            is_withdrawn(place, key)
        })?);
        sleep(Duration::from_millis(150));
    }
    print(what, times);
    Ok(())
}

fn starts(what: &str, cluster: &mut Cluster, repeats: u32) -> Result<(), RigError> {
    let daemons: Vec<DaemonPlace> = cluster.layout.daemons().cloned().collect();
    let mut times = Vec::new();
    for place in daemons.iter().cycle().take(repeats as usize) {
        cluster.kill_daemon(&place.name)?;
        let begun = Instant::now();
        cluster.start_daemon(&place.name)?;
        wait_ready(cluster, place)?;
        times.push(begun.elapsed());
        sleep(Duration::from_millis(500));
    }
    print(what, times);
    Ok(())
}

fn wait_ready(cluster: &Cluster, place: &DaemonPlace) -> Result<(), RigError> {
    cluster.wait_until("the start", LIMIT, |cluster| {
        cluster.call(Method::GET, place.admin, "/ready", "").is_ok()
    })
}

fn catalogue_next(cluster: &Cluster, place: &DaemonPlace) -> Option<u64> {
    let page = cluster.call(Method::GET, place.admin, "/state", "").ok()?;
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix("catalogue_next="));
    line?.parse().ok()
}

fn is_withdrawn(place: &DaemonPlace, key: &KeyText) -> bool {
    let mut headers = HeaderMap::new();
    let credential = format!("Bearer {}", key.text);
    if let Ok(value) = HeaderValue::from_str(&credential) {
        headers.insert(AUTHORIZATION, value);
    }
    let callers = place.callers;
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

/// Starts a daemon whose platform is an address where nobody listens.
fn start_cut(cluster: &Cluster, place: &DaemonPlace) -> Result<Child, RigError> {
    let path = cluster.directory().join(format!("{}.ini", place.name));
    let text = fs::read_to_string(&path).map_err(|source| RigError::Io {
        what: "reading settings".to_owned(),
        source,
    })?;
    let platform = cluster.layout.platform;
    let text = text.replace(&platform.to_string(), &format!("{}:9", platform.ip()));
    let path = cluster.directory().join(format!("{}-cut.ini", place.name));
    fs::write(&path, text).map_err(|source| RigError::Io {
        what: "writing settings".to_owned(),
        source,
    })?;
    let arguments = [path.display().to_string()];
    let program = cluster.program("vanillafold");
    Child::start(&place.name, &program, &arguments, cluster.directory())
}

// --- Edits -------------------------------------------------------------------------------------

/// Appends edits of one team's limit.
struct Editor {
    platform: std::net::SocketAddr,
    team: Team,
    revision: Revision,
    sequence: Sequence,
    as_of: Offset,
}

impl Editor {
    fn new(cluster: &Cluster) -> Self {
        let text = CatalogueText::parse("catalogue.ini", DEMO_CATALOGUE);
        let team = text.ok().and_then(|text| text.teams.into_iter().next());
        Self {
            platform: cluster.layout.platform,
            team: team.expect("the demonstration's catalogue has teams"),
            // All entries came with the first record.
            revision: Revision::new(1),
            sequence: Sequence::ZERO,
            as_of: Offset::new(2),
        }
    }

    /// Appends an edit; its offset.
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
