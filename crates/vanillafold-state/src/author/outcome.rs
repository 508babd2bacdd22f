//! The outcome of one record.

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use vanillafold_types::{Offset, Sequence};

use crate::RefusalReason;
use crate::table::Keyed;

const FINGERPRINT_BYTES: usize = 8;

/// The outcome of a record that was read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Outcome {
    /// The sequence that the author gave the record.
    pub sequence: Sequence,
    /// The offset at which the record was first read.
    pub offset: Offset,
    /// Whether the record was accepted, or why it was refused.
    pub verdict: Verdict,
    /// Identifies the record, to detect that an author has used one sequence for two records.
    pub(crate) fingerprint: Fingerprint,
}

impl Outcome {
    /// Returns whether this is the outcome of the record with these bytes. If not, another writer
    /// has used the same author and sequence, and the record with these bytes was refused.
    #[must_use]
    pub fn matches_record(&self, record: &[u8]) -> bool {
        self.fingerprint == Fingerprint::of(record)
    }
}

/// The decision on a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Verdict {
    /// The record was applied.
    Accepted,
    /// The record was refused for this reason and changed nothing.
    Refused(RefusalReason),
}

/// The first bytes of a record's SHA-256, which distinguish a repeated record from another record
/// with the same sequence.
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
