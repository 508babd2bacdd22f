//! The layout of a deployment: its zones, daemons and VMs with their loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The port at which a daemon accepts callers.
const CALLER_PORT: u16 = 7001;
/// The port at which a daemon accepts peers.
const PEER_PORT: u16 = 7002;
/// The port of a daemon's admin address.
const ADMIN_PORT: u16 = 7003;
/// The port of the platform stand-in.
const PLATFORM_PORT: u16 = 7100;
/// The first port of a runner process; each of its VMs has a port of its own.
const RUNNER_PORT: u16 = 7200;

/// The default of `longest_work_ms` in the daemons' settings: short, so that a restarted daemon soon
/// has its units back.
const LONGEST_WORK_MS: u64 = 30_000;

/// The name, zone and addresses of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSpec {
    /// The daemon's name, such as `entry-a1`.
    pub name: String,
    /// The availability zone that it runs in.
    pub zone: String,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address that peers connect to.
    pub peer_address: SocketAddr,
    /// The admin address, for operators.
    pub admin_address: SocketAddr,
}

/// One runner process, which serves several VMs of one pool in one rack.
#[derive(Debug, Clone)]
pub struct RunnerSpec {
    /// The name of the process, such as `quotes-a`.
    pub name: String,
    /// The availability zone of its VMs.
    pub zone: String,
    /// The rack of its VMs.
    pub rack: String,
    /// The pool that its VMs belong to.
    pub pool: String,
    /// The names of its VMs, such as `quotes-a1`.
    pub vms: Vec<String>,
    /// The address at which the first VM listens; the others listen on the ports that follow.
    pub first_vm_address: SocketAddr,
}

/// An availability zone with its daemons and runner processes.
#[derive(Debug, Clone)]
pub struct Zone {
    /// The zone's name, such as `zone-a`.
    pub name: String,
    /// The daemons in this zone.
    pub daemons: Vec<DaemonSpec>,
    /// The runner processes in this zone, one for each pool.
    pub runners: Vec<RunnerSpec>,
}

/// The layout of a whole deployment. Each rig has loopback addresses of its own, so that several
/// can run on one computer.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The address of the platform stand-in.
    pub platform: SocketAddr,
    /// All zones of the deployment.
    pub zones: Vec<Zone>,
    /// The setting `longest_work_ms` of the daemons, in milliseconds. Requests with a deadline above
    /// this time less the linger time are refused.
    pub longest_work_ms: u64,
}

impl RunnerSpec {
    /// Returns the address of the VM at `index` of [`RunnerSpec::vms`].
    #[must_use]
    pub fn vm_address(&self, index: u16) -> SocketAddr {
        SocketAddr::new(
            self.first_vm_address.ip(),
            self.first_vm_address.port() + index,
        )
    }
}

impl Layout {
    /// Returns a layout of `zones` zones with `daemons` daemons each, and in each zone one runner
    /// process of `vms_per_zone` VMs for each of `pools`. `rig` is the second byte of all addresses,
    /// which keeps this rig apart from others.
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

    /// Returns the daemons of all zones.
    pub fn daemons(&self) -> impl Iterator<Item = &DaemonSpec> {
        self.zones.iter().flat_map(|zone| &zone.daemons)
    }

    /// Returns the runner processes of all zones.
    pub fn runners(&self) -> impl Iterator<Item = &RunnerSpec> {
        self.zones.iter().flat_map(|zone| &zone.runners)
    }

    /// Returns the number of VMs of a pool.
    #[must_use]
    pub fn vms_of(&self, pool: &str) -> usize {
        self.runners()
            .filter(|runner| runner.pool == pool)
            .map(|runner| runner.vms.len())
            .sum()
    }

    /// Returns the address at which the relay numbered `number` listens.
    #[must_use]
    pub fn link_address(&self, number: u16) -> SocketAddr {
        SocketAddr::new(self.platform.ip(), RUNNER_PORT + 100 + number)
    }
}

fn zone_name(zone: u8) -> String {
    format!("zone-{}", char::from(b'a' + zone))
}

/// Returns a loopback address whose second byte is the rig and whose third byte is the zone: all of
/// 127.0.0.0/8 is loopback.
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
