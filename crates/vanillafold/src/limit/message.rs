//! The messages about limits that daemons send each other.

use bincode::{Decode, Encode};
use vanillafold_state::EscrowMessage;
use vanillafold_types::Incarnation;

/// The payload of a custom message of the peer protocol.
#[derive(Debug, Encode, Decode)]
pub(crate) enum NodeMessage {
    /// A message from the sender's escrow to the receiver's.
    Escrow {
        /// The sender's incarnation.
        from_incarnation: Incarnation,
        /// The message for the receiver's escrow.
        message: EscrowMessage,
    },
}
