//! The demonstration: a whole deployment under load, judged by the audit.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use vanillafold_standin::rig::{
    Child, Cluster, DEMO_CATALOGUE, DEMO_TEAMS, Interrupt, KeyText, Layout, Observer, RigError,
};

const POOLS: [&str; 5] = ["quotes", "bookings", "stock", "proofs", "archive"];
const ZONES: u8 = 4;
const DAEMONS_PER_ZONE: u8 = 2;
/// VMs of each pool in each zone: 4 zones x 5 pools x 2 = 40 runners.
const VMS_PER_ZONE: usize = 2;
/// Requests a second over all queues.
const RATE: u32 = 400;
/// Between two looks at the daemons.
const OBSERVE: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Options {
    seconds: u32,
    keep: bool,
    rig: u8,
    programs: PathBuf,
    directory: PathBuf,
}

fn options() -> bpaf::OptionParser<Options> {
    let seconds = long("seconds")
        .help("for how long the load runs")
        .argument::<u32>("N")
        .fallback(15);
    let keep = long("keep")
        .help("print every endpoint, a key and the credential, and stay until interrupted")
        .switch();
    let rig = long("rig")
        .help("second byte of the loopback addresses, 1 to 250")
        .argument::<u8>("N")
        .fallback(10);
    let programs = long("programs")
        .help("directory of the built programs")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("target/release"));
    let directory = long("directory")
        .help("directory for settings, logs and traces; it is emptied")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("run/demo"));
    construct!(Options {
        seconds,
        keep,
        rig,
        programs,
        directory
    })
    .to_options()
    .descr("A whole deployment under load, judged by the audit")
}

fn main() -> ExitCode {
    let options = options().run();
    match demonstrate(&options) {
        Ok(true) => {
            println!("demo: PASS");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("demo: FAIL");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("{error}");
            println!("demo: FAIL");
            ExitCode::FAILURE
        }
    }
}

fn demonstrate(options: &Options) -> Result<bool, RigError> {
    let interrupt = Interrupt::install()?;
    let layout = Layout::new(options.rig, ZONES, DAEMONS_PER_ZONE, &POOLS, VMS_PER_ZONE);
    let mut cluster = Cluster::start(
        layout,
        &[],
        DEMO_CATALOGUE,
        &options.directory,
        &options.programs,
    )?;
    let mut keys = Vec::new();
    for team in DEMO_TEAMS {
        keys.push(cluster.give_key(&format!("{team}-1"), team)?);
    }
    sleep(OBSERVE);
    if options.keep {
        keep(&cluster, &keys, &interrupt);
        return Ok(true);
    }
    let load = start_loads(&cluster, &keys, options.seconds)?;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(u64::from(options.seconds)) {
        if interrupt.has_come() {
            return Ok(false);
        }
        Observer::note_all(&mut cluster)?;
        sleep(OBSERVE);
    }
    for child in load {
        let name = child.name().to_owned();
        let (summary, status) = child.finish()?;
        println!("{name}: {}", summary.trim());
        if !status.success() {
            return Ok(false);
        }
    }
    audit(&cluster)
}

/// The loads of each queue that needs a key, and of the open one.
fn start_loads(cluster: &Cluster, keys: &[KeyText], seconds: u32) -> Result<Vec<Child>, RigError> {
    let queues: [(&str, &[&str]); 6] = [
        ("quotes", &["cafes", "hostels", "counters", "schools"]),
        ("bookings", &["cafes", "hostels", "riders"]),
        ("stock", &["riders", "back-office"]),
        ("proofs", &["counters", "schools"]),
        ("archive", &["back-office", "schools"]),
        ("opening-hours", &[]),
    ];
    let program = cluster.standin("load");
    let rate = RATE / 6;
    let mut loads = Vec::new();
    for ((queue, teams), seed) in queues.into_iter().zip(1..) {
        let burst_start = 1_000 * seconds / 3;
        let burst_length = 1_000 * seconds / 10;
        let mut arguments = vec![
            format!("--process=load-{queue}"),
            format!("--seed={seed}"),
            format!("--seconds={seconds}"),
            format!("--rate={rate}"),
            format!("--queue={queue}"),
            format!("--burst=5@{burst_start}+{burst_length}"),
            format!("--burst=0.05@{}+{burst_length}", burst_start + burst_length),
            "--work-ms=exp:20".to_owned(),
            "--deadline-ms=2000".to_owned(),
            "--repeat-lost".to_owned(),
            format!("--trace={}", cluster.traces().display()),
        ];
        for place in cluster.layout.daemons() {
            arguments.push(format!("--to={}={}", place.name, place.callers));
        }
        for key in keys.iter().filter(|key| teams.contains(&key.team.as_str())) {
            arguments.push(format!("--key={}={}", key.team, key.text));
        }
        let name = format!("load-{queue}");
        loads.push(Child::start(
            &name,
            &program,
            &arguments,
            cluster.directory(),
        )?);
    }
    Ok(loads)
}

fn audit(cluster: &Cluster) -> Result<bool, RigError> {
    let arguments = [cluster.traces().display().to_string()];
    let child = Child::start(
        "audit",
        &cluster.standin("audit"),
        &arguments,
        cluster.directory(),
    )?;
    let (report, status) = child.finish()?;
    print!("{report}");
    Ok(status.success())
}

fn keep(cluster: &Cluster, keys: &[KeyText], interrupt: &Interrupt) {
    println!("platform={}", cluster.layout.platform);
    for place in cluster.layout.daemons() {
        println!("{}_callers={}", place.name, place.callers);
        println!("{}_admin={}", place.name, place.admin);
        println!("{}_peers={}", place.name, place.peers);
    }
    for runner in cluster.layout.runners() {
        for (vm, index) in runner.vms.iter().zip(0..) {
            println!("{vm}={}", runner.vm_address(index));
        }
    }
    for key in keys {
        println!("key_{}={}", key.team, key.text);
    }
    println!("operator_credential={}", cluster.operator_credential());
    println!("directory={}", display(cluster.directory()));
    println!("ready=true");
    while !interrupt.has_come() {
        sleep(OBSERVE);
    }
}

fn display(path: &Path) -> String {
    path.display().to_string()
}
