//! The daemon's memory while long bodies pass.

use serde::Serialize;

use super::load_run::run_loads;
use super::{BenchRig, LoadPath, ProcessUsage};
use crate::rig::RigError;

/// Short enough that a single request is sent.
const SECONDS: f64 = 0.001;
const DEADLINE_MS: u64 = 300_000;

/// Which way a long body goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LongBodyWay {
    /// From the caller to the target and back while it arrives.
    Echo,
    /// From the target to the caller.
    Download,
}

/// The daemon's memory around one long body.
#[derive(Debug, Clone, Serialize)]
pub struct LongBody {
    /// Which way it went.
    pub way: LongBodyWay,
    /// Its size.
    pub body_bytes: u64,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// Resident memory before.
    pub resident_before_bytes: u64,
    /// The most resident memory until its end.
    pub peak_resident_bytes: u64,
    /// By how much the peak is above the memory before.
    pub growth_bytes: u64,
    /// Processor time of the daemon, in microseconds.
    pub daemon_cpu_us: u64,
}

/// Sends one long body through the daemon. The daemon must not have had a higher peak before, so
/// this goes before any load.
///
/// # Errors
///
/// [`RigError`], also if the body does not come back whole.
pub fn measure_long_body(
    rig: &BenchRig,
    way: LongBodyWay,
    body_bytes: u64,
) -> Result<LongBody, RigError> {
    let mut options = vec![
        "--closed=1".to_owned(),
        format!("--seconds={SECONDS}"),
        "--work-ms=0".to_owned(),
        format!("--deadline-ms={DEADLINE_MS}"),
    ];
    match way {
        LongBodyWay::Echo => {
            options.push("--echo-share=1".to_owned());
            options.push(format!("--body-bytes={body_bytes}"));
        }
        LongBodyWay::Download => options.push(format!("--answer-bytes={body_bytes}")),
    }
    let before = ProcessUsage::of(rig.daemon_id()?)?;
    let loads = run_loads(rig, LoadPath::Daemon, 1, &options)?;
    let after = ProcessUsage::of(rig.daemon_id()?)?;
    Ok(LongBody {
        way,
        body_bytes,
        seconds: loads[0].seconds,
        resident_before_bytes: before.resident_bytes,
        peak_resident_bytes: after.peak_resident_bytes,
        growth_bytes: after
            .peak_resident_bytes
            .saturating_sub(before.resident_bytes),
        daemon_cpu_us: after.cpu_us - before.cpu_us,
    })
}
