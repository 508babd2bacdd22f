//! Drives the escrow: periodic ticks, demand from waiting requests, and messages of peers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::error;
use monoio::time::sleep;
use vanillafold_state::{EscrowMessage, OutgoingMessage};
use vanillafold_types::{DaemonId, Incarnation};
use vanillafold_wire::PeerMessage;

use super::message::NodeMessage;
use crate::node::Node;
use crate::peer::codec::encode;

/// The interval between two ticks of the escrow.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Reports the demand of waiting requests to the escrow and ticks it until the daemon stops. Sets
/// [`Node::superseded`] when this incarnation must no longer use the limits.
///
/// # Errors
///
/// Returns no error.
pub(crate) async fn run_escrow(node: Rc<Node>) -> Result<(), Infallible> {
    while !node.shutdown.is_set() {
        let now = node.boot_time();
        let teams = node.routes.borrow().teams.clone();
        for team in teams.iter().filter(|team| !team.waiters.is_empty()) {
            let waiting = u32::try_from(team.waiters.len()).unwrap_or(u32::MAX);
            node.escrow.borrow_mut().set_demand(&team.id, waiting, now);
            team.waiters.wake_first();
        }
        let outgoing = node.escrow.borrow_mut().tick(now);
        send(&node, outgoing);
        if node.escrow.borrow().is_superseded() && !node.superseded.is_set() {
            error!(
                "a later incarnation of this daemon has joined, or this one was fenced; stopping"
            );
            node.superseded.set();
        }
        sleep(TICK_INTERVAL).await;
    }
    Ok(())
}

/// Passes a message of the peer `from` to the escrow and sends what the escrow answers. Wakes one
/// waiting request of every team, as the message may have brought units.
pub(crate) fn receive(
    node: &Node,
    from: &DaemonId,
    from_incarnation: Incarnation,
    message: EscrowMessage,
) {
    let now = node.boot_time();
    let outgoing = node
        .escrow
        .borrow_mut()
        .receive(from, from_incarnation, message, now);
    send(node, outgoing);
    for team in &node.routes.borrow().teams {
        team.waiters.wake_first();
    }
}

fn send(node: &Node, outgoing: Vec<OutgoingMessage>) {
    let Some(peers) = node.peers.borrow().clone() else {
        return;
    };
    for OutgoingMessage { to, message } in outgoing {
        let message = NodeMessage::Escrow {
            from_incarnation: node.incarnation,
            message,
        };
        // The escrow repeats messages that are lost to a full queue or a broken connection.
        let _ = peers.send(&to, PeerMessage::Custom(encode(&message)));
    }
}
