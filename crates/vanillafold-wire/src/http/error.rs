//! The errors of reading a message's head, framing and body.

use std::io;

/// The error of reading the head of a message.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HeadError {
    /// The connection was closed before the first byte of a head.
    #[error("the connection was closed")]
    Closed,
    /// The connection was closed in the middle of a head.
    #[error("the connection was closed in the middle of a head")]
    Truncated,
    /// The head is larger than [`super::MAX_HEAD_BYTES`] bytes.
    #[error("the head is larger than {limit} bytes")]
    TooLarge {
        /// Maximum size of a head, in bytes.
        limit: usize,
    },
    /// The head has more headers than [`super::MAX_HEADERS`].
    #[error("the head has more than {limit} headers")]
    TooManyHeaders {
        /// Maximum number of headers.
        limit: usize,
    },
    /// The head is not valid HTTP/1.1, for the reason in the field.
    #[error("the head is not valid HTTP/1.1: {0}")]
    Malformed(String),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}

/// Why the length of a message's body is missing or ambiguous.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FramingError {
    /// Both `Content-Length` and `Transfer-Encoding` are given.
    #[error("both Content-Length and Transfer-Encoding are given")]
    ConflictingHeaders,
    /// `Content-Length` or `Transfer-Encoding` is given more than once.
    #[error("a framing header is given more than once")]
    RepeatedHeader,
    /// `Content-Length` is not a decimal number that fits into 64 bits.
    #[error("Content-Length is not a decimal number that fits into 64 bits")]
    BadLength,
    /// `Transfer-Encoding` is not exactly `chunked`.
    #[error("Transfer-Encoding is not exactly chunked")]
    BadEncoding,
    /// A response's body would end with its connection, so a truncated one could not be detected.
    #[error(
        "neither Content-Length nor Transfer-Encoding is given, so truncation could not be detected"
    )]
    CloseDelimited,
}

/// The error of reading the body of a message.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BodyError {
    /// The connection was closed before the end of the body.
    #[error("the connection was closed before the end of the body")]
    Truncated,
    /// A chunk's size or ending is malformed, or the trailers are too long.
    #[error("a chunk or the trailers of the body are malformed")]
    BadChunk,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}
