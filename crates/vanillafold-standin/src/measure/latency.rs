//! Measures the latency that a daemon adds to requests.

use serde::Serialize;

use super::load_run::run_loads;
use super::{BenchRig, LoadPath, LoadResult, ProcessUsage, median};
use crate::rig::RigError;

const LOAD_GENERATORS: usize = 2;
const CONNECTIONS_PER_GENERATOR: usize = 128;
const WORK_MS: u32 = 5;
const US_PER_S: f64 = 1_000_000.0;

/// The number and length of the rounds, and their load.
#[derive(Debug, Clone, Copy)]
pub struct LatencyPlan {
    /// The number of pairs of rounds, one through the daemon and one direct.
    pub rounds: u32,
    /// The length of a round, in seconds.
    pub seconds: f64,
    /// The request rate of the rounds, as a share of the saturation rate.
    pub load_share: f64,
}

/// The saturation rate: how many requests per second one daemon answers in a closed loop.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Saturation {
    /// Requests per second in each round.
    pub per_s: Vec<f64>,
    /// CPU time of the daemon in each round, as a share of one core; below 1 if other processes used
    /// the CPU.
    pub daemon_cores: Vec<f64>,
    /// The median of the requests per second.
    pub median_per_s: f64,
}

/// Latencies through the daemon and directly to the runners, at the same rates.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AddedLatency {
    /// The saturation rate, measured just before each pair of rounds.
    pub saturation: Saturation,
    /// The request rate of each pair, per second.
    pub rates_per_s: Vec<f64>,
    /// CPU time of the daemon in each round through it, as a share of one core.
    pub daemon_cores: Vec<f64>,
    /// Medians directly to the runners, in microseconds.
    pub direct_p50_us: Vec<f64>,
    /// 99th percentiles directly to the runners, in microseconds.
    pub direct_p99_us: Vec<f64>,
    /// Medians through the daemon, in microseconds.
    pub through_p50_us: Vec<f64>,
    /// 99th percentiles through the daemon, in microseconds.
    pub through_p99_us: Vec<f64>,
    /// 99th percentiles of the delay between a request's intended start and its sending, through the
    /// daemon, in microseconds.
    pub through_send_late_p99_us: Vec<f64>,
    /// 99th percentiles of the delay between a request's intended start and its sending, directly to
    /// the runners, in microseconds.
    pub direct_send_late_p99_us: Vec<f64>,
    /// The added latency at the median: through the daemon minus direct, median over all pairs, in
    /// microseconds.
    pub added_p50_us: f64,
    /// The added latency at the 99th percentile: through the daemon minus direct, median over all
    /// pairs, in microseconds.
    pub added_p99_us: f64,
}

/// Measures latencies at a share of the saturation rate, in pairs of rounds. The saturation rate is
/// measured again before each pair because it drifts on a computer with other load.
///
/// # Errors
///
/// [`RigError`] if a load generator fails or a request does not end in a correct answer.
pub fn measure_added_latency(rig: &BenchRig, plan: &LatencyPlan) -> Result<AddedLatency, RigError> {
    let mut result = AddedLatency::default();
    for number in 0..plan.rounds {
        saturate(rig, plan.seconds, &mut result.saturation)?;
        let saturation = result.saturation.per_s.last().copied().unwrap_or_default();
        let rate_per_s = saturation * plan.load_share;
        result.rates_per_s.push(rate_per_s);
        let paths = match number % 2 {
            0 => [LoadPath::Direct, LoadPath::Daemon],
            _ => [LoadPath::Daemon, LoadPath::Direct],
        };
        for path in paths {
            measure_round(rig, path, plan.seconds, rate_per_s, &mut result)?;
        }
    }
    result.saturation.median_per_s = median(result.saturation.per_s.clone());
    result.added_p50_us = median_added(&result.through_p50_us, &result.direct_p50_us);
    result.added_p99_us = median_added(&result.through_p99_us, &result.direct_p99_us);
    Ok(result)
}

/// Measures the saturation rate with a closed loop through the daemon.
fn saturate(rig: &BenchRig, seconds: f64, result: &mut Saturation) -> Result<(), RigError> {
    let options = [
        format!("--closed={CONNECTIONS_PER_GENERATOR}"),
        format!("--seconds={seconds}"),
        format!("--work-ms={WORK_MS}"),
        "--answer-bytes=100".to_owned(),
    ];
    let before = ProcessUsage::of(rig.daemon_pid()?)?.cpu_us;
    let loads = run_loads(rig, LoadPath::Daemon, LOAD_GENERATORS, &options)?;
    let cpu_us = ProcessUsage::of(rig.daemon_pid()?)?.cpu_us - before;
    result
        .per_s
        .push(loads.iter().map(LoadResult::answers_per_s).sum());
    result.daemon_cores.push(daemon_core_share(cpu_us, &loads));
    Ok(())
}

fn measure_round(
    rig: &BenchRig,
    path: LoadPath,
    seconds: f64,
    rate_per_s: f64,
    result: &mut AddedLatency,
) -> Result<(), RigError> {
    let options = [
        format!("--rate={}", rate_per_s / LOAD_GENERATORS as f64),
        format!("--connections={CONNECTIONS_PER_GENERATOR}"),
        format!("--seconds={seconds}"),
        format!("--work-ms={WORK_MS}"),
        "--answer-bytes=100".to_owned(),
    ];
    let before = ProcessUsage::of(rig.daemon_pid()?)?.cpu_us;
    let loads = run_loads(rig, path, LOAD_GENERATORS, &options)?;
    let cpu_us = ProcessUsage::of(rig.daemon_pid()?)?.cpu_us - before;
    let mean = |value: fn(&LoadResult) -> u64| {
        loads.iter().map(value).sum::<u64>() as f64 / loads.len() as f64
    };
    let p50 = mean(|load| load.answer_us.p50);
    let p99 = mean(|load| load.answer_us.p99);
    let late = mean(|load| load.send_late_us.p99);
    match path {
        LoadPath::Direct => {
            result.direct_p50_us.push(p50);
            result.direct_p99_us.push(p99);
            result.direct_send_late_p99_us.push(late);
        }
        LoadPath::Daemon => {
            result.daemon_cores.push(daemon_core_share(cpu_us, &loads));
            result.through_p50_us.push(p50);
            result.through_p99_us.push(p99);
            result.through_send_late_p99_us.push(late);
        }
    }
    Ok(())
}

/// Returns CPU time as a share of one core during the longest of the loads.
fn daemon_core_share(cpu_us: u64, loads: &[LoadResult]) -> f64 {
    let longest = loads.iter().map(|load| load.seconds).fold(0.0, f64::max);
    cpu_us as f64 / US_PER_S / longest
}

/// Returns the median of the differences between the latencies of each pair.
fn median_added(through: &[f64], direct: &[f64]) -> f64 {
    let pairs = through.iter().zip(direct);
    median(pairs.map(|(through, direct)| through - direct).collect())
}
