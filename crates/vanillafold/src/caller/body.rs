//! A request's body: whole in memory if it is small, otherwise streamed.

use bytes::{Bytes, BytesMut};
use monoio::time::Instant;
use monoio::time::timeout_at;
use vanillafold_types::{ByteSize, Millis, ResultCode};
use vanillafold_wire::http::{BodyError, BodyReader, Framing, HttpReader};

/// Bodies up to this size are held whole, so that they can be sent again, in bytes.
pub(crate) const MAX_WHOLE_BODY: usize = 64 * 1024;

/// A body that is ready to be sent.
#[derive(Debug)]
pub(crate) enum PreparedBody {
    /// All of it.
    Whole(Bytes),
    /// Its start, and a reader for the rest.
    Streamed {
        /// What has been read.
        start: Bytes,
        /// The rest.
        rest: BodyReader,
    },
    /// It was streamed and can't be sent again.
    Spent {
        /// Whether it was read to its end.
        read: bool,
    },
}

impl PreparedBody {
    /// Reads a small body whole; of a large one, at most its start.
    pub(crate) async fn read(
        reader: &mut HttpReader,
        framing: Framing,
        max_body: ByteSize,
        piece_ms: Millis,
        deadline: Instant,
    ) -> Result<Self, ResultCode> {
        let mut rest = BodyReader::new(framing);
        if matches!(framing, Framing::Length(length) if length > MAX_WHOLE_BODY as u64) {
            return Ok(Self::Streamed {
                start: Bytes::new(),
                rest,
            });
        }
        let mut start = BytesMut::new();
        while !rest.is_done() {
            let piece = next_piece(&mut rest, reader, piece_ms, deadline).await?;
            // Chunks don't say beforehand how large the body is.
            if rest.received_bytes() > max_body.get() {
                return Err(ResultCode::OversizedBody);
            }
            match piece {
                Some(piece) if start.is_empty() && rest.is_done() => {
                    return Ok(Self::Whole(piece));
                }
                Some(piece) => start.extend_from_slice(&piece),
                None => break,
            }
            if start.len() > MAX_WHOLE_BODY {
                let start = start.freeze();
                return Ok(Self::Streamed { start, rest });
            }
        }
        Ok(Self::Whole(start.freeze()))
    }

    /// Takes the body out to be sent; one that is whole stays at hand.
    pub(crate) fn take(&mut self) -> Self {
        match self {
            Self::Whole(body) => Self::Whole(body.clone()),
            Self::Streamed { .. } | Self::Spent { .. } => {
                std::mem::replace(self, Self::Spent { read: false })
            }
        }
    }

    /// Whether the caller's connection is past it.
    pub(crate) fn is_read(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed { rest, .. } => rest.is_done(),
            Self::Spent { read } => *read,
        }
    }

    /// Whether it can be sent more than once.
    pub(crate) const fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// How it is framed on the way to the target.
    pub(crate) const fn framing(&self, received: Framing) -> Framing {
        match self {
            Self::Whole(body) if body.is_empty() => Framing::Empty,
            Self::Whole(body) => Framing::Length(body.len() as u64),
            Self::Streamed { .. } | Self::Spent { .. } => received,
        }
    }
}

/// The next piece of a body, which must come within `piece_ms` and before `deadline`.
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
