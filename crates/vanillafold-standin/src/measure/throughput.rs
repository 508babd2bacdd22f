//! Measures the requests per second of CPU time, directly to the runners and through a daemon.

use serde::Serialize;

use super::load_run::run_loads;
use super::{BenchRig, LoadPath, ProcessUsage, median};
use crate::rig::RigError;

const US_PER_S: f64 = 1_000_000.0;
const CONNECTIONS: usize = 32;

/// Requests per second of CPU time, in each round and as medians.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Throughput {
    /// Requests directly to the runners per second of CPU time of load and runners, in each round.
    pub direct_per_cpu_s: Vec<f64>,
    /// Requests through the daemon per second of CPU time of load, runners and daemon, in each round.
    pub through_per_cpu_s: Vec<f64>,
    /// Requests through the daemon per second of CPU time of the daemon alone, in each round.
    pub daemon_per_cpu_s: Vec<f64>,
    /// `through_per_cpu_s` divided by `direct_per_cpu_s`, for each pair of consecutive rounds.
    pub ratios: Vec<f64>,
    /// The median of `ratios`.
    pub median_ratio: f64,
    /// The median of `daemon_per_cpu_s`.
    pub median_daemon_per_cpu_s: f64,
}

/// The requests of one round and the CPU time that they took.
struct Round {
    requests: f64,
    /// CPU time of all processes that the path of the requests involves.
    all_cpu_us: f64,
    daemon_cpu_us: f64,
}

/// Measures `rounds` pairs of rounds, each `seconds` long, with small bodies and no work.
///
/// # Errors
///
/// [`RigError`] if a load generator fails or a request does not end in a correct answer.
pub fn measure_throughput(
    rig: &BenchRig,
    rounds: u32,
    seconds: f64,
) -> Result<Throughput, RigError> {
    let mut result = Throughput::default();
    for number in 0..rounds {
        // The order of the two paths alternates, so that a drift in the speed of the computer cancels
        // out.
        let paths = match number % 2 {
            0 => [LoadPath::Direct, LoadPath::Daemon],
            _ => [LoadPath::Daemon, LoadPath::Direct],
        };
        for path in paths {
            let round = measure_round(rig, path, seconds)?;
            let per_cpu_s = round.requests * US_PER_S / round.all_cpu_us;
            match path {
                LoadPath::Direct => result.direct_per_cpu_s.push(per_cpu_s),
                LoadPath::Daemon => {
                    result.through_per_cpu_s.push(per_cpu_s);
                    let own = round.requests * US_PER_S / round.daemon_cpu_us;
                    result.daemon_per_cpu_s.push(own);
                }
            }
        }
    }
    let pairs = result
        .through_per_cpu_s
        .iter()
        .zip(&result.direct_per_cpu_s);
    result.ratios = pairs.map(|(through, direct)| through / direct).collect();
    result.median_ratio = median(result.ratios.clone());
    result.median_daemon_per_cpu_s = median(result.daemon_per_cpu_s.clone());
    Ok(result)
}

fn measure_round(rig: &BenchRig, path: LoadPath, seconds: f64) -> Result<Round, RigError> {
    let options = [
        format!("--closed={CONNECTIONS}"),
        format!("--seconds={seconds}"),
        "--work-ms=0".to_owned(),
        "--answer-bytes=100".to_owned(),
    ];
    let daemon = rig.daemon_pid()?;
    let runners = rig.runner_pids();
    let daemon_before = ProcessUsage::of(daemon)?.cpu_us;
    let runners_before = ProcessUsage::cpu_us_of(&runners)?;
    let loads = run_loads(rig, path, 1, &options)?;
    let daemon_cpu_us = ProcessUsage::of(daemon)?.cpu_us - daemon_before;
    let runner_cpu_us = ProcessUsage::cpu_us_of(&runners)? - runners_before;
    let load_cpu_us: u64 = loads.iter().map(super::LoadResult::cpu_us).sum();
    let involved = match path {
        LoadPath::Direct => load_cpu_us + runner_cpu_us,
        LoadPath::Daemon => load_cpu_us + runner_cpu_us + daemon_cpu_us,
    };
    Ok(Round {
        requests: loads.iter().map(|load| load.sent).sum::<u64>() as f64,
        all_cpu_us: involved as f64,
        daemon_cpu_us: daemon_cpu_us.max(1) as f64,
    })
}
