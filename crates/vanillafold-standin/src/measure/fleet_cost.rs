//! What a fleet costs one daemon, by its size.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde::Serialize;

use super::{FleetRig, FleetSize, LinearFit};
use crate::rig::RigError;

/// Longer than the daemons take to look at all zones.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const IDLE_TIME: Duration = Duration::from_secs(10);
const EDITS: u32 = 20;
const VM_CHANGES: u32 = 10;
/// Longer than the daemons' interval between two looks at their own zone.
const VM_CHANGE_PAUSE: Duration = Duration::from_millis(700);

/// What a fleet of one size costs one daemon.
#[derive(Debug, Clone, Serialize)]
pub struct FleetCost {
    /// The size.
    pub size: FleetSize,
    /// VMs that the daemon shows.
    pub shown_vms: usize,
    /// The daemon's memory with the catalogue and no VM.
    pub resident_before_bytes: u64,
    /// The daemon's memory with every VM.
    pub resident_bytes: u64,
    /// The most memory so far.
    pub peak_resident_bytes: u64,
    /// Processor time to take in the whole VM list, in milliseconds.
    pub list_cpu_ms: f64,
    /// Size of the whole VM list.
    pub list_bytes: usize,
    /// Processor time at rest, as a share of a core.
    pub idle_core_share: f64,
    /// Processor time for an edit of the catalogue, in milliseconds.
    pub edit_cpu_ms: f64,
    /// Size of an edit's record as it is read, in bytes.
    pub edit_bytes: f64,
    /// Processor time for a change of a VM's state, in milliseconds.
    pub vm_change_cpu_ms: f64,
    /// Processor time for the state page, in milliseconds.
    pub state_page_cpu_ms: f64,
    /// Size of the state page.
    pub state_page_bytes: usize,
}

/// Measures what a fleet of `size` costs one daemon.
///
/// # Errors
///
/// [`RigError`].
pub fn measure_fleet_cost(
    rig: u8,
    size: FleetSize,
    directory: &Path,
    programs: &Path,
) -> Result<FleetCost, RigError> {
    let mut rig = FleetRig::start(rig, (1, 1), size, directory, programs)?;
    sleep(SETTLE_TIME);
    let before = rig.first_usage()?;
    rig.list_vms()?;
    sleep(SETTLE_TIME);
    let listed = rig.first_usage()?;
    let idle_core_share = rig.mean_core_share(IDLE_TIME)?;
    let page_begun = rig.first_usage()?;
    let (shown_vms, state_page_bytes) = rig.shown_vms()?;
    let page_done = rig.first_usage()?;
    let edits_begin = log_bytes(&rig)?;
    let edit_cpu_ms = mean_step_cpu_ms(&mut rig, EDITS, idle_core_share, FleetRig::publish_edit)?;
    let edit_bytes = (log_bytes(&rig)? - edits_begin) as f64 / f64::from(EDITS);
    let mut number = 0;
    let vm_change_cpu_ms = mean_step_cpu_ms(&mut rig, VM_CHANGES, idle_core_share, |rig| {
        number += 1;
        rig.change_vm(number, "leaving")?;
        sleep(VM_CHANGE_PAUSE);
        Ok(())
    })?;
    let end = rig.first_usage()?;
    Ok(FleetCost {
        size,
        shown_vms,
        resident_before_bytes: before.resident_bytes,
        resident_bytes: listed.resident_bytes,
        peak_resident_bytes: end.peak_resident_bytes,
        list_cpu_ms: milliseconds(listed.cpu_us - before.cpu_us),
        list_bytes: rig.platform_answer_bytes("/vms?since=0")?,
        idle_core_share,
        edit_cpu_ms,
        edit_bytes,
        vm_change_cpu_ms,
        state_page_cpu_ms: milliseconds(page_done.cpu_us - page_begun.cpu_us),
        state_page_bytes,
    })
}

/// The value of a cost at a number of VMs, by the line through the measured sizes.
#[must_use]
pub fn extrapolate(costs: &[FleetCost], vms: f64, value: impl Fn(&FleetCost) -> f64) -> f64 {
    let points: Vec<(f64, f64)> = costs
        .iter()
        .map(|cost| (cost.size.vms as f64, value(cost)))
        .collect();
    LinearFit::least_squares(&points).value_at(vms)
}

fn mean_step_cpu_ms(
    rig: &mut FleetRig,
    times: u32,
    idle_core_share: f64,
    mut step: impl FnMut(&mut FleetRig) -> Result<(), RigError>,
) -> Result<f64, RigError> {
    let started_at = std::time::Instant::now();
    let before = rig.first_usage()?.cpu_us;
    for _ in 0..times {
        step(rig)?;
    }
    // The last step may still be on its way.
    sleep(VM_CHANGE_PAUSE);
    let used_ms = milliseconds(rig.first_usage()?.cpu_us - before);
    let idle_ms = started_at.elapsed().as_secs_f64() * 1_000.0 * idle_core_share;
    Ok((used_ms - idle_ms).max(0.0) / f64::from(times))
}

fn log_bytes(rig: &FleetRig) -> Result<usize, RigError> {
    rig.platform_answer_bytes("/log/catalogue?from=1&max=1000&wait_ms=0")
}

fn milliseconds(cpu_us: u64) -> f64 {
    cpu_us as f64 / 1_000.0
}
