//! Finds the end of a head and checks its limits before it is parsed.
//!
//! `httparse`, which `monoio-http` uses, also ends a line at a bare LF, and `monoio-http` then
//! drops the bytes between such an end of the head and the next CR LF CR LF. Another program on
//! the way could interpret them as a second request (request smuggling), so a bare LF is refused
//! here (RFC 9112, section 2.2).

use super::HeadError;

/// Maximum size of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of headers in a head; the parser accepts no more.
pub const MAX_HEADERS: usize = 96;

/// Returns the length in bytes of the empty lines that `bytes` begins with; they are ignored before
/// a message (RFC 9112, section 2.2).
pub(crate) fn leading_empty_lines_len(bytes: &[u8]) -> usize {
    let pairs = bytes.chunks_exact(2);
    2 * pairs.take_while(|pair| *pair == b"\r\n").count()
}

/// Returns whether `bytes`, which begin with a line that is not empty, contain a complete head.
///
/// # Errors
///
/// Returns a [`HeadError`] as soon as no further bytes could complete `bytes` to a valid head.
pub(crate) fn is_complete(bytes: &[u8]) -> Result<bool, HeadError> {
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
        // One line more than there may be headers: the request line or status line.
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
