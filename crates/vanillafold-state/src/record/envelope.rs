//! The envelope of a record: the change with its author, sequence and position.

use bincode::{Decode, Encode};
use vanillafold_types::{Offset, Sequence};

use super::{Author, RecordError, codec};

/// A change with its author, the author's sequence and the offset from which it was made.
///
/// A repeated append must have the same bytes: the fold applies the first one and ignores the rest.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Record<C> {
    /// The daemon or operator's tool that wrote the record.
    pub author: Author,
    /// The author's number of the record in this stream, from 1.
    pub sequence: Sequence,
    /// The next offset of the stream in the state from which the author made the record.
    ///
    /// A record that is appended more than [`RECORD_WINDOW`](crate::RECORD_WINDOW) offsets later is
    /// refused, because the fold may no longer have the outcome of an earlier copy.
    pub as_of: Offset,
    /// The change that the record makes to the stream's state.
    pub change: C,
}

impl<C: Encode> Record<C> {
    /// Encodes the record for the log.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::TooLarge`] if the record exceeds
    /// [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        codec::encode(self)
    }
}

impl<C: Decode<()>> Record<C> {
    /// Decodes a record of the log.
    ///
    /// # Errors
    ///
    /// Returns a [`RecordError`] if the bytes are not exactly one record of this stream.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        codec::decode(bytes)
    }
}
