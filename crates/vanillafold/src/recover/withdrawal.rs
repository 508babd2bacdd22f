//! Early withdrawal of a key: it takes effect before its record is read from the log.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use monoio::time::sleep;
use vanillafold_state::CatalogueChange;
use vanillafold_types::{KeyId, Millis};
use vanillafold_wire::{PeerError, PeerMessage, Withdrawal};

use crate::append::Change;
use crate::node::Node;

/// How long the daemon that was asked for a withdrawal has to write its record, while the platform
/// is reachable. It is longer than the longest pause between two appends of that daemon.
const WRITE_GRACE_MS: Millis = Millis::new(22_000);
/// Interval between checks whether the record is still missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Range of the random delay after the grace, per daemon of the fleet, so that normally only one
/// other daemon writes the record.
const DELAY_PER_DAEMON_MS: u64 = 200;

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

/// Withdraws a key of which a peer has told. If its record is not read from the log in time, the
/// daemon that was asked for it may be lost, and this one queues the record too.
pub(crate) fn note_withdrawal(node: &Rc<Node>, key: KeyId) {
    if node.state.borrow_mut().withdraw_early(key.clone()) {
        monoio::spawn(queue_if_unwritten(Rc::clone(node), key));
    }
}

async fn queue_if_unwritten(node: Rc<Node>, key: KeyId) {
    let range_ms = node.fleet().len() as u64 * DELAY_PER_DAEMON_MS;
    let wait_ms = Millis::new(WRITE_GRACE_MS.get() + node.rng.borrow_mut().below(range_ms));
    let change = Change::Catalogue(CatalogueChange::WithdrawKey(key.clone()));
    let mut reachable_since = None;
    while !node.shutdown.is_set() {
        sleep(CHECK_INTERVAL).await;
        let now = node.boot_time();
        let is_unwritten = node
            .state
            .borrow()
            .early_withdrawals()
            .any(|known| *known == key);
        if !is_unwritten {
            return;
        }
        reachable_since = match node.recovery.is_platform_reachable(now) {
            true => reachable_since.or(Some(now)),
            false => None,
        };
        let is_due = reachable_since.is_some_and(|since| now.since(since) >= wait_ms);
        if is_due && node.writer.submit(change.clone()) {
            info!("queued the record of the withdrawal of key {key}, which no daemon has written");
            return;
        }
    }
}
