//! The handler of messages, requests and status changes of peers.

use vanillafold_types::{DaemonId, KeyId};

use super::message::PeerMessage;
use super::request::{PeerRequest, PeerResponse};
use super::status::PeerStatus;

/// Handles what peers send. All methods run on the only thread of the runtime and must not block.
pub trait PeerHandler: 'static {
    /// Called for each message of a peer; for a withdrawal only when it is first learned.
    fn on_message(&self, from: &DaemonId, message: PeerMessage);

    /// Answers a request; the answer is sent back at once.
    fn on_request(&self, from: &DaemonId, request: PeerRequest) -> PeerResponse;

    /// Called when the state or incarnation of a peer, or the state of the link to it, changed.
    fn on_status(&self, peer: &DaemonId, status: PeerStatus);

    /// Returns whether a withdrawal is already in the folded log. Such a withdrawal is acknowledged
    /// but not forwarded, so that a late copy does not start a new flood.
    fn withdrawal_is_folded(&self, key: &KeyId) -> bool {
        let _ = key;
        false
    }
}
