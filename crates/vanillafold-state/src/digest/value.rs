//! A SHA-256 digest and its text form.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest. Its text form is 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Digest([u8; DIGEST_BYTES]);

/// The error for a text that is not a [`Digest`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected 64 hexadecimal digits, found {found:?}")]
pub struct ParseDigestError {
    /// The text that could not be parsed.
    pub found: String,
}

impl Digest {
    /// Creates a digest from its 32 bytes.
    #[must_use]
    pub const fn new(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the 32 bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_hex(text).map(Self).ok_or_else(|| ParseDigestError {
            found: text.to_owned(),
        })
    }
}

fn parse_hex(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
