//! The benchmark: measures throughput, added latency and memory of one daemon and compares each with
//! its bound.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use serde::Serialize;
use vanillafold_standin::measure::{
    AddedLatency, BenchRig, Bound, IdleConnections, LatencyPlan, LongBody, LongBodyWay, Throughput,
    Verdict, measure_added_latency, measure_idle_connections, measure_long_body,
    measure_throughput, write_json,
};
use vanillafold_standin::rig::{RigError, RigOptions};

/// The minimum ratio of requests per second of CPU time, through the daemon to direct.
const MIN_RATIO: f64 = 0.45;
/// The maximum added latency at the 99th percentile.
const MAX_ADDED_P99_US: f64 = 1_000.0;
/// The maximum growth of the daemon's memory while it forwards a long body.
const MAX_BODY_GROWTH_MIB: f64 = 16.0;
/// The maximum memory of the daemon with [`IDLE_CONNECTIONS`].
const MAX_IDLE_MB: f64 = 128.0;
/// The size of a long body: 1 GiB.
const LONG_BODY_BYTES: u64 = 1 << 30;
/// The number of idle caller connections.
const IDLE_CONNECTIONS: usize = 10_000;
/// The request rate at which latency is measured, as a share of the saturation rate.
const LOAD_SHARE: f64 = 0.7;
const BYTES_PER_MIB: f64 = 1_048_576.0;
const BYTES_PER_MB: f64 = 1_000_000.0;

#[derive(Debug)]
struct Options {
    rounds: u32,
    seconds: f64,
    rig: RigOptions,
    name: String,
    results: PathBuf,
}

fn options() -> bpaf::OptionParser<Options> {
    let rounds = long("rounds")
        .help("pairs of rounds of each measurement")
        .argument::<u32>("N")
        .fallback(15);
    let seconds = long("seconds")
        .help("length of a round")
        .argument::<f64>("S")
        .fallback(0.8);
    let rig = RigOptions::parser(40, "run/bench");
    let name = long("name")
        .help("name of the results file, without its ending")
        .argument::<String>("NAME")
        .fallback("latest".to_owned());
    let results = long("results")
        .help("directory of the results")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("bench/results"));
    construct!(Options {
        rounds,
        seconds,
        rig,
        name,
        results
    })
    .to_options()
    .descr("Throughput, added latency and memory of one daemon against their targets")
}

/// The file of results of a run.
#[derive(Debug, Serialize)]
struct Results {
    remark: &'static str,
    verdicts: Vec<Verdict>,
    throughput: Throughput,
    latency: AddedLatency,
    long_bodies: Vec<LongBody>,
    idle_connections: IdleConnections,
}

fn main() -> ExitCode {
    let options = options().run();
    match measure(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            println!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all measurements and writes the file of results; returns `true` if all bounds are met.
fn measure(options: &Options) -> Result<bool, RigError> {
    let rig = BenchRig::start(
        options.rig.number,
        &options.rig.directory,
        &options.rig.programs,
    )?;
    // Long bodies come first, while the peak of the daemon's memory is still low.
    let mut long_bodies = Vec::new();
    for way in [LongBodyWay::Echo, LongBodyWay::Download] {
        long_bodies.push(measure_long_body(&rig, way, LONG_BODY_BYTES)?);
    }
    let throughput = measure_throughput(&rig, options.rounds, options.seconds)?;
    let plan = LatencyPlan {
        rounds: options.rounds,
        seconds: options.seconds,
        load_share: LOAD_SHARE,
    };
    let latency = measure_added_latency(&rig, &plan)?;
    let idle_connections = measure_idle_connections(&rig, IDLE_CONNECTIONS)?;
    let verdicts = verdicts(&throughput, &latency, &long_bodies, &idle_connections);
    let results = Results {
        remark: "load, runners and daemon share one machine with other work",
        verdicts,
        throughput,
        latency,
        long_bodies,
        idle_connections,
    };
    print(&results);
    let path = options.results.join(format!("{}.json", options.name));
    write_json(&path, &results)?;
    println!("written to {}", path.display());
    Ok(results.verdicts.iter().all(|verdict| verdict.passed))
}

fn verdicts(
    throughput: &Throughput,
    latency: &AddedLatency,
    long_bodies: &[LongBody],
    idle: &IdleConnections,
) -> Vec<Verdict> {
    let growth = |way| {
        let bodies = long_bodies.iter().filter(|body| body.way == way);
        bodies.map(|body| body.growth_bytes).max().unwrap_or(0) as f64 / BYTES_PER_MIB
    };
    vec![
        Verdict::new(
            "requests a CPU second, through / direct",
            "",
            throughput.median_ratio,
            Bound::AtLeast(MIN_RATIO),
        ),
        Verdict::new(
            "added latency, 99th percentile",
            "us",
            latency.added_p99_us,
            Bound::AtMost(MAX_ADDED_P99_US),
        ),
        Verdict::new(
            "memory growth, 1 GiB echoed",
            "MiB",
            growth(LongBodyWay::Echo),
            Bound::AtMost(MAX_BODY_GROWTH_MIB),
        ),
        Verdict::new(
            "memory growth, 1 GiB downloaded",
            "MiB",
            growth(LongBodyWay::Download),
            Bound::AtMost(MAX_BODY_GROWTH_MIB),
        ),
        Verdict::new(
            "memory with 10,000 idle connections",
            "MB",
            idle.resident_bytes as f64 / BYTES_PER_MB,
            Bound::AtMost(MAX_IDLE_MB),
        ),
    ]
}

fn print(results: &Results) {
    for verdict in &results.verdicts {
        println!("{verdict}");
    }
    println!(
        "daemon alone: {:.0} requests a CPU second; saturation {:.0}/s; added p50 {:.0} us",
        results.throughput.median_daemon_per_cpu_s,
        results.latency.saturation.median_per_s,
        results.latency.added_p50_us,
    );
}
