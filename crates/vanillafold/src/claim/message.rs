//! The requests about claims that daemons send each other, and their responses.

use bincode::{Decode, Encode};
use vanillafold_state::{ClaimAnswer, ClaimId, ClaimPage, ClaimToken};

/// A request to an owner of the id.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub(crate) enum ClaimRequest {
    /// Claims an id for a request.
    Claim {
        /// The id to be claimed.
        id: ClaimId,
        /// Identifies this claim among all claims on the id.
        token: ClaimToken,
    },
    /// Releases a claim, so that the id can be claimed again.
    Release {
        /// The claimed id.
        id: ClaimId,
        /// The token of the claim to be released.
        token: ClaimToken,
    },
    /// Asks for the claims on ids of which the sender is an owner too, in the order of their ids.
    Page {
        /// The last id of the previous page; `None` for the first page.
        after: Option<ClaimId>,
    },
}

/// An owner's response.
#[derive(Debug, Clone, Encode, Decode)]
pub(crate) enum ClaimResponse {
    /// The response to [`ClaimRequest::Claim`].
    Claim(ClaimAnswer),
    /// The response to [`ClaimRequest::Release`].
    Released,
    /// The response to [`ClaimRequest::Page`].
    Page(ClaimPage),
}
