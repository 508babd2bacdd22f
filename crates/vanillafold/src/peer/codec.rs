//! Encodes and decodes the daemon's own messages, which the peer protocol carries as `Custom`.

use bincode::{Decode, Encode, config};

/// Maximum memory that decoding a message may allocate, in bytes.
const MAX_DECODED_BYTES: usize = 1 << 20;

/// Encodes a message.
pub(crate) fn encode<T: Encode>(message: &T) -> Vec<u8> {
    match bincode::encode_to_vec(message, config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("encoding into memory failed: {error}"),
    }
}

/// Decodes a message; `None` if `bytes` are not exactly one message of type `T`.
pub(crate) fn decode<T: Decode<()>>(bytes: &[u8]) -> Option<T> {
    let config = config::standard().with_limit::<MAX_DECODED_BYTES>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((message, length)) if length == bytes.len() => Some(message),
        _ => None,
    }
}
