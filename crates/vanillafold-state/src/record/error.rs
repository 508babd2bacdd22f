//! Why bytes are not a record, or a record does not fit into the log.

use super::codec::{FORMAT_VERSION, MAX_RECORD_BYTES};

/// Why bytes are not a record, or a record does not fit into the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RecordError {
    /// The record is larger than the log takes.
    #[error(
        "expected at most {MAX_RECORD_BYTES} bytes, found {found_bytes}; split the change into several records"
    )]
    TooLarge {
        /// Its size.
        found_bytes: usize,
    },
    /// The record has no bytes.
    #[error("expected a format version byte, found an empty record")]
    Empty,
    /// The record has a format that this release does not read.
    #[error(
        "expected format version {FORMAT_VERSION}, found {found}; read it with the release that wrote it"
    )]
    Version {
        /// Its format version.
        found: u8,
    },
    /// The bytes behind the version are not a record.
    #[error("expected a record of this stream: {reason}")]
    Malformed {
        /// What the codec said.
        reason: String,
    },
    /// More bytes follow behind the record.
    #[error("expected the record's end, found {extra_bytes} more bytes")]
    TrailingBytes {
        /// How many bytes follow.
        extra_bytes: usize,
    },
}
