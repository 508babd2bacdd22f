//! The body of a caller's request: buffered in memory if it is small, otherwise streamed to the
//! target.

use bytes::{Bytes, BytesMut};
use monoio::time::Instant;
use monoio::time::timeout_at;
use vanillafold_types::{ByteSize, MAX_REPLAYABLE_BODY, Millis, ResultCode};
use vanillafold_wire::http::{BodyError, BodyReader, Framing, HttpReader};

/// Bodies up to this size are buffered, so that a retry can send them again.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = MAX_REPLAYABLE_BODY.get() as usize;

/// A request's body that is ready to be sent to a target.
#[derive(Debug)]
pub(crate) enum PreparedBody {
    /// The whole body, in memory.
    Buffered(Bytes),
    /// A body of more than [`MAX_BUFFERED_BODY_BYTES`].
    Streamed {
        /// The bytes read so far; empty if reading has not begun.
        start: Bytes,
        /// Reads the remaining bytes from the caller's connection.
        rest: BodyReader,
    },
    /// A body that was streamed to a target and can't be sent again.
    Consumed {
        /// Whether the caller's body was read to its end.
        fully_read: bool,
    },
}

impl PreparedBody {
    /// Reads a body of at most [`MAX_BUFFERED_BODY_BYTES`] whole, and at most the start of a larger
    /// one.
    ///
    /// # Errors
    ///
    /// `OversizedBody` if more than `max_body` bytes arrive, `MalformedBody` for an invalid chunk,
    /// `SlowBody` if a piece takes longer than `piece_ms`, the deadline passes or the connection
    /// breaks.
    pub(crate) async fn read(
        reader: &mut HttpReader,
        framing: Framing,
        max_body: ByteSize,
        piece_ms: Millis,
        deadline: Instant,
    ) -> Result<Self, ResultCode> {
        let mut rest = BodyReader::new(framing);
        if matches!(framing, Framing::Length(length) if length > MAX_BUFFERED_BODY_BYTES as u64) {
            return Ok(Self::Streamed {
                start: Bytes::new(),
                rest,
            });
        }
        let mut start = BytesMut::new();
        while !rest.is_done() {
            let piece = next_piece(&mut rest, reader, piece_ms, deadline).await?;
            // A chunked body does not announce its length.
            if rest.received_bytes() > max_body.get() {
                return Err(ResultCode::OversizedBody);
            }
            match piece {
                Some(piece) if start.is_empty() && rest.is_done() => {
                    return Ok(Self::Buffered(piece));
                }
                Some(piece) => start.extend_from_slice(&piece),
                None => break,
            }
            if start.len() > MAX_BUFFERED_BODY_BYTES {
                let start = start.freeze();
                return Ok(Self::Streamed { start, rest });
            }
        }
        Ok(Self::Buffered(start.freeze()))
    }

    /// Takes the body out to be sent; a buffered body stays available for another send.
    pub(crate) fn take(&mut self) -> Self {
        match self {
            Self::Buffered(body) => Self::Buffered(body.clone()),
            Self::Streamed { .. } | Self::Consumed { .. } => {
                std::mem::replace(self, Self::Consumed { fully_read: false })
            }
        }
    }

    /// Returns whether the body was read to its end, so that the caller's next request can follow.
    pub(crate) fn is_fully_read(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed { rest, .. } => rest.is_done(),
            Self::Consumed { fully_read } => *fully_read,
        }
    }

    /// Returns whether the body can be sent more than once.
    pub(crate) const fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the framing towards the target, given the framing that the caller used.
    pub(crate) const fn framing(&self, received: Framing) -> Framing {
        match self {
            Self::Buffered(body) if body.is_empty() => Framing::Empty,
            Self::Buffered(body) => Framing::Length(body.len() as u64),
            Self::Streamed { .. } | Self::Consumed { .. } => received,
        }
    }
}

/// Reads the next piece of a body, which must arrive within `piece_ms` and before `deadline`.
async fn next_piece(
    body: &mut BodyReader,
    reader: &mut HttpReader,
    piece_ms: Millis,
    deadline: Instant,
) -> Result<Option<Bytes>, ResultCode> {
    let until = deadline.min(Instant::now() + piece_ms.duration());
    match timeout_at(until, body.next(reader)).await {
        Ok(Ok(piece)) => Ok(piece),
        Ok(Err(BodyError::BadChunk)) => Err(ResultCode::MalformedBody),
        Ok(Err(_)) | Err(_) => Err(ResultCode::SlowBody),
    }
}
