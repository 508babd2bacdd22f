//! Identifiers of claimed requests and of the attempts that claim them.

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use vanillafold_types::{DaemonId, Incarnation, RequestId, TeamId};

/// The identity of a request: the first 16 bytes of the SHA-256 of its team and request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ClaimId(u128);

/// The holder of a claim: one attempt of one incarnation of a daemon, as the first 8 bytes of a
/// SHA-256.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ClaimToken(u64);

impl ClaimId {
    /// Returns the identity of `request` within `team`; requests of open queues have no team.
    #[must_use]
    pub fn new(team: Option<&TeamId>, request: &RequestId) -> Self {
        let mut hash = Sha256::new();
        hash.update(team.map_or("", TeamId::as_str));
        // Neither id contains a slash, so different pairs never give the same input.
        hash.update("/");
        hash.update(request.as_str());
        Self(u128::from_be_bytes(first_bytes(&hash.finalize())))
    }

    /// Returns the upper `bits` bits, which are uniformly distributed.
    pub(crate) const fn upper_bits(self, bits: u32) -> usize {
        (self.0 >> (128 - bits)) as usize
    }

    /// Returns the rendezvous-hashing score of `daemon` for this id; the daemons with the highest
    /// scores own the claim.
    pub(crate) fn score(self, daemon: &DaemonId) -> u64 {
        let mut hash = Sha256::new();
        hash.update(self.0.to_be_bytes());
        hash.update(daemon.as_str());
        u64::from_be_bytes(first_bytes(&hash.finalize()))
    }
}

impl ClaimToken {
    /// Returns the token of attempt `number` of an incarnation of `daemon`.
    #[must_use]
    pub fn new(daemon: &DaemonId, incarnation: Incarnation, number: u64) -> Self {
        let mut hash = Sha256::new();
        hash.update(daemon.as_str());
        hash.update(incarnation.get().to_be_bytes());
        hash.update(number.to_be_bytes());
        Self(u64::from_be_bytes(first_bytes(&hash.finalize())))
    }
}

fn first_bytes<const N: usize>(hash: &[u8]) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&hash[..N]);
    bytes
}
