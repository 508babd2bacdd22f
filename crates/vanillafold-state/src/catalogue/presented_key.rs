//! A key as a caller presents it.

use sha2::{Digest as _, Sha256};

/// The longest presented key, in bytes.
pub const MAX_PRESENTED_KEY_BYTES: usize = 512;

/// The digest under which a key is published: SHA-256 of its whole text, id and secret.
#[must_use]
pub fn key_digest(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

/// The id of a presented key `{key-id}.{secret}`, if it has that form.
pub(super) fn presented_id(text: &str) -> Option<&str> {
    match text.split_once('.') {
        _ if text.len() > MAX_PRESENTED_KEY_BYTES => None,
        Some(("", _) | (_, "")) | None => None,
        Some((id, _)) => Some(id),
    }
}
