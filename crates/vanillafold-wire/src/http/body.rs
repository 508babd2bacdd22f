//! Reading of message bodies in pieces of bounded size.

use bytes::{Buf, Bytes};

use super::{BodyError, Framing, HttpReader};

/// Maximum size of a piece of a body, in bytes; no more of a body is held in memory at once.
pub const MAX_PIECE_BYTES: usize = 64 * 1024;

/// Maximum length of a line between two chunks, in bytes: the chunk's size, its extensions and
/// the line's end.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum size of the trailers after the last chunk, in bytes. Trailers are discarded.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// Reads the body of one message.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    received_bytes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Done,
    Fixed { remaining: u64 },
    ChunkSize,
    ChunkData { remaining: u64 },
    ChunkEnd,
    Trailers { read: usize },
}

impl BodyReader {
    /// Creates a reader of a body with this framing.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(remaining) => State::Fixed { remaining },
            Framing::Chunked => State::ChunkSize,
        };
        Self {
            state,
            received_bytes: 0,
        }
    }

    /// Returns whether the body has been read to its end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns the number of bytes of the body that have been read, without its framing.
    #[must_use]
    pub const fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Reads the next piece, of at most [`MAX_PIECE_BYTES`] bytes; `None` at the body's end.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] if the body is truncated or malformed, or if the connection fails.
    pub async fn next(&mut self, reader: &mut HttpReader) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Fixed { remaining } => {
                    let piece = self.read_piece(reader, remaining).await?;
                    let remaining = remaining - piece.len() as u64;
                    self.state = match remaining {
                        0 => State::Done,
                        remaining => State::Fixed { remaining },
                    };
                    return Ok(Some(piece));
                }
                State::ChunkSize => {
                    let line = read_line(reader).await?;
                    self.state = match parse_chunk_size(&line)? {
                        0 => State::Trailers { read: 0 },
                        remaining => State::ChunkData { remaining },
                    };
                }
                State::ChunkData { remaining } => {
                    let piece = self.read_piece(reader, remaining).await?;
                    let remaining = remaining - piece.len() as u64;
                    self.state = match remaining {
                        0 => State::ChunkEnd,
                        remaining => State::ChunkData { remaining },
                    };
                    return Ok(Some(piece));
                }
                State::ChunkEnd => {
                    if !read_line(reader).await?.is_empty() {
                        return Err(BodyError::BadChunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers { read } => {
                    let line = read_line(reader).await?;
                    let read = read + line.len();
                    self.state = match line.is_empty() {
                        true => State::Done,
                        false if read <= MAX_TRAILER_BYTES => State::Trailers { read },
                        false => return Err(BodyError::BadChunk),
                    };
                }
            }
        }
    }

    async fn read_piece(
        &mut self,
        reader: &mut HttpReader,
        remaining: u64,
    ) -> Result<Bytes, BodyError> {
        let max_bytes = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(MAX_PIECE_BYTES);
        if reader.pending().is_empty() && reader.read_more(max_bytes).await? == 0 {
            return Err(BodyError::Truncated);
        }
        let piece = reader.take(max_bytes);
        self.received_bytes += piece.len() as u64;
        Ok(piece)
    }
}

/// Reads a line that ends in CR LF, and returns it without that ending.
async fn read_line(reader: &mut HttpReader) -> Result<Bytes, BodyError> {
    loop {
        let pending = reader.pending();
        if let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line = pending.split_to(end).freeze();
            pending.advance(1);
            return match line.strip_suffix(b"\r") {
                Some(text) => Ok(line.slice(..text.len())),
                None => Err(BodyError::BadChunk),
            };
        }
        if pending.len() > MAX_CHUNK_LINE_BYTES {
            return Err(BodyError::BadChunk);
        }
        if reader.read_more(MAX_CHUNK_LINE_BYTES).await? == 0 {
            return Err(BodyError::Truncated);
        }
    }
}

/// Parses the size on a chunk's first line and ignores its extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BodyError::BadChunk);
    }
    std::str::from_utf8(digits)
        .ok()
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or(BodyError::BadChunk)
}
