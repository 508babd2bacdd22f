//! What the daemon does with what its peers say.

use vanillafold_types::{DaemonId, KeyId};

use super::message::PeerMessage;
use super::request::{PeerRequest, PeerResponse};
use super::status::PeerStatus;

/// Takes in what peers send. All methods run on the runtime's one thread and must not
/// block.
pub trait PeerHandler: 'static {
    /// A message came. A withdrawal comes here once, when it is first known.
    fn on_message(&self, from: &DaemonId, message: PeerMessage);

    /// A request came; the answer is sent back at once.
    fn on_request(&self, from: &DaemonId, request: PeerRequest) -> PeerResponse;

    /// The state of a peer, or of the link to it, changed.
    fn on_status(&self, peer: &DaemonId, status: PeerStatus);

    /// Whether a withdrawal is already in the folded log. Such a withdrawal is
    /// acknowledged but not passed on, so that a late copy does not start a new flood.
    fn withdrawal_is_folded(&self, key: &KeyId) -> bool {
        let _ = key;
        false
    }
}
