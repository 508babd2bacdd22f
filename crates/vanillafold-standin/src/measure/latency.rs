//! The latency that a daemon adds.

use serde::Serialize;

use super::load_run::run_loads;
use super::{BenchRig, LoadPath, LoadResult, ProcessUsage, median};
use crate::rig::RigError;

const LOAD_PROCESSES: usize = 2;
const CONNECTIONS_PER_LOAD: usize = 128;
const WORK_MS: u32 = 5;
const US_PER_S: f64 = 1_000_000.0;

/// How much is measured.
#[derive(Debug, Clone, Copy)]
pub struct LatencyPlan {
    /// Pairs of rounds.
    pub rounds: u32,
    /// The length of a round, in seconds.
    pub seconds: f64,
    /// The share of saturation at which it is measured.
    pub load_share: f64,
}

/// The most requests a second that one daemon answers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Saturation {
    /// Requests a second in each round.
    pub per_s: Vec<f64>,
    /// The daemon's use of one core in each round; below 1 where the machine was busy.
    pub daemon_cores: Vec<f64>,
    /// The median of the requests.
    pub median_per_s: f64,
}

/// Latencies through the daemon and straight at the same rate.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AddedLatency {
    /// What the daemon answered in a closed loop just before each pair.
    pub saturation: Saturation,
    /// The rate of each pair.
    pub rates_per_s: Vec<f64>,
    /// The daemon's use of one core in each round.
    pub daemon_cores: Vec<f64>,
    /// Medians straight to the runners, in microseconds.
    pub direct_p50_us: Vec<f64>,
    /// 99th percentiles straight to the runners, in microseconds.
    pub direct_p99_us: Vec<f64>,
    /// Medians through the daemon, in microseconds.
    pub through_p50_us: Vec<f64>,
    /// 99th percentiles through the daemon, in microseconds.
    pub through_p99_us: Vec<f64>,
    /// How late the load sent, 99th percentile through the daemon, in microseconds.
    pub through_send_late_p99_us: Vec<f64>,
    /// The same straight to the runners.
    pub direct_send_late_p99_us: Vec<f64>,
    /// Median over the pairs of through less direct at the median, in microseconds.
    pub added_p50_us: f64,
    /// Median over the pairs of through less direct at the 99th percentile, in microseconds.
    pub added_p99_us: f64,
}

/// Measures latencies at a share of saturation, in pairs of rounds. Saturation is measured anew
/// before each pair: on a shared machine it drifts.
///
/// # Errors
///
/// [`RigError`].
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

/// A closed loop through the daemon.
fn saturate(rig: &BenchRig, seconds: f64, result: &mut Saturation) -> Result<(), RigError> {
    let options = [
        format!("--closed={CONNECTIONS_PER_LOAD}"),
        format!("--seconds={seconds}"),
        format!("--work-ms={WORK_MS}"),
        "--answer-bytes=100".to_owned(),
    ];
    let before = ProcessUsage::of(rig.daemon_id()?)?.cpu_us;
    let loads = run_loads(rig, LoadPath::Daemon, LOAD_PROCESSES, &options)?;
    let cpu_us = ProcessUsage::of(rig.daemon_id()?)?.cpu_us - before;
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
        format!("--rate={}", rate_per_s / LOAD_PROCESSES as f64),
        format!("--connections={CONNECTIONS_PER_LOAD}"),
        format!("--seconds={seconds}"),
        format!("--work-ms={WORK_MS}"),
        "--answer-bytes=100".to_owned(),
    ];
    let before = ProcessUsage::of(rig.daemon_id()?)?.cpu_us;
    let loads = run_loads(rig, path, LOAD_PROCESSES, &options)?;
    let cpu_us = ProcessUsage::of(rig.daemon_id()?)?.cpu_us - before;
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

fn daemon_core_share(cpu_us: u64, loads: &[LoadResult]) -> f64 {
    let longest = loads.iter().map(|load| load.seconds).fold(0.0, f64::max);
    cpu_us as f64 / US_PER_S / longest
}

fn median_added(through: &[f64], direct: &[f64]) -> f64 {
    let pairs = through.iter().zip(direct);
    median(pairs.map(|(through, direct)| through - direct).collect())
}
