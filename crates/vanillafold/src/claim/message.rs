//! What daemons ask each other about claims.

use bincode::{Decode, Encode};
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
