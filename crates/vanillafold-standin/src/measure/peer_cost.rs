//! Measures what the traffic with peers and the platform costs an idle daemon, by the number of
//! daemons.

use std::path::Path;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use serde::Serialize;

use super::{FleetRig, FleetSize};
use crate::rig::RigError;

const PEER_PORT: u16 = 7002;
const PLATFORM_PORT: u16 = 7100;
const SETTLE_TIME: Duration = Duration::from_secs(3);
const IDLE_TIME: Duration = Duration::from_secs(12);
const SMALL_FLEET: FleetSize = FleetSize { vms: 64, pools: 8 };

/// The resources that an idle daemon uses for its peers and the platform.
#[derive(Debug, Clone, Serialize)]
pub struct PeerCost {
    /// The number of daemons in the deployment.
    pub daemons: u32,
    /// Mean CPU time of a daemon, as a share of one core.
    pub core_share: f64,
    /// Mean resident memory of a daemon, in bytes.
    pub resident_bytes: f64,
    /// Mean payload that a daemon sends to and receives from its peers, in bytes per second.
    pub peer_bytes_per_s: f64,
    /// Mean payload that a daemon sends to and receives from the platform, in bytes per second.
    pub platform_bytes_per_s: f64,
}

/// Starts `zones` zones of two daemons each and measures them while they are idle.
///
/// # Errors
///
/// [`RigError`] if the deployment does not start or `ss` can't be run.
pub fn measure_peer_cost(
    rig: u8,
    zones: u8,
    directory: &Path,
    programs: &Path,
) -> Result<PeerCost, RigError> {
    let fleet = FleetRig::start(rig, (zones, 2), SMALL_FLEET, directory, programs)?;
    fleet.list_vms()?;
    sleep(SETTLE_TIME);
    let daemons = u32::from(zones) * 2;
    let seconds = IDLE_TIME.as_secs_f64() * f64::from(daemons);
    let peers_before = socket_bytes(rig, PEER_PORT)?;
    let platform_before = socket_bytes(rig, PLATFORM_PORT)?;
    let core_share = fleet.mean_core_share(IDLE_TIME)?;
    // Each byte between two daemons counts twice: for its sender and for its receiver.
    let peer_bytes = 2 * socket_bytes(rig, PEER_PORT)?.saturating_sub(peers_before);
    let platform_bytes = socket_bytes(rig, PLATFORM_PORT)?.saturating_sub(platform_before);
    let usages = fleet.usages()?;
    let resident: u64 = usages.iter().map(|usage| usage.resident_bytes).sum();
    Ok(PeerCost {
        daemons,
        core_share,
        resident_bytes: resident as f64 / f64::from(daemons),
        peer_bytes_per_s: peer_bytes as f64 / seconds,
        platform_bytes_per_s: platform_bytes as f64 / seconds,
    })
}

/// Returns the payload in bytes that the open connections of a rig to a port have carried so far in
/// both directions, as `ss` reports it.
fn socket_bytes(rig: u8, port: u16) -> Result<u64, RigError> {
    let filter = format!("dport = :{port} and dst 127.{rig}.0.0/16");
    let output = Command::new("ss")
        .args(["-tinH", &filter])
        .output()
        .map_err(|source| RigError::Io {
            operation: "running ss (of iproute2)".to_owned(),
            source,
        })?;
    let text = String::from_utf8_lossy(&output.stdout);
    let counts = text.split_whitespace().filter_map(|word| {
        let (name, value) = word.split_once(':')?;
        match name {
            "bytes_sent" | "bytes_received" => value.parse::<u64>().ok(),
            _ => None,
        }
    });
    Ok(counts.sum())
}
