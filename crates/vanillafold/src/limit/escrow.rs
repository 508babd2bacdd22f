//! Keeps the escrow going: what time brings, and what peers say.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::error;
use monoio::time::sleep;
use vanillafold_state::{EscrowMessage, Outgoing};
use vanillafold_types::{DaemonId, Incarnation};
use vanillafold_wire::PeerMessage;

use super::message::NodeMessage;
use crate::node::Node;
use crate::peer::codec::encode;

/// Between two ticks of the escrow.
const TICK: Duration = Duration::from_millis(100);

/// Ticks the escrow until the daemon stops.
///
/// # Errors
///
/// None.
pub(crate) async fn run_escrow(node: Rc<Node>) -> Result<(), Infallible> {
    while !node.shutdown.is_set() {
        let now = node.boot_time();
        let teams = node.routes.borrow().teams.clone();
        for team in teams.iter().filter(|team| !team.waiters.is_empty()) {
            let waiting = u32::try_from(team.waiters.len()).unwrap_or(u32::MAX);
            node.escrow.borrow_mut().want(&team.id, waiting, now);
            team.waiters.wake_first();
        }
        let outgoing = node.escrow.borrow_mut().tick(now);
        send(&node, outgoing);
        if node.escrow.borrow().is_superseded() && !node.superseded.is_set() {
            error!("a later start of this daemon counts, or it was fenced: it stops");
            node.superseded.set();
        }
        sleep(TICK).await;
    }
    Ok(())
}

/// Takes in what a peer's escrow says.
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

fn send(node: &Node, outgoing: Vec<Outgoing>) {
    let Some(peers) = node.peers.borrow().clone() else {
        return;
    };
    for Outgoing { to, message } in outgoing {
        let message = NodeMessage::Escrow {
            from_incarnation: node.incarnation,
            message,
        };
        // What a full queue or a broken link loses, the escrow says again.
        let _ = peers.send(&to, PeerMessage::Custom(encode(&message)));
    }
}
