//! Errors of encoding and decoding records.

use super::codec::{FORMAT_VERSION, MAX_RECORD_BYTES};

/// Why a record could not be encoded or bytes could not be decoded as a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD_BYTES`], which is the most that the log accepts.
    #[error(
        "record of {found_bytes} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes; split the change into several records"
    )]
    TooLarge {
        /// The record's size.
        found_bytes: usize,
    },
    /// The record is empty, without even a format version.
    #[error("expected a format version byte, found an empty record")]
    Empty,
    /// The record has a format version that this release doesn't read.
    #[error(
        "unsupported record format version {found}, expected {FORMAT_VERSION}; read the record with the release that wrote it"
    )]
    Version {
        /// The record's format version.
        found: u8,
    },
    /// The bytes after the format version are not a record of the stream.
    #[error("malformed record of this stream: {reason}")]
    Malformed {
        /// The codec's error message.
        reason: String,
    },
    /// More bytes follow after the record.
    #[error("expected the end of the record, found {extra_bytes} more bytes")]
    TrailingBytes {
        /// The number of bytes after the record.
        extra_bytes: usize,
    },
}
