//! What is claimed, and by whom.

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use vanillafold_types::{DaemonId, Incarnation, RequestId, TeamId};

/// A request's identity: its id within its team, as the start of a SHA-256.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ClaimId(u128);

/// Who claims: one attempt of one incarnation of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ClaimToken(u64);

impl ClaimId {
    /// The identity of `request` within `team`; open queues have no team.
    #[must_use]
    pub fn new(team: Option<&TeamId>, request: &RequestId) -> Self {
        let mut hash = Sha256::new();
        hash.update(team.map_or("", TeamId::as_str));
        // Neither holds a slash, so that no two pairs read alike.
        hash.update("/");
        hash.update(request.as_str());
        Self(u128::from_be_bytes(first_bytes(&hash.finalize())))
    }

    /// The upper bits, which are as good as random.
    pub(crate) const fn upper_bits(self, bits: u32) -> usize {
        (self.0 >> (128 - bits)) as usize
    }

    /// How much `daemon` is meant for this id: the highest scores own it.
    pub(crate) fn score(self, daemon: &DaemonId) -> u64 {
        let mut hash = Sha256::new();
        hash.update(self.0.to_be_bytes());
        hash.update(daemon.as_str());
        u64::from_be_bytes(first_bytes(&hash.finalize()))
    }
}

impl ClaimToken {
    /// The token of request `number` of an incarnation of `daemon`.
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
