//! Takes over a peer's state when the platform can't give one.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use monoio::time::sleep;
use vanillafold_types::DaemonId;
use vanillafold_wire::PeerHandle;

use super::inventory::take_inventory;
use super::transfer::take_state;
use crate::node::Node;

/// Between two looks whether a peer's state is needed.
const LOOK_MS: u64 = 300;
/// The longest wait after peers had none.
const MAX_WAIT_MS: u64 = 5_000;

/// Takes over a peer's state whenever the daemon isn't ready and the platform doesn't make it
/// so, until the daemon stops.
///
/// # Errors
///
/// None.
pub(crate) async fn start_from_peers(node: Rc<Node>, peers: PeerHandle) -> Result<(), Infallible> {
    let mut wait_ms = LOOK_MS;
    while !node.shutdown.is_set() {
        let jitter_ms = node.rng.borrow_mut().below(wait_ms);
        sleep(Duration::from_millis(wait_ms / 2 + jitter_ms)).await;
        if node.has_configuration() || !node.recovery.needs_peers() {
            wait_ms = LOOK_MS;
            continue;
        }
        for peer in connected_peers(&node, &peers) {
            if take_over(&node, &peers, &peer).await {
                break;
            }
        }
        wait_ms = (wait_ms * 2).min(MAX_WAIT_MS);
    }
    Ok(())
}

/// The peers that can be asked, those of the own zone first, otherwise in random order.
pub(super) fn connected_peers(node: &Node, peers: &PeerHandle) -> Vec<DaemonId> {
    let mut statuses = peers.statuses();
    statuses.retain(|status| status.connected);
    let mut rng = node.rng.borrow_mut();
    statuses.sort_by_cached_key(|status| {
        let is_far = status.zone != node.settings.zone;
        (is_far, rng.below(u64::MAX))
    });
    statuses.into_iter().map(|status| status.daemon).collect()
}

/// Takes over the state and, if there is none yet, the VM list of `peer`; says whether the
/// daemon has a configuration then.
async fn take_over(node: &Node, peers: &PeerHandle, peer: &DaemonId) -> bool {
    let state = match take_state(peers, peer).await {
        Ok(state) => state,
        Err(error) => {
            node.counters.count_control_failure("peer_state");
            warn!("the state of {peer} was not taken over: {error}");
            return false;
        }
    };
    if let Err(error) = node.adopt(state) {
        node.counters.count_control_failure("peer_state");
        warn!("the state of {peer} was not taken over: {error}");
        return false;
    }
    if let Err(error) = take_inventory(node, peers, peer).await {
        node.counters.count_control_failure("peer_inventory");
        warn!("the VM list of {peer} was not taken over: {error}");
        return false;
    }
    node.started_from_peer();
    info!("goes on from the state of {peer}");
    true
}
