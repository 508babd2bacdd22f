//! Daemons with a synthetic fleet: the platform lists VMs that do not exist and get no requests.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use http::Method;
use serde::Serialize;

use super::ProcessUsage;
use crate::rig::{Cluster, DaemonSpec, Layout, RigError};

/// The number of teams in every synthetic fleet.
pub const FLEET_TEAMS: usize = 83;
/// The number of availability zones that the VMs are spread over.
const VM_ZONES: usize = 32;
const VMS_PER_RACK: usize = 4;
/// The number of pools published at once. A larger edit could exceed 64 KiB, the maximum size of a
/// log record.
const POOLS_PER_RECORD: usize = 80;
/// The number of VMs in one control request to the platform.
const VMS_PER_POST: usize = 2_000;

/// The size of a synthetic fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// The number of VMs.
    pub vms: usize,
    /// The number of pools; there is one queue for each.
    pub pools: usize,
}

/// A deployment of daemons with a synthetic fleet.
#[derive(Debug)]
pub struct FleetRig {
    cluster: Cluster,
    size: FleetSize,
    revision: usize,
}

impl FleetRig {
    /// Starts `zones` zones of `daemons` daemons each at the loopback addresses of `rig`, and publishes
    /// the catalogue. There are no VMs until [`FleetRig::list_vms`] is called.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the deployment does not start or the catalogue is rejected.
    pub fn start(
        rig: u8,
        (zones, daemons): (u8, u8),
        size: FleetSize,
        directory: &Path,
        programs: &Path,
    ) -> Result<Self, RigError> {
        let layout = Layout::new(rig, zones, daemons, &[], 0);
        let first = catalogue(size.pools.min(POOLS_PER_RECORD), 0);
        let mut cluster = Cluster::start(layout, &[], &first, directory, programs)?;
        let mut published = POOLS_PER_RECORD;
        while published < size.pools {
            published = (published + POOLS_PER_RECORD).min(size.pools);
            cluster.publish(&catalogue(published, 0))?;
        }
        Ok(Self {
            cluster,
            size,
            revision: 0,
        })
    }

    /// Returns the cluster with the platform and the daemons.
    #[must_use]
    pub const fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Makes the platform list every VM as live.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the platform rejects the list.
    pub fn list_vms(&self) -> Result<(), RigError> {
        let lines: Vec<String> = (0..self.size.vms)
            .map(|number| self.vm_line(number, "live"))
            .collect();
        for part in lines.chunks(VMS_PER_POST) {
            self.post_vms(&part.concat())?;
        }
        Ok(())
    }

    /// Makes the platform list a VM of the first zone in a state, such as `leaving` or `live`.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the platform rejects the change.
    pub fn change_vm(&self, number: usize, state: &str) -> Result<(), RigError> {
        self.post_vms(&self.vm_line(number * VM_ZONES % self.size.vms, state))
    }

    /// Publishes the catalogue with one entry changed.
    ///
    /// # Errors
    ///
    /// [`RigError`] if the catalogue is rejected.
    pub fn publish_edit(&mut self) -> Result<(), RigError> {
        self.revision += 1;
        let text = catalogue(self.size.pools, self.revision);
        self.cluster.publish(&text)
    }

    /// Returns the daemons that run.
    pub fn daemons(&self) -> impl Iterator<Item = &DaemonSpec> {
        self.cluster.running_daemons()
    }

    /// Returns the CPU time and memory that the first daemon has used so far.
    ///
    /// # Errors
    ///
    /// [`RigError`] if a daemon's process can't be read.
    pub fn first_usage(&self) -> Result<ProcessUsage, RigError> {
        self.usages().map(|usages| usages[0])
    }

    /// Returns the CPU time and memory that each running daemon has used so far.
    ///
    /// # Errors
    ///
    /// [`RigError`] if a daemon's process can't be read.
    pub fn usages(&self) -> Result<Vec<ProcessUsage>, RigError> {
        self.daemons()
            .filter_map(|spec| self.cluster.daemon_pid(&spec.name))
            .map(ProcessUsage::of)
            .collect()
    }

    /// Waits for `time` and returns the CPU time that a daemon used meanwhile, as a share of one core
    /// and averaged over all daemons.
    ///
    /// # Errors
    ///
    /// [`RigError`] if a daemon's process can't be read.
    pub fn mean_core_share(&self, time: Duration) -> Result<f64, RigError> {
        let before = self.usages()?;
        sleep(time);
        let after = self.usages()?;
        let used_us: u64 = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after.cpu_us - before.cpu_us)
            .sum();
        Ok(used_us as f64 / time.as_micros() as f64 / after.len() as f64)
    }

    /// Returns the number of VMs on the state page of the first daemon, and the size of the page in
    /// bytes.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the daemon does not answer.
    pub fn shown_vms(&self) -> Result<(usize, usize), RigError> {
        let admin = self.cluster.layout.zones[0].daemons[0].admin_address;
        let page = self.cluster.call(Method::GET, admin, "/state", "")?;
        Ok((page.matches("\nvm ").count(), page.len()))
    }

    /// Returns the size in bytes of the platform's answer to `GET path`.
    ///
    /// # Errors
    ///
    /// [`RigError::Failed`] if the platform does not answer with success.
    pub fn platform_answer_bytes(&self, path: &str) -> Result<usize, RigError> {
        let platform = self.cluster.layout.platform;
        let answer = self.cluster.call(Method::GET, platform, path, "")?;
        Ok(answer.len())
    }

    fn post_vms(&self, lines: &str) -> Result<(), RigError> {
        let platform = self.cluster.layout.platform;
        self.cluster
            .call(Method::POST, platform, "/control/vms", lines)
            .map(drop)
    }

    fn vm_line(&self, number: usize, state: &str) -> String {
        let zone = number % VM_ZONES;
        let rack = number / VM_ZONES / VMS_PER_RACK;
        let pool = number / VM_ZONES % self.size.pools;
        let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
        let address = SocketAddr::from(([10, zone as u8, high, low], 8080));
        let zone = zone_name(zone);
        format!("vm-{number:05} {zone} {zone}-rack-{rack} pool-{pool:03} {address} {state}\n")
    }
}

/// Returns the name of a zone. The names are those of [`Layout`], so that the first zone is that of
/// the first daemon.
fn zone_name(zone: usize) -> String {
    match zone {
        0..26 => format!("zone-{}", char::from(b'a' + zone as u8)),
        zone => format!("zone-{zone}"),
    }
}

/// Returns a catalogue of `pools` pools with a queue each, and of all teams. `revision` changes the
/// limit of the first team.
fn catalogue(pools: usize, revision: usize) -> String {
    let mut text = String::new();
    for pool in 0..pools {
        text.push_str(&format!(
            "[pool pool-{pool:03}]\nowner = depot@shop.example\nclass = normal\n\n\
             [queue queue-{pool:03}]\nowner = depot@shop.example\nclass = normal\n\
             pool = pool-{pool:03}\nteams = all\n\n"
        ));
    }
    for team in 0..FLEET_TEAMS {
        let limit = match team {
            0 => 1_000 + revision,
            _ => 1_000,
        };
        text.push_str(&format!(
            "[team team-{team:02}]\nowner = sales@shop.example\nlimit = {limit}\n\n"
        ));
    }
    text
}
