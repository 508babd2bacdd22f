//! What can be wrong with a message.

use std::io;

/// Why no head could be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HeadError {
    /// The connection was closed before the first byte of a head.
    #[error("the connection was closed")]
    Closed,
    /// The connection was closed inside a head.
    #[error("the connection was closed inside a head")]
    Truncated,
    /// The head is larger than [`super::MAX_HEAD_BYTES`].
    #[error("the head is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The head has more headers than [`super::MAX_HEADERS`].
    #[error("the head has more than {limit} headers")]
    TooManyHeaders {
        /// The limit.
        limit: usize,
    },
    /// The head is not HTTP/1.1.
    #[error("the head is not valid HTTP/1.1: {0}")]
    Malformed(String),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
}

/// Why a message's length can't be told for certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FramingError {
    /// Both framing headers are there.
    #[error("both Content-Length and Transfer-Encoding are given")]
    ConflictingHeaders,
    /// A framing header stands more than once.
    #[error("a framing header is given more than once")]
    RepeatedHeader,
    /// `Content-Length` is not a plain number.
    #[error("Content-Length is not a plain number")]
    BadLength,
    /// `Transfer-Encoding` is not exactly `chunked`.
    #[error("Transfer-Encoding is not exactly chunked")]
    BadEncoding,
    /// An answer's end is marked only by the end of its connection.
    #[error("neither Content-Length nor Transfer-Encoding is given, so a cut can't be seen")]
    CloseDelimited,
}

/// Why a body could not be read to its end.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BodyError {
    /// The connection was closed inside the body.
    #[error("the connection was closed inside the body")]
    Truncated,
    /// A chunk is malformed.
    #[error("a chunk is malformed")]
    BadChunk,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
}
