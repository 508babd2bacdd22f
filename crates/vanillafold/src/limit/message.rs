//! What daemons tell each other about limits.

use bincode::{Decode, Encode};
use vanillafold_state::EscrowMessage;
use vanillafold_types::Incarnation;

/// A message of this project inside the peer protocol.
#[derive(Debug, Encode, Decode)]
pub(crate) enum NodeMessage {
    /// Of one start's escrow to another's.
    Escrow {
        /// The sender's start.
        from_incarnation: Incarnation,
        /// What it says.
        message: EscrowMessage,
    },
}
