//! The capacity run: measures what a fleet and its peers cost a daemon at several sizes, and
//! extrapolates the cost to the long-run size.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use serde::Serialize;
use vanillafold_standin::measure::{
    Bound, FleetCost, FleetSize, LinearFit, PeerCost, Verdict, extrapolate, measure_fleet_cost,
    measure_peer_cost, write_json,
};
use vanillafold_standin::rig::{RigError, RigOptions};

/// VMs at the long-run size.
const VMS: usize = 16_000;
/// Pools at the long-run size.
const POOLS: usize = 317;
/// The divisors of the long-run size at which a fleet is measured.
const DIVISORS: [usize; 3] = [16, 4, 1];
/// The numbers of zones, of two daemons each, at which the cost of peers is measured.
const ZONES: [u8; 4] = [1, 2, 4, 8];
/// Daemons at the long-run size: 32 zones of 3 daemons.
const DAEMONS: f64 = 96.0;
/// Catalogue edits per day at the long-run size.
const EDITS_PER_DAY: f64 = 42_000.0;
/// Changes of VM states per day at the long-run size. Each VM has maintenance once in 56 days, and
/// there are 200 failures and 6,300 restarts a day. Each of these is 2 changes: out of service and
/// back.
const VM_CHANGES_PER_DAY: f64 = 2.0 * (VMS as f64 / 56.0 + 200.0 + 6_300.0);
const SECONDS_PER_DAY: f64 = 86_400.0;
/// The maximum CPU time of control in a daemon, in percent of one core.
const MAX_CORE_PERCENT: f64 = 1.3;
/// The maximum memory of a daemon, in MB.
const MAX_MB: f64 = 128.0;
/// The maximum network traffic of control at a daemon.
const MAX_KB_PER_S: f64 = 24.0;
const BYTES_PER_MB: f64 = 1_000_000.0;
const BYTES_PER_KB: f64 = 1_000.0;

#[derive(Debug)]
struct Options {
    rig: RigOptions,
    name: String,
    results: PathBuf,
}

fn options() -> bpaf::OptionParser<Options> {
    let rig = RigOptions::parser(50, "run/capacity");
    let name = long("name")
        .help("name of the results file, without its ending")
        .argument::<String>("NAME")
        .fallback("latest-capacity".to_owned());
    let results = long("results")
        .help("directory of the results")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("bench/results"));
    construct!(Options { rig, name, results })
        .to_options()
        .descr("What a fleet and its peers cost a daemon, worked out for the long-run size")
}

/// The file of results of a run: the measurements, their extrapolation and the verdicts.
#[derive(Debug, Serialize)]
struct Results {
    remark: &'static str,
    fleets: Vec<FleetCost>,
    peers: Vec<PeerCost>,
    worked_out: WorkedOut,
    verdicts: Vec<Verdict>,
}

/// The cost of control in each daemon, extrapolated to the long-run size.
#[derive(Debug, Serialize)]
struct WorkedOut {
    edits_core_percent: f64,
    vm_changes_core_percent: f64,
    vms_idle_core_percent: f64,
    peers_core_percent: f64,
    memory_mb: f64,
    peers_kb_per_s: f64,
    platform_kb_per_s: f64,
    edits_kb_per_s: f64,
    vm_changes_kb_per_s: f64,
}

fn main() -> ExitCode {
    let options = options().run();
    match measure(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            println!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all measurements and writes the file of results; returns `true` if all bounds are met.
fn measure(options: &Options) -> Result<bool, RigError> {
    let RigOptions {
        number: rig,
        directory,
        programs,
    } = &options.rig;
    let mut fleets = Vec::new();
    for divisor in DIVISORS {
        let size = FleetSize {
            vms: VMS / divisor,
            pools: POOLS / divisor,
        };
        let cost = measure_fleet_cost(*rig, size, directory, programs)?;
        print_fleet(&cost);
        fleets.push(cost);
    }
    let mut peers = Vec::new();
    for zones in ZONES {
        let cost = measure_peer_cost(*rig, zones, directory, programs)?;
        print_peers(&cost);
        peers.push(cost);
    }
    let worked_out = extrapolate_costs(&fleets, &peers);
    let results = Results {
        remark: "all processes share one machine with other work",
        verdicts: verdicts(&worked_out),
        fleets,
        peers,
        worked_out,
    };
    println!("{:#?}", results.worked_out);
    for verdict in &results.verdicts {
        println!("{verdict}");
    }
    let path = options.results.join(format!("{}.json", options.name));
    write_json(&path, &results)?;
    println!("written to {}", path.display());
    Ok(results.verdicts.iter().all(|verdict| verdict.passed))
}

/// Extrapolates the measured costs to the long-run size.
fn extrapolate_costs(fleets: &[FleetCost], peers: &[PeerCost]) -> WorkedOut {
    let at_full = |value: fn(&FleetCost) -> f64| extrapolate(fleets, VMS as f64, value).max(0.0);
    let by_daemons = |value: fn(&PeerCost) -> f64| {
        let points: Vec<(f64, f64)> = peers
            .iter()
            .map(|cost| (f64::from(cost.daemons), value(cost)))
            .collect();
        LinearFit::least_squares(&points)
    };
    let edits_per_s = EDITS_PER_DAY / SECONDS_PER_DAY;
    let vm_changes_per_s = VM_CHANGES_PER_DAY / SECONDS_PER_DAY;
    let core_percent = |ms_each: f64, per_s: f64| ms_each * per_s / 10.0;
    let line_bytes = at_full(|cost| cost.list_bytes as f64) / VMS as f64;
    let memory_of_peers = by_daemons(|cost| cost.resident_bytes);
    WorkedOut {
        edits_core_percent: core_percent(at_full(|cost| cost.edit_cpu_ms), edits_per_s),
        vm_changes_core_percent: core_percent(
            at_full(|cost| cost.vm_change_cpu_ms),
            vm_changes_per_s,
        ),
        vms_idle_core_percent: at_full(|cost| cost.idle_core_share) * 100.0,
        peers_core_percent: by_daemons(|cost| cost.core_share).slope.max(0.0) * DAEMONS * 100.0,
        memory_mb: (at_full(|cost| cost.peak_resident_bytes as f64)
            + memory_of_peers.slope.max(0.0) * DAEMONS)
            / BYTES_PER_MB,
        peers_kb_per_s: by_daemons(|cost| cost.peer_bytes_per_s).value_at(DAEMONS) / BYTES_PER_KB,
        platform_kb_per_s: by_daemons(|cost| cost.platform_bytes_per_s).value_at(DAEMONS)
            / BYTES_PER_KB,
        edits_kb_per_s: fleets.last().map_or(0.0, |cost| cost.edit_bytes) * edits_per_s
            / BYTES_PER_KB,
        vm_changes_kb_per_s: line_bytes * vm_changes_per_s / BYTES_PER_KB,
    }
}

fn verdicts(worked_out: &WorkedOut) -> Vec<Verdict> {
    let core_percent = worked_out.edits_core_percent
        + worked_out.vm_changes_core_percent
        + worked_out.vms_idle_core_percent
        + worked_out.peers_core_percent;
    let kb_per_s = worked_out.peers_kb_per_s
        + worked_out.platform_kb_per_s
        + worked_out.edits_kb_per_s
        + worked_out.vm_changes_kb_per_s;
    vec![
        Verdict::new(
            "control of a daemon, processor",
            "% core",
            core_percent,
            Bound::AtMost(MAX_CORE_PERCENT),
        ),
        Verdict::new(
            "control of a daemon, memory",
            "MB",
            worked_out.memory_mb,
            Bound::AtMost(MAX_MB),
        ),
        Verdict::new(
            "control of a daemon, network",
            "KB/s",
            kb_per_s,
            Bound::AtMost(MAX_KB_PER_S),
        ),
    ]
}

fn print_fleet(cost: &FleetCost) {
    println!(
        "vms={} pools={} shown={} rss_mb={:.1} peak_mb={:.1} list_cpu_ms={:.0} list_bytes={} \
         idle_core_percent={:.2} edit_cpu_ms={:.2} edit_bytes={:.0} vm_change_cpu_ms={:.2} \
         state_page_cpu_ms={:.0} state_page_bytes={}",
        cost.size.vms,
        cost.size.pools,
        cost.shown_vms,
        cost.resident_bytes as f64 / BYTES_PER_MB,
        cost.peak_resident_bytes as f64 / BYTES_PER_MB,
        cost.list_cpu_ms,
        cost.list_bytes,
        cost.idle_core_share * 100.0,
        cost.edit_cpu_ms,
        cost.edit_bytes,
        cost.vm_change_cpu_ms,
        cost.state_page_cpu_ms,
        cost.state_page_bytes,
    );
}

fn print_peers(cost: &PeerCost) {
    println!(
        "daemons={} core_percent={:.2} rss_mb={:.1} peer_bytes_per_s={:.0} \
         platform_bytes_per_s={:.0}",
        cost.daemons,
        cost.core_share * 100.0,
        cost.resident_bytes / BYTES_PER_MB,
        cost.peer_bytes_per_s,
        cost.platform_bytes_per_s,
    );
}
