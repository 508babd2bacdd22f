//! What peers and the platform cost a daemon at rest, by the number of daemons.

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

/// What peers and the platform cost a daemon at rest.
#[derive(Debug, Clone, Serialize)]
pub struct PeerCost {
    /// Daemons in all.
    pub daemons: u32,
    /// Processor time of each, as a share of a core.
    pub core_share: f64,
    /// Resident memory of each, the mean.
    pub resident_bytes: f64,
    /// Payload that each sends to and receives from its peers, in bytes a second.
    pub peer_bytes_per_s: f64,
    /// Payload that each exchanges with the platform, in bytes a second.
    pub platform_bytes_per_s: f64,
}

/// Measures `zones` zones of two daemons at rest.
///
/// # Errors
///
/// [`RigError`].
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
    // Each byte between two daemons counts for the one that sends it and the one that gets it.
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

/// Payload so far, both ways, of the open connections of a rig to a port, as `ss` shows it.
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
