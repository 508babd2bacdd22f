//! How messages of the daemon's own are put into the peer protocol's `Custom` messages.

use bincode::{Decode, Encode, config};

/// The most bytes that decoding a message may claim.
const MAX_DECODED_BYTES: usize = 1 << 20;

/// Encodes a message.
pub(crate) fn encode<T: Encode>(message: &T) -> Vec<u8> {
    match bincode::encode_to_vec(message, config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("memory takes any bytes: {error}"),
    }
}

/// Decodes a message; `None` if it is not one.
pub(crate) fn decode<T: Decode<()>>(bytes: &[u8]) -> Option<T> {
    let config = config::standard().with_limit::<MAX_DECODED_BYTES>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((message, length)) if length == bytes.len() => Some(message),
        _ => None,
    }
}
