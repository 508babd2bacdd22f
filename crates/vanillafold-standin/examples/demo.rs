//! The demonstration: runs a whole deployment under load and audits its traces.

use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use vanillafold_standin::rig::{
    Cluster, Interrupt, KeyWithSecret, Layout, LoadGenerators, LoadPlan, Observer, RigError,
    RigOptions, demo_catalogue, run_audit,
};

const POOLS: [&str; 5] = ["quotes", "bookings", "stock", "proofs", "archive"];
const ZONES: u8 = 4;
const DAEMONS_PER_ZONE: u8 = 2;
/// VMs of each pool in each zone: 4 zones x 5 pools x 2 = 40 VMs.
const VMS_PER_ZONE: usize = 2;
/// Requests per second, over all queues.
const RATE: u32 = 400;
/// The pause between two observations of the daemons.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Options {
    seconds: u32,
    keep: bool,
    tight: bool,
    rig: RigOptions,
}

fn options() -> bpaf::OptionParser<Options> {
    let seconds = long("seconds")
        .help("for how long the load runs")
        .argument::<u32>("N")
        .fallback(15);
    let keep = long("keep")
        .help("print every endpoint, a key and the credential, and stay until interrupted")
        .switch();
    let tight = long("tight")
        .help("limits so small that bursts reach them")
        .switch();
    let rig = RigOptions::parser(10, "run/demo");
    construct!(Options {
        seconds,
        keep,
        tight,
        rig
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

/// Runs the demonstration; returns `true` if the audit passed, and `false` also if it was interrupted.
fn demonstrate(options: &Options) -> Result<bool, RigError> {
    let interrupt = Interrupt::install()?;
    let layout = Layout::new(
        options.rig.number,
        ZONES,
        DAEMONS_PER_ZONE,
        &POOLS,
        VMS_PER_ZONE,
    );
    let catalogue = demo_catalogue(options.tight);
    let mut cluster = Cluster::start(
        layout,
        &[],
        &catalogue,
        &options.rig.directory,
        &options.rig.programs,
    )?;
    let keys = cluster.give_demo_keys()?;
    sleep(OBSERVE_INTERVAL);
    if options.keep {
        keep_running(&cluster, &keys, &interrupt);
        return Ok(true);
    }
    let plan = LoadPlan {
        seconds: options.seconds,
        rate: RATE,
        seed: 1,
    };
    let load_generators = LoadGenerators::start(&cluster, &keys, &plan)?;
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(u64::from(options.seconds)) {
        if interrupt.was_received() {
            return Ok(false);
        }
        Observer::record_all(&mut cluster)?;
        sleep(OBSERVE_INTERVAL);
    }
    for summary in load_generators.finish()? {
        println!("{summary}");
    }
    let (report, clean) = run_audit(&cluster)?;
    print!("{report}");
    Ok(clean)
}

/// Prints addresses, keys and the operators' credential, and waits until interrupted.
fn keep_running(cluster: &Cluster, keys: &[KeyWithSecret], interrupt: &Interrupt) {
    println!("platform={}", cluster.layout.platform);
    for spec in cluster.layout.daemons() {
        println!("{}_callers={}", spec.name, spec.caller_address);
        println!("{}_admin={}", spec.name, spec.admin_address);
        println!("{}_peers={}", spec.name, spec.peer_address);
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
    while !interrupt.was_received() {
        sleep(OBSERVE_INTERVAL);
    }
}

fn display(path: &Path) -> String {
    path.display().to_string()
}
