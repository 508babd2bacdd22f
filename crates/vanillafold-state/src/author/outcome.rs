//! What became of one record.

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use vanillafold_types::{Offset, Sequence};

use crate::RefusalReason;
use crate::table::Keyed;

const FINGERPRINT_BYTES: usize = 8;

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Outcome {
    /// The author's count of the record.
    pub sequence: Sequence,
    /// Where the record was first read.
    pub offset: Offset,
    /// Whether it took effect.
    pub verdict: Verdict,
    /// Which record it was: the author's sequence must not stand for two.
    pub(crate) fingerprint: Fingerprint,
}

impl Outcome {
    /// Whether this is the outcome of the record that has these bytes. If not, another writer
    /// uses the same author and sequence, and the record itself was refused.
    #[must_use]
    pub fn matches_record(&self, record: &[u8]) -> bool {
        self.fingerprint == Fingerprint::of(record)
    }
}

/// Whether a record took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The record changed nothing.
    Refused(RefusalReason),
}

/// The start of a record's SHA-256, to tell a repeat from another record of the same sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    pub(crate) fn of(record: &[u8]) -> Self {
        let hash = Sha256::digest(record);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl Keyed for Outcome {
    type Key = Sequence;

    fn key(&self) -> &Sequence {
        &self.sequence
    }
}
