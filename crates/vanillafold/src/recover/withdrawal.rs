//! Withdraws a key ahead of the log.

use log::info;
use vanillafold_state::CatalogueChange;
use vanillafold_types::KeyId;
use vanillafold_wire::{PeerError, PeerMessage, Withdrawal};

use crate::append::Change;
use crate::node::Node;

/// Why a withdrawal is not complete. It is in force on this daemon, and asking again is
/// harmless.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WithdrawalError {
    /// The other daemons were not told.
    #[error("withdrawn on this daemon, but the others were not told: {0}; ask again")]
    Peers(#[from] PeerError),
    /// Too many records wait for the platform.
    #[error("withdrawn, but too many records wait for the log; ask again later")]
    NotQueued,
}

/// Withdraws a key at once on this daemon and on all that it reaches, and sees that the log has
/// it when the platform takes it.
///
/// # Errors
///
/// [`WithdrawalError`].
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
    info!("the key {key} is withdrawn ahead of the log");
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
