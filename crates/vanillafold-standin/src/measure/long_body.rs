//! Measures the daemon's memory while it forwards a long body.

use serde::Serialize;

use super::load_run::run_loads;
use super::{BenchRig, LoadPath, ProcessUsage};
use crate::rig::RigError;

/// How long the load sends, in seconds: so short that it sends a single request.
const SECONDS: f64 = 0.001;
const DEADLINE_MS: u64 = 300_000;

/// The direction in which a long body is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LongBodyWay {
    /// From the caller to the target, which sends it back while it arrives.
    Echo,
    /// From the target to the caller.
    Download,
}

/// The daemon's memory and CPU time for one long body.
#[derive(Debug, Clone, Serialize)]
pub struct LongBody {
    /// The direction in which the body was sent.
    pub way: LongBodyWay,
    /// The size of the body, in bytes.
    pub body_bytes: u64,
    /// The duration of the request, in seconds.
    pub seconds: f64,
    /// Resident memory before the request, in bytes.
    pub resident_before_bytes: u64,
    /// Peak resident memory at the end of the request, in bytes.
    pub peak_resident_bytes: u64,
    /// The difference between the peak and the memory before the request, in bytes.
    pub growth_bytes: u64,
    /// CPU time of the daemon, in microseconds.
    pub daemon_cpu_us: u64,
}

/// Sends one long body through the daemon and measures its memory. This must run before any load:
/// an earlier, higher peak of the daemon's memory would hide that of the body.
///
/// # Errors
///
/// [`RigError`] if the load generator fails, the body does not arrive complete and correct, or the
/// daemon's process can't be read.
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
    let before = ProcessUsage::of(rig.daemon_pid()?)?;
    let loads = run_loads(rig, LoadPath::Daemon, 1, &options)?;
    let after = ProcessUsage::of(rig.daemon_pid()?)?;
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
