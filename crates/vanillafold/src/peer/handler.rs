//! Handles the messages and requests of peers.

use std::rc::Rc;

use log::{error, info};
use vanillafold_state::Stream;
use vanillafold_types::{DaemonId, KeyId};
use vanillafold_wire::{
    PeerHandler, PeerMessage, PeerRequest, PeerResponse, PeerStatus, StateSummary,
    UnavailableReason,
};

use super::codec;
use super::peer_loads::VmLoad;
use crate::claim;
use crate::limit::{self, NodeMessage};
use crate::node::Node;
use crate::recover;

/// Applies peers' messages to the node and answers their requests.
pub(crate) struct NodeHandler {
    node: Rc<Node>,
}

impl NodeHandler {
    pub(crate) const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    /// Logs an error if a peer at the same offsets has another state; the states must be equal.
    fn check_divergence(&self, from: &DaemonId, summary: &StateSummary) {
        let state = self.node.state.borrow();
        let same_offsets = state.next_offset(Stream::Catalogue) == summary.catalogue_offset.next()
            && state.next_offset(Stream::Control) == summary.control_offset.next();
        if same_offsets && *state.digest().as_bytes() != summary.digest {
            self.node.counters.count_control_failure("state_diverged");
            error!(
                "state differs from daemon {from}'s at the same offsets: catalogue {}, control {}",
                summary.catalogue_offset, summary.control_offset
            );
        }
    }

    fn answer_custom(&self, from: &DaemonId, bytes: &[u8]) -> PeerResponse {
        match (
            recover::decode_inventory_request(bytes),
            codec::decode(bytes),
        ) {
            (Some(request), _) => recover::answer_inventory(&self.node, &request),
            (None, Some(request)) => {
                let response = claim::answer(&self.node, from, request);
                PeerResponse::Custom(codec::encode(&response))
            }
            (None, None) => PeerResponse::Unavailable(UnavailableReason::Unsupported),
        }
    }

    fn apply_loads(&self, loads: Vec<VmLoad>) {
        let routes = self.node.routes.borrow();
        let now = self.node.now();
        let state = self.node.state.borrow();
        let inventory = self.node.inventory.borrow();
        for load in loads {
            let pool = inventory
                .pool_of(&load.vm, &state)
                .and_then(|pool| routes.pool(pool));
            if let Some(pool) = pool {
                let mut table = pool.table.borrow_mut();
                table.set_peer_load(&load.vm, now, load.outstanding);
            }
        }
    }
}

impl PeerHandler for NodeHandler {
    fn on_message(&self, from: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::State(summary) => self.check_divergence(from, &summary),
            PeerMessage::LoadReport(report) => {
                let changed = self.node.peer_loads.borrow_mut().merge(from, report);
                self.apply_loads(changed);
            }
            PeerMessage::Withdrawal(withdrawal) => {
                recover::note_withdrawal(&self.node, withdrawal.key);
            }
            PeerMessage::Custom(bytes) => match codec::decode(&bytes) {
                Some(NodeMessage::Escrow {
                    from_incarnation,
                    message,
                }) => limit::receive(&self.node, from, from_incarnation, message),
                None => self
                    .node
                    .counters
                    .count_control_failure("peer_message_unknown"),
            },
            _ => self
                .node
                .counters
                .count_control_failure("peer_message_unknown"),
        }
    }

    fn on_request(&self, from: &DaemonId, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Records(request) => recover::answer_records(&self.node, &request),
            PeerRequest::Snapshot(request) => recover::answer_snapshot(&self.node, &request),
            PeerRequest::Custom(bytes) => self.answer_custom(from, &bytes),
            _ => PeerResponse::Unavailable(UnavailableReason::Unsupported),
        }
    }

    fn on_status(&self, peer: &DaemonId, status: PeerStatus) {
        info!(
            "peer {peer}: {:?}, connected: {}, last connection ended: {:?}",
            status.state, status.connected, status.last_end
        );
        match status.connected {
            true => self.node.reconnected.borrow_mut().push(peer.clone()),
            false if status.state.is_silent() => {
                let changed = self.node.peer_loads.borrow_mut().forget(peer);
                self.apply_loads(changed);
            }
            false => {}
        }
    }

    fn withdrawal_is_folded(&self, key: &KeyId) -> bool {
        let state = self.node.state.borrow();
        state.withdrawn_keys().any(|withdrawn| withdrawn == key)
    }
}
