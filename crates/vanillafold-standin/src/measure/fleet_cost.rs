//! Measures how CPU time and memory of one daemon depend on the size of the fleet.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde::Serialize;

use super::{FleetRig, FleetSize, LinearFit};
use crate::rig::RigError;

/// The wait after a change of the whole fleet: longer than daemons take to read the VM lists of all
/// zones.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// How long the CPU time of an idle daemon is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// The number of catalogue edits over which the cost of one is averaged.
const EDITS: u32 = 20;
/// The number of VM state changes over which the cost of one is averaged.
const VM_CHANGES: u32 = 10;
/// The pause after each VM state change: longer than the daemons' interval between two reads of the
/// VM list of their own zone.
const VM_CHANGE_PAUSE: Duration = Duration::from_millis(700);

/// The resources that one daemon uses for a fleet of one size.
#[derive(Debug, Clone, Serialize)]
pub struct FleetCost {
    /// The size of the fleet.
    pub size: FleetSize,
    /// The number of VMs on the daemon's state page.
    pub shown_vms: usize,
    /// Resident memory with the catalogue but no VM, in bytes.
    pub resident_before_bytes: u64,
    /// Resident memory with every VM, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory at the end of the measurement, in bytes.
    pub peak_resident_bytes: u64,
    /// CPU time to read and apply the whole VM list, in milliseconds.
    pub list_cpu_ms: f64,
    /// Size of the whole VM list, in bytes.
    pub list_bytes: usize,
    /// CPU time while idle, as a share of one core.
    pub idle_core_share: f64,
    /// Mean CPU time for one edit of the catalogue, in milliseconds; idle CPU time is subtracted.
    pub edit_cpu_ms: f64,
    /// Mean size of one edit's record in the platform's answer to a log read, in bytes.
    pub edit_bytes: f64,
    /// Mean CPU time for one change of a VM's state, in milliseconds; idle CPU time is subtracted.
    pub vm_change_cpu_ms: f64,
    /// CPU time to serve the state page once, in milliseconds.
    pub state_page_cpu_ms: f64,
    /// Size of the state page, in bytes.
    pub state_page_bytes: usize,
}

/// Starts one daemon with a fleet of `size` and measures its CPU time and memory.
///
/// # Errors
///
/// [`RigError`] if the deployment does not start, rejects a change or can't be measured.
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
    let before_page = rig.first_usage()?;
    let (shown_vms, state_page_bytes) = rig.shown_vms()?;
    let after_page = rig.first_usage()?;
    let log_bytes_before = log_bytes(&rig)?;
    let edit_cpu_ms = mean_step_cpu_ms(&mut rig, EDITS, idle_core_share, FleetRig::publish_edit)?;
    let edit_bytes = (log_bytes(&rig)? - log_bytes_before) as f64 / f64::from(EDITS);
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
        state_page_cpu_ms: milliseconds(after_page.cpu_us - before_page.cpu_us),
        state_page_bytes,
    })
}

/// Extrapolates a cost to a number of VMs with a line fitted to the measured sizes.
#[must_use]
pub fn extrapolate(costs: &[FleetCost], vms: f64, value: impl Fn(&FleetCost) -> f64) -> f64 {
    let points: Vec<(f64, f64)> = costs
        .iter()
        .map(|cost| (cost.size.vms as f64, value(cost)))
        .collect();
    LinearFit::least_squares(&points).value_at(vms)
}

/// Returns the mean CPU time of the first daemon for one call of `step`, in milliseconds, without its
/// idle CPU time.
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
    // The daemon may not have processed the last step yet.
    sleep(VM_CHANGE_PAUSE);
    let used_ms = milliseconds(rig.first_usage()?.cpu_us - before);
    let idle_ms = started_at.elapsed().as_secs_f64() * 1_000.0 * idle_core_share;
    Ok((used_ms - idle_ms).max(0.0) / f64::from(times))
}

/// Returns the size of the platform's answer to a read of the whole catalogue log, in bytes.
fn log_bytes(rig: &FleetRig) -> Result<usize, RigError> {
    rig.platform_answer_bytes("/log/catalogue?from=1&max=1000&wait_ms=0")
}

fn milliseconds(cpu_us: u64) -> f64 {
    cpu_us as f64 / 1_000.0
}
