//! Bodies, read in pieces of bounded size.

use bytes::{Buf, Bytes};

use super::{BodyError, Framing, HttpReader};

/// The largest piece of a body that is held at once, in bytes.
pub const MAX_PIECE_BYTES: usize = 64 * 1024;

/// The longest line between two chunks, in bytes: a size, its extensions and the line's end.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The most bytes of trailers that are read over.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// Reads one body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    received_bytes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Done,
    Fixed { left: u64 },
    ChunkSize,
    ChunkData { left: u64 },
    ChunkEnd,
    Trailers { read: usize },
}

impl BodyReader {
    /// Starts reading a body of this framing.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(left) => State::Fixed { left },
            Framing::Chunked => State::ChunkSize,
        };
        Self {
            state,
            received_bytes: 0,
        }
    }

    /// Whether the body has been read to its end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// The body's bytes so far.
    #[must_use]
    pub const fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// The next piece, at most [`MAX_PIECE_BYTES`] bytes; `None` at the body's end.
    ///
    /// # Errors
    ///
    /// A body that is cut short or malformed.
    pub async fn next(&mut self, reader: &mut HttpReader) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Fixed { left } => {
                    let piece = self.piece(reader, left).await?;
                    let left = left - piece.len() as u64;
                    self.state = match left {
                        0 => State::Done,
                        left => State::Fixed { left },
                    };
                    return Ok(Some(piece));
                }
                State::ChunkSize => {
                    let line = line(reader).await?;
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers { read: 0 },
                        left => State::ChunkData { left },
                    };
                }
                State::ChunkData { left } => {
                    let piece = self.piece(reader, left).await?;
                    let left = left - piece.len() as u64;
                    self.state = match left {
                        0 => State::ChunkEnd,
                        left => State::ChunkData { left },
                    };
                    return Ok(Some(piece));
                }
                State::ChunkEnd => {
                    if !line(reader).await?.is_empty() {
                        return Err(BodyError::BadChunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers { read } => {
                    let line = line(reader).await?;
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

    async fn piece(&mut self, reader: &mut HttpReader, left: u64) -> Result<Bytes, BodyError> {
        let most = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(MAX_PIECE_BYTES);
        if reader.pending().is_empty() && reader.fill(most).await? == 0 {
            return Err(BodyError::Truncated);
        }
        let piece = reader.take(most);
        self.received_bytes += piece.len() as u64;
        Ok(piece)
    }
}

/// Reads a line that ends in CR LF, without its end.
async fn line(reader: &mut HttpReader) -> Result<Bytes, BodyError> {
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
        if reader.fill(MAX_CHUNK_LINE_BYTES).await? == 0 {
            return Err(BodyError::Truncated);
        }
    }
}

/// The size on a chunk's first line; extensions are passed over.
fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
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
