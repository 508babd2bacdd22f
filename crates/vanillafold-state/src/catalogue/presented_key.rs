//! Parsing and hashing of the key text that a caller presents.

use sha2::{Digest as _, Sha256};

/// The longest key text that is accepted, in bytes; longer ones are malformed.
pub const MAX_PRESENTED_KEY_BYTES: usize = 512;

/// Returns the digest that the catalogue stores instead of the key: the SHA-256 of its whole text,
/// id and secret.
#[must_use]
pub fn key_digest(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

/// Returns the id of a key text `{key-id}.{secret}`, or `None` if the text does not have that form
/// or is longer than [`MAX_PRESENTED_KEY_BYTES`].
pub(super) fn presented_id(text: &str) -> Option<&str> {
    match text.split_once('.') {
        _ if text.len() > MAX_PRESENTED_KEY_BYTES => None,
        Some(("", _) | (_, "")) | None => None,
        Some((id, _)) => Some(id),
    }
}
