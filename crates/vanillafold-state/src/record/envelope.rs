//! What every record carries beside its change.

use bincode::{Decode, Encode};
use vanillafold_types::{Offset, Sequence};

use super::{Author, RecordError, codec};

/// A change, who wrote it and when in the stream's order.
///
/// A repeat of an append carries the same bytes: the fold takes the first and ignores the rest.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Record<C> {
    /// Who wrote it.
    pub author: Author,
    /// The author's own count of its records in this stream, from 1.
    pub sequence: Sequence,
    /// The next offset of the stream in the state from which the author made the record.
    ///
    /// A record that lands more than [`RECORD_WINDOW`](crate::RECORD_WINDOW) offsets later
    /// is refused, because the fold may have forgotten that it saw it before.
    pub as_of: Offset,
    /// What it changes.
    pub change: C,
}

impl<C: Encode> Record<C> {
    /// The record as the log keeps it.
    ///
    /// # Errors
    ///
    /// [`RecordError::TooLarge`] above [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        codec::encode(self)
    }
}

impl<C: Decode<()>> Record<C> {
    /// Reads a record of the log.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if the bytes are not exactly one record of this stream.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        codec::decode(bytes)
    }
}
