//! Faults that a run injects one after another, in an order that depends on a seed.

use std::thread::sleep;
use std::time::Duration;

use http::Method;
use vanillafold::policy::SplitMix;

use super::layout::{RunnerSpec, Zone};
use super::{Cluster, Observer, RigError, Signal};
use crate::trace::{TraceEvent, VmChange, monotonic_us};

/// How long each fault lasts.
const FAULT_DURATION: Duration = Duration::from_millis(2_500);
/// How long a zone is evacuated: longer than the audit's settle time, as only work that begins after
/// it is judged.
const EVACUATION_DURATION: Duration = Duration::from_secs(8);
/// How long the cluster is observed after a fault has ended, before the next one.
const RECOVERY_TIME: Duration = Duration::from_millis(1_000);
/// The pause between two observations of the daemons.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a rebooted VM may take until every daemon shows it as available again.
const MAINTENANCE_TIMEOUT: Duration = Duration::from_secs(10);

/// A fault that can be injected into a [`Cluster`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills a daemon and starts it again.
    KillDaemon,
    /// Suspends a daemon with SIGSTOP and resumes it.
    FreezeDaemon,
    /// Stops a daemon gracefully under load and starts it again.
    StopDaemon,
    /// The open connections to one VM carry no more data and are never closed; new connections work.
    ForgetVmConnections,
    /// The connections to one VM, new ones included, drop all data without being closed.
    SilenceVm,
    /// The open connections to a peer carry no more data and are never closed; new connections work.
    ForgetPeerConnections,
    /// The VMs of one runner accept requests and never answer.
    HangVm,
    /// The VMs of one runner fail every request at once.
    BlackHoleVm,
    /// The VMs of one runner truncate their answers.
    CutVmAnswers,
    /// The VMs of one runner close each connection at once.
    RefuseVmConnections,
    /// Drains a VM, reboots it and returns it to service.
    DrainVm,
    /// Has a zone evacuated and withdraws that.
    EvacuateZone,
    /// The platform's log and VM list are unavailable.
    PlatformOutage,
    /// The platform accepts connections and never answers.
    PlatformHang,
}

/// All faults, in the order of their declaration.
pub const FAULTS: [Fault; 14] = [
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
    Fault::EvacuateZone,
    Fault::PlatformOutage,
    Fault::PlatformHang,
];

/// Returns every fault once, in an order that depends only on the state of the generator.
pub fn shuffled_faults(rng: &mut SplitMix) -> Vec<Fault> {
    let mut faults = FAULTS.to_vec();
    for last in (1..faults.len()).rev() {
        let other = rng.below(last as u64 + 1) as usize;
        faults.swap(last, other);
    }
    faults
}

/// Injects a fault into a cluster, ends the fault and observes the cluster for 1 s after it.
///
/// # Errors
///
/// [`RigError`] if the fault can't be injected or ended, or a restarted or resumed daemon does not
/// become ready.
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
        Fault::EvacuateZone => evacuate_zone(cluster, rng)?,
        Fault::PlatformOutage => platform_fault(cluster, "outage")?,
        Fault::PlatformHang => platform_fault(cluster, "hang")?,
    }
    observe_for(cluster, RECOVERY_TIME)
}

/// Records what the daemons show every 500 ms, for `duration` rounded up.
///
/// # Errors
///
/// [`RigError`] if the trace can't be written.
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

/// Which of the two relays of a fault run a fault is injected at.
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
    // The first runner is behind a relay, whose faults are injected by `link_fault`.
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

/// Returns `true` if every running daemon shows the VM as available for requests.
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

fn evacuate_zone(cluster: &mut Cluster, rng: &mut SplitMix) -> Result<(), RigError> {
    let zone = pick(rng, &cluster.layout.zones).clone();
    let arguments = ["--zone", &zone.name];
    cluster.run_vanillafoldctl(&["zone", "evacuate"], &arguments)?;
    record_zone(cluster, &zone, TraceEvent::VmEvacuated)?;
    observe_for(cluster, EVACUATION_DURATION)?;
    record_zone(cluster, &zone, TraceEvent::VmRestored)?;
    cluster.run_vanillafoldctl(&["zone", "restore"], &arguments)?;
    Ok(())
}

/// Records an event of each VM of a zone in the trace.
fn record_zone(
    cluster: &mut Cluster,
    zone: &Zone,
    event: fn(VmChange) -> TraceEvent,
) -> Result<(), RigError> {
    let at_us = monotonic_us();
    for runner in &zone.runners {
        for vm in &runner.vms {
            cluster.record(&event(VmChange {
                at_us,
                vm: vm.as_str().into(),
                pool: runner.pool.as_str().into(),
                planned: true,
            }))?;
        }
    }
    Ok(())
}

fn platform_fault(cluster: &mut Cluster, fault: &str) -> Result<(), RigError> {
    cluster.set_platform_faults(&format!("{fault}=true"))?;
    observe_for(cluster, FAULT_DURATION)?;
    cluster.set_platform_faults(&format!("{fault}=false"))
}
