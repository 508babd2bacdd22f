//! Starts the peer protocol with the daemon's settings.

use std::rc::Rc;

use vanillafold_types::IdError;
use vanillafold_wire::{PeerError, PeerSet, PeerSettings};

use super::NodeHandler;
use super::members::members;
use crate::node::Node;

/// Why the peer protocol did not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PeerStartError {
    /// The name of the cluster is invalid.
    #[error("invalid cluster name: {0}")]
    Cluster(#[from] IdError),
    /// The peer token is invalid, or the peer protocol could not start.
    #[error(transparent)]
    Peer(#[from] PeerError),
}

/// Listens for peers and dials the known ones.
///
/// # Errors
///
/// [`PeerStartError`] if the settings are invalid or the daemon can't listen on the peer address.
pub(crate) fn start_peers(node: &Rc<Node>) -> Result<PeerSet, PeerStartError> {
    let settings = &node.settings;
    let peer_settings = PeerSettings::new(
        settings.name.clone(),
        settings.zone.clone(),
        node.incarnation,
        settings.cluster.parse()?,
        settings.peer_token.expose().parse()?,
        settings.peer_address,
    );
    let handler = Rc::new(NodeHandler::new(Rc::clone(node)));
    let peers = PeerSet::open(peer_settings, handler)?;
    peers.set_members(members(node))?;
    Ok(peers)
}
