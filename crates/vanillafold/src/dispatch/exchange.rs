//! The HTTP exchange of one send: writes the request to the target, reads the head of the answer
//! and relays the answer to the caller.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use monoio::time::timeout;
use vanillafold_policy::{AttemptFailure, NotRunReason};
use vanillafold_types::{ByteSize, Slots};
use vanillafold_wire::http::{
    BodyReader, Framing, HeadError, HttpReader, HttpWriter, ResponseHead, asks_to_close,
    declared_framing, encode_request_head, encode_response_head, encode_response_to_head_request,
    response_framing,
};

use super::header::{self, ForwardedHeaders};
use crate::node::Incoming;

/// How many bytes of an answer may be buffered for the caller while more can be added without
/// waiting for the target.
const MAX_UNFLUSHED_BYTES: usize = 16 * 1024;

/// What the head received from a target means; nothing of it was sent to the caller yet.
#[derive(Debug)]
pub(crate) enum ReceivedHead {
    /// The head of an answer to the request.
    Answer(AnswerHead),
    /// The target reports that the work did not start.
    NotRun {
        /// Why the work did not start.
        reason: NotRunReason,
        /// The slots in use at the target; `None` if it did not report them.
        load: Option<Slots>,
        /// Whether the answer was read to its end and the target keeps the connection open.
        keeps_connection: bool,
    },
}

/// The head of an answer that can be relayed.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    /// The slots in use at the target; `None` if it did not report them.
    pub(crate) load: Option<Slots>,
    /// Whether the request's method was HEAD, so that no body follows.
    is_head: bool,
}

impl AnswerHead {
    /// Returns whether the status is a server error (5xx).
    pub(crate) fn is_server_error(&self) -> bool {
        self.head.status.is_server_error()
    }

    /// Returns whether the target keeps the connection open after the answer.
    pub(crate) fn keeps_connection(&self) -> bool {
        !asks_to_close(&self.head.headers)
    }
}

/// Why an answer was not relayed to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayError {
    /// The target's answer broke off or was malformed.
    Target,
    /// The caller's connection broke.
    Caller,
}

/// Writes a request with a buffered body.
pub(crate) async fn send_buffered(
    writer: &mut HttpWriter,
    method: &Method,
    path: &str,
    headers: &ForwardedHeaders<'_>,
    body: Bytes,
    framing: Framing,
) -> io::Result<()> {
    encode_request_head(writer.buffer(), method, path, headers.iter(), framing);
    writer.write_body_piece_unless_empty(framing, body).await?;
    writer.write_body_end(framing);
    writer.flush().await
}

/// Reads the head of the answer. If the target reports that the work did not start, the answer's
/// body is read and discarded.
///
/// # Errors
///
/// [`AttemptFailure::Malformed`] for an invalid or too large head, [`AttemptFailure::Lost`] if the
/// connection broke.
pub(crate) async fn receive(
    incoming: &mut Incoming,
    method: &Method,
) -> Result<ReceivedHead, AttemptFailure> {
    let head = incoming
        .reader
        .read_response_head()
        .await
        .map_err(|error| head_failure(&error))?;
    let framing = response_framing(method, head.status, &head.headers)
        .map_err(|_| AttemptFailure::Malformed)?;
    let load = header::reported_load(&head.headers);
    let mut body = BodyReader::new(framing);
    match header::not_run_reason(&head.headers) {
        Some(reason) if head.status.is_server_error() => {
            while let Ok(Some(_)) = body.next(&mut incoming.reader).await {}
            Ok(ReceivedHead::NotRun {
                reason,
                load,
                keeps_connection: body.is_done() && !asks_to_close(&head.headers),
            })
        }
        _ => {
            incoming.body = Some(body);
            Ok(ReceivedHead::Answer(AnswerHead {
                head,
                framing,
                load,
                is_head: *method == Method::HEAD,
            }))
        }
    }
}

/// Relays an answer to the caller. Sets `relay_started` before its first bytes may be sent.
///
/// If the future is dropped midway, `incoming` can still read the rest of the answer.
///
/// # Errors
///
/// [`RelayError`] names the side at which the relaying failed.
pub(crate) async fn relay(
    incoming: &mut Incoming,
    answer: &AnswerHead,
    headers: &ForwardedHeaders<'_>,
    writer: &mut HttpWriter,
    relay_started: &mut bool,
) -> Result<(), RelayError> {
    let framing = answer.framing;
    let status = answer.head.status;
    if answer.is_head {
        // `receive` has already checked the framing headers.
        let announced = declared_framing(&answer.head.headers).ok().flatten();
        encode_response_to_head_request(writer.buffer(), status, headers.iter(), announced);
    } else {
        encode_response_head(writer.buffer(), status, headers.iter(), framing);
    }
    let Incoming { reader, body } = incoming;
    let body = body.as_mut().ok_or(RelayError::Target)?;
    while let Some(piece) = body.next(reader).await.map_err(|_| RelayError::Target)? {
        *relay_started |= piece.len() > MAX_UNFLUSHED_BYTES;
        writer
            .write_body_piece(framing, piece)
            .await
            .map_err(|_| RelayError::Caller)?;
        let continues_at_once = body.is_done() || reader.has_pending();
        if !continues_at_once || writer.buffer().len() > MAX_UNFLUSHED_BYTES {
            *relay_started = true;
            writer.flush().await.map_err(|_| RelayError::Caller)?;
        }
    }
    writer.write_body_end(framing);
    *relay_started = true;
    writer.flush().await.map_err(|_| RelayError::Caller)
}

/// Streams a caller's body to a target: `start`, which was read before, then the `rest`.
///
/// # Errors
///
/// [`UploadError`] names the side that ended the upload early.
pub(crate) async fn upload(
    writer: &mut HttpWriter,
    start: Bytes,
    rest: &mut BodyReader,
    reader: &mut HttpReader,
    framing: Framing,
    limits: UploadLimits,
) -> Result<(), UploadError> {
    writer
        .write_body_piece_unless_empty(framing, start)
        .await
        .map_err(|_| UploadError::Target)?;
    loop {
        writer.flush().await.map_err(|_| UploadError::Target)?;
        let piece = timeout(limits.piece_timeout, rest.next(reader)).await;
        match piece {
            Ok(Ok(Some(_))) if rest.received_bytes() > limits.max_body.get() => {
                return Err(UploadError::Caller);
            }
            Ok(Ok(Some(piece))) => writer
                .write_body_piece(framing, piece)
                .await
                .map_err(|_| UploadError::Target)?,
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => return Err(UploadError::Caller),
        }
    }
    writer.write_body_end(framing);
    writer.flush().await.map_err(|_| UploadError::Target)
}

/// The limits of a caller's body while it is streamed to a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UploadLimits {
    /// Maximum wait for the next piece.
    pub(crate) piece_timeout: Duration,
    /// Maximum size of the whole body.
    pub(crate) max_body: ByteSize,
}

/// Which side ended an upload early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UploadError {
    /// The caller's body broke off, was malformed, too slow or too large.
    Caller,
    /// The target's connection broke or no longer takes data.
    Target,
}

fn head_failure(error: &HeadError) -> AttemptFailure {
    match error {
        HeadError::Malformed(_) | HeadError::TooLarge { .. } | HeadError::TooManyHeaders { .. } => {
            AttemptFailure::Malformed
        }
        _ => AttemptFailure::Lost,
    }
}
