//! What daemons ask each other about claims.

use bincode::{Decode, Encode, config};
use vanillafold_state::{ClaimAnswer, ClaimId, ClaimPage, ClaimToken};

/// A question to an owner.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub(crate) enum ClaimRequest {
    /// Claims an id.
    Claim {
        /// The id.
        id: ClaimId,
        /// Who claims it.
        token: ClaimToken,
    },
    /// Gives a claim up.
    Release {
        /// The id.
        id: ClaimId,
        /// Who had claimed it.
        token: ClaimToken,
    },
    /// Asks for the claims that the asker owns too, from the id behind `after` on.
    Page {
        /// The last id that the asker has.
        after: Option<ClaimId>,
    },
}

/// An owner's answer.
#[derive(Debug, Clone, Encode, Decode)]
pub(crate) enum ClaimResponse {
    /// To a claim.
    Claim(ClaimAnswer),
    /// To a release.
    Released,
    /// A part of the owner's claims.
    Page(ClaimPage),
}

/// Encodes a message; plain values always fit.
pub(crate) fn encode<T: Encode>(message: &T) -> Vec<u8> {
    match bincode::encode_to_vec(message, config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("memory takes any bytes: {error}"),
    }
}

/// Decodes a message; `None` if it is not one.
pub(crate) fn decode<T: Decode<()>>(bytes: &[u8]) -> Option<T> {
    match bincode::decode_from_slice(bytes, config::standard()) {
        Ok((message, length)) if length == bytes.len() => Some(message),
        _ => None,
    }
}
