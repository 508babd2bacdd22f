//! Early withdrawal of a key: it takes effect before its record is read from the log.

use log::info;
use vanillafold_state::CatalogueChange;
use vanillafold_types::KeyId;
use vanillafold_wire::{PeerError, PeerMessage, Withdrawal};

use crate::append::Change;
use crate::node::Node;

/// Why a withdrawal is incomplete. It is in force on this daemon, and may safely be repeated.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WithdrawalError {
    /// The other daemons were not notified.
    #[error("withdrawn on this daemon, but the others were not told: {0}; ask again")]
    Peers(#[from] PeerError),
    /// The record was not queued, because too many records wait to be written.
    #[error("withdrawn, but too many records wait for the log; ask again later")]
    NotQueued,
}

/// Withdraws a key at once on this daemon and on all peers that it reaches, and queues the record
/// for the log. Does nothing if the key is withdrawn already.
///
/// # Errors
///
/// [`WithdrawalError`] if the peers could not be notified or the record could not be queued.
pub(crate) fn withdraw_key(node: &Node, key: KeyId) -> Result<(), WithdrawalError> {
    if node
        .state
        .borrow()
        .withdrawn_keys()
        .any(|known| *known == key)
    {
        return Ok(());
    }
    node.state.borrow_mut().withdraw_early(key.clone());
    info!("key {key} withdrawn early on this daemon, before its record is read from the log");
    let change = CatalogueChange::WithdrawKey(key.clone());
    let is_queued = node.writer.submit(Change::Catalogue(change));
    if let Some(peers) = node.peers.borrow().clone() {
        peers.broadcast(PeerMessage::Withdrawal(Withdrawal { key }))?;
    }
    match is_queued {
        true => Ok(()),
        false => Err(WithdrawalError::NotQueued),
    }
}
