//! Restores the state from a peer when the platform can't provide it.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use monoio::time::sleep;
use vanillafold_types::DaemonId;
use vanillafold_wire::PeerHandle;

use super::inventory::fetch_inventory;
use super::transfer::fetch_state;
use crate::node::Node;

/// Mean wait between checks whether a peer's state is needed.
const MIN_WAIT_MS: u64 = 300;
/// Maximum mean wait, which doubles after each round in which a peer's state was needed.
const MAX_WAIT_MS: u64 = 5_000;

/// Until the daemon stops, restores the state from a peer whenever the daemon has no configuration
/// and the platform can't provide one.
///
/// # Errors
///
/// Returns no error.
pub(crate) async fn restore_from_peers(
    node: Rc<Node>,
    peers: PeerHandle,
) -> Result<(), Infallible> {
    let mut wait_ms = MIN_WAIT_MS;
    while !node.shutdown.is_set() {
        let jitter_ms = node.rng.borrow_mut().below(wait_ms);
        sleep(Duration::from_millis(wait_ms / 2 + jitter_ms)).await;
        if node.has_configuration() || !node.recovery.needs_peers() {
            wait_ms = MIN_WAIT_MS;
            continue;
        }
        for peer in connected_peers(&node, &peers) {
            if restore_from_peer(&node, &peers, &peer).await {
                break;
            }
        }
        wait_ms = (wait_ms * 2).min(MAX_WAIT_MS);
    }
    Ok(())
}

/// Returns the connected peers in random order, those of this daemon's zone first.
pub(super) fn connected_peers(node: &Node, peers: &PeerHandle) -> Vec<DaemonId> {
    let mut statuses = peers.statuses();
    statuses.retain(|status| status.connected);
    let mut rng = node.rng.borrow_mut();
    statuses.sort_by_cached_key(|status| {
        let is_other_zone = status.zone != node.settings.zone;
        (is_other_zone, rng.below(u64::MAX))
    });
    statuses.into_iter().map(|status| status.daemon).collect()
}

/// Merges the state of `peer` and fetches its VM list if no VM is known yet. Returns whether the
/// daemon then has a configuration.
async fn restore_from_peer(node: &Node, peers: &PeerHandle, peer: &DaemonId) -> bool {
    let state = match fetch_state(peers, peer).await {
        Ok(state) => state,
        Err(error) => {
            node.counters.count_control_failure("peer_state");
            warn!("state of daemon {peer} not fetched: {error}");
            return false;
        }
    };
    if let Err(error) = node.merge_state(state) {
        node.counters.count_control_failure("peer_state");
        warn!("state of daemon {peer} not merged: {error}");
        return false;
    }
    if let Err(error) = fetch_inventory(node, peers, peer).await {
        node.counters.count_control_failure("peer_inventory");
        warn!("VM list of daemon {peer} not fetched: {error}");
        return false;
    }
    node.note_state_from_peer();
    info!("state restored from daemon {peer}");
    true
}
