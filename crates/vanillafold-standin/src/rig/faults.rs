//! Faults that a run injects, one after the other, in an order that a seed chooses.

use std::thread::sleep;
use std::time::Duration;

use http::Method;
use vanillafold::policy::SplitMix;

use super::layout::RunnerSpec;
use super::{Cluster, Observer, RigError, Signal};

/// How long a fault lasts.
const FAULT_DURATION: Duration = Duration::from_millis(2_500);
/// The pause after a fault.
const RECOVERY_TIME: Duration = Duration::from_millis(1_000);
/// Between two looks at the daemons.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a drained VM is given to finish, and a rebooted one to come back.
const MAINTENANCE_TIMEOUT: Duration = Duration::from_secs(10);

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and started again.
    KillDaemon,
    /// A daemon is frozen and thawed.
    FreezeDaemon,
    /// A daemon is stopped as planned under load, and started again.
    StopDaemon,
    /// The open connections of a VM go silent for good; new ones work.
    ForgetVmConnections,
    /// The connections of a VM are silent, new ones too.
    SilenceVm,
    /// The open connections to a peer go silent for good.
    ForgetPeerConnections,
    /// A VM takes requests and never answers.
    HangVm,
    /// A VM fails everything at once.
    BlackHoleVm,
    /// A VM cuts its answers short.
    CutVmAnswers,
    /// A VM closes each connection at once.
    RefuseVmConnections,
    /// A VM is drained, rebooted and taken back.
    DrainVm,
    /// The platform's log and list are out.
    PlatformOutage,
    /// The platform accepts connections and never answers.
    PlatformHang,
}

/// Every fault.
pub const FAULTS: [Fault; 13] = [
    Fault::KillDaemon,
    Fault::FreezeDaemon,
    Fault::StopDaemon,
    Fault::ForgetVmConnections,
    Fault::SilenceVm,
    Fault::ForgetPeerConnections,
    Fault::HangVm,
    Fault::BlackHoleVm,
    Fault::CutVmAnswers,
    Fault::RefuseVmConnections,
    Fault::DrainVm,
    Fault::PlatformOutage,
    Fault::PlatformHang,
];

/// Every fault once, in an order that depends on the generator alone.
pub fn shuffled_faults(rng: &mut SplitMix) -> Vec<Fault> {
    let mut faults = FAULTS.to_vec();
    for last in (1..faults.len()).rev() {
        let other = rng.below(last as u64 + 1) as usize;
        faults.swap(last, other);
    }
    faults
}

/// Injects a fault into a cluster, ends it and lets the cluster recover.
///
/// # Errors
///
/// [`RigError`] if the fault could not be injected or the cluster did not recover.
pub fn inject_fault(
    cluster: &mut Cluster,
    fault: Fault,
    rng: &mut SplitMix,
) -> Result<(), RigError> {
    match fault {
        Fault::KillDaemon => kill_daemon(cluster, rng)?,
        Fault::FreezeDaemon => freeze_daemon(cluster, rng)?,
        Fault::StopDaemon => stop_daemon(cluster, rng)?,
        Fault::ForgetVmConnections => link_fault(cluster, LinkEnd::Vm, "forget")?,
        Fault::SilenceVm => link_fault(cluster, LinkEnd::Vm, "silent")?,
        Fault::ForgetPeerConnections => link_fault(cluster, LinkEnd::Peer, "forget")?,
        Fault::HangVm => runner_fault(cluster, rng, "hang")?,
        Fault::BlackHoleVm => runner_fault(cluster, rng, "blackhole")?,
        Fault::CutVmAnswers => runner_fault(cluster, rng, "cut")?,
        Fault::RefuseVmConnections => runner_fault(cluster, rng, "refuse")?,
        Fault::DrainVm => drain_vm(cluster, rng)?,
        Fault::PlatformOutage => platform_fault(cluster, "outage")?,
        Fault::PlatformHang => platform_fault(cluster, "hang")?,
    }
    observe_for(cluster, RECOVERY_TIME)
}

/// Notes what the daemons show, for as long as `length`.
///
/// # Errors
///
/// [`RigError`].
pub fn observe_for(cluster: &mut Cluster, duration: Duration) -> Result<(), RigError> {
    let rounds = duration.as_millis().div_ceil(OBSERVE_INTERVAL.as_millis());
    for _ in 0..rounds {
        Observer::record_all(cluster)?;
        sleep(OBSERVE_INTERVAL);
    }
    Ok(())
}

fn pick<'a, T>(rng: &mut SplitMix, items: &'a [T]) -> &'a T {
    &items[rng.below(items.len() as u64) as usize]
}

fn kill_daemon(cluster: &mut Cluster, rng: &mut SplitMix) -> Result<(), RigError> {
    let name = pick(rng, &cluster.daemon_names()).clone();
    cluster.kill_daemon(&name)?;
    observe_for(cluster, FAULT_DURATION)?;
    cluster.start_daemon(&name)?;
    cluster.wait_serving(&name)
}

fn freeze_daemon(cluster: &mut Cluster, rng: &mut SplitMix) -> Result<(), RigError> {
    let name = pick(rng, &cluster.daemon_names()).clone();
    cluster.signal_daemon(&name, Signal::Stop)?;
    sleep(FAULT_DURATION);
    cluster.signal_daemon(&name, Signal::Continue)?;
    cluster.wait_serving(&name)
}

fn stop_daemon(cluster: &mut Cluster, rng: &mut SplitMix) -> Result<(), RigError> {
    let name = pick(rng, &cluster.daemon_names()).clone();
    cluster.stop_daemon(&name)?;
    cluster.wait_stopped(&name)?;
    observe_for(cluster, RECOVERY_TIME)?;
    cluster.start_daemon(&name)?;
    cluster.wait_serving(&name)
}

/// Which relay a fault is at.
#[derive(Clone, Copy)]
enum LinkEnd {
    Vm,
    Peer,
}

fn link_fault(cluster: &mut Cluster, end: LinkEnd, mode: &str) -> Result<(), RigError> {
    let address = match end {
        LinkEnd::Vm => cluster
            .layout
            .runners()
            .next()
            .map(|runner| runner.first_vm_address),
        LinkEnd::Peer => cluster
            .layout
            .daemons()
            .next()
            .map(|daemon| daemon.peer_address),
    };
    let Some(address) = address else {
        return Ok(());
    };
    cluster.set_link_mode(address, mode)?;
    observe_for(cluster, FAULT_DURATION)?;
    cluster.set_link_mode(address, "pass")
}

fn runner_fault(cluster: &mut Cluster, rng: &mut SplitMix, mode: &str) -> Result<(), RigError> {
    let runners: Vec<RunnerSpec> = cluster.layout.runners().cloned().collect();
    // The first one is behind a relay and has faults of its own.
    let runner = pick(rng, &runners[1..]).clone();
    cluster.set_runner_mode(&runner, mode)?;
    observe_for(cluster, FAULT_DURATION)?;
    cluster.set_runner_mode(&runner, "normal")
}

fn drain_vm(cluster: &mut Cluster, rng: &mut SplitMix) -> Result<(), RigError> {
    let runners: Vec<RunnerSpec> = cluster.layout.runners().cloned().collect();
    let runner = pick(rng, &runners[1..]).clone();
    let vm = runner.vms[0].clone();
    cluster.drain_vm(&vm, &runner.pool)?;
    observe_for(cluster, FAULT_DURATION)?;
    cluster.reboot_vm(&vm)?;
    let started_at = std::time::Instant::now();
    while started_at.elapsed() < MAINTENANCE_TIMEOUT && !is_available(cluster, &vm) {
        observe_for(cluster, OBSERVE_INTERVAL)?;
    }
    cluster.record_vm_up(&vm, &runner.pool)
}

/// Whether every daemon shows the VM as one that takes work.
fn is_available(cluster: &Cluster, vm: &str) -> bool {
    cluster.running_daemons().all(|spec| {
        let page = cluster.call(Method::GET, spec.admin_address, "/state", "");
        page.is_ok_and(|page| {
            page.lines().any(|line| {
                line.starts_with(&format!("vm {vm} ")) && line.contains("standing=open")
            })
        })
    })
}

fn platform_fault(cluster: &mut Cluster, fault: &str) -> Result<(), RigError> {
    cluster.set_platform_faults(&format!("{fault}=true"))?;
    observe_for(cluster, FAULT_DURATION)?;
    cluster.set_platform_faults(&format!("{fault}=false"))
}
