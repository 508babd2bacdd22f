//! Where everything of a rig stands: zones, daemons, VMs and their loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Ports of a daemon.
const CALLER_PORT: u16 = 7001;
const PEER_PORT: u16 = 7002;
const ADMIN_PORT: u16 = 7003;
/// Port of the platform.
const PLATFORM_PORT: u16 = 7100;
/// The first port of a runner process, one port a VM.
const RUNNER_PORT: u16 = 7200;

/// What daemons take for the longest work, unless a rig says otherwise: short, so that restarted
/// daemons have their units back soon.
const LONGEST_WORK_MS: u64 = 30_000;

/// The place of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSpec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
}

/// The place of one runner process: VMs of one pool in one rack.
#[derive(Debug, Clone)]
pub struct RunnerSpec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Its pool.
    pub pool: String,
    /// Its VMs.
    pub vms: Vec<String>,
    /// Where the first VM listens; the others listen on the ports that follow.
    pub first_vm_address: SocketAddr,
}

/// A zone with its daemons and runners.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its daemons.
    pub daemons: Vec<DaemonSpec>,
    /// Its runner processes.
    pub runners: Vec<RunnerSpec>,
}

/// A whole deployment. Every rig has loopback addresses of its own, so that several can run on
/// one machine.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The platform's address.
    pub platform: SocketAddr,
    /// The zones.
    pub zones: Vec<Zone>,
    /// What daemons take for the longest work; deadlines above it less the linger time are refused.
    pub longest_work_ms: u64,
}

impl RunnerSpec {
    /// The address of the VM at `index`.
    #[must_use]
    pub fn vm_address(&self, index: u16) -> SocketAddr {
        SocketAddr::new(
            self.first_vm_address.ip(),
            self.first_vm_address.port() + index,
        )
    }
}

impl Layout {
    /// A layout of `zones` zones with `daemons` daemons each, and in each zone one runner process
    /// of `vms_per_zone` VMs for each of `pools`. `rig` tells this rig from others.
    #[must_use]
    pub fn new(rig: u8, zones: u8, daemons: u8, pools: &[&str], vms_per_zone: usize) -> Self {
        let zones = (0..zones)
            .map(|zone| Zone {
                name: zone_name(zone),
                daemons: (0..daemons)
                    .map(|daemon| daemon_spec(rig, zone, daemon))
                    .collect(),
                runners: pools
                    .iter()
                    .zip(0_u8..)
                    .map(|(pool, index)| runner_spec(rig, zone, pool, index, vms_per_zone))
                    .collect(),
            })
            .collect();
        Self {
            platform: address(rig, 250, 1, PLATFORM_PORT),
            zones,
            longest_work_ms: LONGEST_WORK_MS,
        }
    }

    /// Every daemon.
    pub fn daemons(&self) -> impl Iterator<Item = &DaemonSpec> {
        self.zones.iter().flat_map(|zone| &zone.daemons)
    }

    /// Every runner process.
    pub fn runners(&self) -> impl Iterator<Item = &RunnerSpec> {
        self.zones.iter().flat_map(|zone| &zone.runners)
    }

    /// The VMs of a pool.
    #[must_use]
    pub fn vms_of(&self, pool: &str) -> usize {
        self.runners()
            .filter(|runner| runner.pool == pool)
            .map(|runner| runner.vms.len())
            .sum()
    }

    /// The address of a link numbered `number` of this rig.
    #[must_use]
    pub fn link_address(&self, number: u16) -> SocketAddr {
        SocketAddr::new(self.platform.ip(), RUNNER_PORT + 100 + number)
    }
}

fn zone_name(zone: u8) -> String {
    format!("zone-{}", char::from(b'a' + zone))
}

/// Loopback is all of 127.0.0.0/8: the second byte is the rig, the third the zone.
fn address(rig: u8, zone: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, rig, zone, host)), port)
}

fn daemon_spec(rig: u8, zone: u8, daemon: u8) -> DaemonSpec {
    let host = daemon + 1;
    DaemonSpec {
        name: format!("entry-{}{}", char::from(b'a' + zone), host),
        zone: zone_name(zone),
        caller_address: address(rig, zone, host, CALLER_PORT),
        peer_address: address(rig, zone, host, PEER_PORT),
        admin_address: address(rig, zone, host, ADMIN_PORT),
    }
}

fn runner_spec(rig: u8, zone: u8, pool: &str, index: u8, vms: usize) -> RunnerSpec {
    let name = format!("{pool}-{}", char::from(b'a' + zone));
    RunnerSpec {
        vms: (1..=vms).map(|vm| format!("{name}{vm}")).collect(),
        rack: format!("rack-{}{index}", char::from(b'a' + zone)),
        zone: zone_name(zone),
        pool: pool.to_owned(),
        first_vm_address: address(rig, zone, 100 + index, RUNNER_PORT),
        name,
    }
}
