//! Where a head ends, and what is refused before it is parsed.
//!
//! `httparse`, under `monoio-http`, also ends a line at a bare LF, and `monoio-http` then drops
//! what stands between such an end of the head and the next CR LF CR LF. Another program on the
//! way could read that as a second request, so a bare LF is refused here (RFC 9112, section 2.2).

use super::HeadError;

/// The largest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The most headers of a head; the parser takes no more.
pub const MAX_HEADERS: usize = 96;

/// The length of the empty lines that `bytes` begins with (RFC 9112, section 2.2).
pub(crate) fn empty_lines(bytes: &[u8]) -> usize {
    let pairs = bytes.chunks_exact(2);
    2 * pairs.take_while(|pair| *pair == b"\r\n").count()
}

/// Whether `bytes`, which begin with a line that is not empty, hold a whole head.
///
/// # Errors
///
/// [`HeadError`] as soon as they can't become a head any more.
pub(crate) fn is_whole(bytes: &[u8]) -> Result<bool, HeadError> {
    let mut line_start = 0;
    let mut lines = 0;
    for (at, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        let line = &bytes[line_start..at];
        match line {
            _ if at >= MAX_HEAD_BYTES => break,
            [b'\r'] => return Ok(true),
            [.., b'\r'] => {}
            _ => return Err(HeadError::Malformed("a line ends in a bare LF".to_owned())),
        }
        lines += 1;
        // The first line is the request's or the status line.
        if lines > MAX_HEADERS + 1 {
            return Err(HeadError::TooManyHeaders { limit: MAX_HEADERS });
        }
        line_start = at + 1;
    }
    match bytes.len() {
        length if length >= MAX_HEAD_BYTES => Err(HeadError::TooLarge {
            limit: MAX_HEAD_BYTES,
        }),
        _ => Ok(false),
    }
}
