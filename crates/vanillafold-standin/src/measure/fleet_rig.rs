//! Daemons that serve a synthetic fleet: VMs that the platform lists and nobody calls.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use http::Method;
use serde::Serialize;

use super::ProcessUsage;
use crate::rig::{Cluster, DaemonSpec, Layout, RigError};

/// The teams of every synthetic fleet.
pub const FLEET_TEAMS: usize = 83;
/// Availability zones that the VMs are spread over.
const VM_ZONES: usize = 32;
const VMS_PER_RACK: usize = 4;
/// Entries published at once: a record of the log holds at most 64 KiB.
const POOLS_PER_RECORD: usize = 80;
const VMS_PER_POST: usize = 2_000;

/// How large a synthetic fleet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// VMs.
    pub vms: usize,
    /// Pools, and as many queues.
    pub pools: usize,
}

/// Daemons that serve a synthetic fleet.
#[derive(Debug)]
pub struct FleetRig {
    cluster: Cluster,
    size: FleetSize,
    revision: usize,
}

impl FleetRig {
    /// Starts `zones` zones of `daemons` daemons at the loopback addresses of `rig`, and publishes
    /// the catalogue; the VMs follow with [`FleetRig::list_vms`].
    ///
    /// # Errors
    ///
    /// [`RigError`].
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

    /// The processes below it.
    #[must_use]
    pub const fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Lets the platform list every VM.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn list_vms(&self) -> Result<(), RigError> {
        let lines: Vec<String> = (0..self.size.vms)
            .map(|number| self.vm_line(number, "live"))
            .collect();
        for part in lines.chunks(VMS_PER_POST) {
            self.post_vms(&part.concat())?;
        }
        Ok(())
    }

    /// Lets the platform list a VM of the first zone as leaving or live.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn change_vm(&self, number: usize, state: &str) -> Result<(), RigError> {
        self.post_vms(&self.vm_line(number * VM_ZONES % self.size.vms, state))
    }

    /// Publishes an edit of one entry.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn publish_edit(&mut self) -> Result<(), RigError> {
        self.revision += 1;
        let text = catalogue(self.size.pools, self.revision);
        self.cluster.publish(&text)
    }

    /// The daemons that run.
    pub fn daemons(&self) -> impl Iterator<Item = &DaemonSpec> {
        self.cluster.running_daemons()
    }

    /// What the first daemon has used.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn first_usage(&self) -> Result<ProcessUsage, RigError> {
        self.usages().map(|usages| usages[0])
    }

    /// What each daemon has used.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn usages(&self) -> Result<Vec<ProcessUsage>, RigError> {
        self.daemons()
            .filter_map(|spec| self.cluster.daemon_id(&spec.name))
            .map(ProcessUsage::of)
            .collect()
    }

    /// Processor time that the daemons used on average during `time`, as a share of a core.
    ///
    /// # Errors
    ///
    /// [`RigError`].
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

    /// How many VMs the first daemon shows, and the size of its state page.
    ///
    /// # Errors
    ///
    /// [`RigError`].
    pub fn shown_vms(&self) -> Result<(usize, usize), RigError> {
        let admin = self.cluster.layout.zones[0].daemons[0].admin_address;
        let page = self.cluster.call(Method::GET, admin, "/state", "")?;
        Ok((page.matches("\nvm ").count(), page.len()))
    }

    /// The size of the platform's answer to a question.
    ///
    /// # Errors
    ///
    /// [`RigError`].
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

/// Zone names as the rig's layout has them, so that the first zone is the first daemon's own.
fn zone_name(zone: usize) -> String {
    match zone {
        0..26 => format!("zone-{}", char::from(b'a' + zone as u8)),
        zone => format!("zone-{zone}"),
    }
}

/// A catalogue of `pools` pools with a queue each, and of all teams; `revision` shows in one entry.
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
