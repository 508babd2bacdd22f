//! What daemons tell each other about limits.

use bincode::{Decode, Encode, config};
use vanillafold_state::EscrowMessage;
use vanillafold_types::Incarnation;

/// The most bytes that decoding a message may claim.
const MAX_DECODED_BYTES: usize = 1 << 20;

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

/// Encodes a message.
pub(crate) fn encode(message: &NodeMessage) -> Vec<u8> {
    match bincode::encode_to_vec(message, config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("memory takes any bytes: {error}"),
    }
}

/// Decodes a message; `None` if it is not one.
pub(crate) fn decode(bytes: &[u8]) -> Option<NodeMessage> {
    let config = config::standard().with_limit::<MAX_DECODED_BYTES>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((message, length)) if length == bytes.len() => Some(message),
        _ => None,
    }
}
