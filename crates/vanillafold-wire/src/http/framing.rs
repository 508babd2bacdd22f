//! Determines how the end of a message's body is found (RFC 9112, section 6.3).
//!
//! Framing headers that two programs could interpret differently are refused, because the
//! difference would allow request smuggling.

use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode};

use super::FramingError;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body has the chunked transfer encoding.
    Chunked,
}

/// Returns the framing of a request's body.
///
/// # Errors
///
/// Returns a [`FramingError`] if the framing headers are invalid or ambiguous.
pub fn request_framing(headers: &HeaderMap) -> Result<Framing, FramingError> {
    Ok(declared_framing(headers)?.unwrap_or(Framing::Empty))
}

/// Returns the framing of the body of a response to a request with method `method`.
///
/// # Errors
///
/// Returns a [`FramingError`] if the framing headers are invalid or ambiguous, or if the body would
/// end only with the connection.
pub fn response_framing(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Framing, FramingError> {
    let declared = declared_framing(headers)?;
    let bodyless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    match declared {
        _ if bodyless => Ok(Framing::Empty),
        Some(framing) => Ok(framing),
        None => Err(FramingError::CloseDelimited),
    }
}

/// Returns the framing that the headers declare, or `None` if there are no framing headers.
///
/// # Errors
///
/// Returns a [`FramingError`] if the framing headers are invalid or ambiguous.
pub fn declared_framing(headers: &HeaderMap) -> Result<Option<Framing>, FramingError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let length = lengths.next();
    let encoding = encodings.next();
    if lengths.next().is_some() || encodings.next().is_some() {
        return Err(FramingError::RepeatedHeader);
    }
    match (length, encoding) {
        (Some(_), Some(_)) => Err(FramingError::ConflictingHeaders),
        (Some(length), None) => parse_length(length.as_bytes()).map(Some),
        (None, Some(encoding)) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(FramingError::BadEncoding),
        (None, None) => Ok(None),
    }
}

fn parse_length(text: &[u8]) -> Result<Framing, FramingError> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::BadLength);
    }
    let length = std::str::from_utf8(text)
        .ok()
        .and_then(|digits| digits.parse::<u64>().ok())
        .ok_or(FramingError::BadLength)?;
    match length {
        0 => Ok(Framing::Empty),
        length => Ok(Framing::Length(length)),
    }
}
