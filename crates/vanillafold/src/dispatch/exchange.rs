//! One send to a target: the request out, the answer's head back, then the answer passed on.

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

use super::header::{self, PassedHeaders};
use crate::node::Incoming;

/// Bytes that may wait for the caller while more of the answer is at hand.
const MAX_UNSENT: usize = 16 * 1024;

/// What a target gave before any of it was passed on.
#[derive(Debug)]
pub(crate) enum Received {
    /// The head of an answer.
    Head(AnswerHead),
    /// The target says that the work did not start.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// Slots in use there.
        load: Option<Slots>,
    },
}

/// The head of an answer that can be passed on.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    pub(crate) load: Option<Slots>,
    /// Whether it answers a HEAD.
    is_head: bool,
}

impl AnswerHead {
    /// Whether the target reports a fault of its own.
    pub(crate) fn is_server_error(&self) -> bool {
        self.head.status.is_server_error()
    }

    /// Whether the target keeps the connection open afterwards.
    pub(crate) fn keeps_connection(&self) -> bool {
        !asks_to_close(&self.head.headers)
    }
}

/// Why an answer was not passed on whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayFault {
    /// The target's answer ended early or was wrong.
    Target,
    /// The caller's connection broke.
    Caller,
}

/// Writes a request whose body is whole in memory.
pub(crate) async fn send_whole(
    writer: &mut HttpWriter,
    method: &Method,
    path: &str,
    headers: &PassedHeaders<'_>,
    body: Bytes,
    framing: Framing,
) -> io::Result<()> {
    encode_request_head(writer.buffer(), method, path, headers.iter(), framing);
    writer.write_body_piece_unless_empty(framing, body).await?;
    writer.write_body_end(framing);
    writer.flush().await
}

/// Reads the head of the answer; a refusal's body is read over.
pub(crate) async fn receive(
    incoming: &mut Incoming,
    method: &Method,
) -> Result<Received, AttemptFailure> {
    let head = incoming
        .reader
        .read_response_head()
        .await
        .map_err(|error| head_failure(&error))?;
    let framing = response_framing(method, head.status, &head.headers)
        .map_err(|_| AttemptFailure::Malformed)?;
    let load = header::load(&head.headers);
    let mut body = BodyReader::new(framing);
    match header::not_run(&head.headers) {
        Some(reason) if head.status.is_server_error() => {
            while let Ok(Some(_)) = body.next(&mut incoming.reader).await {}
            Ok(Received::NotRun { reason, load })
        }
        _ => {
            incoming.body = Some(body);
            Ok(Received::Head(AnswerHead {
                head,
                framing,
                load,
                is_head: *method == Method::HEAD,
            }))
        }
    }
}

/// Passes an answer on. `passed_on` becomes true when its first byte may have left.
///
/// Given up in the middle, it leaves in `incoming` what is needed to read the answer's rest.
pub(crate) async fn relay(
    incoming: &mut Incoming,
    answer: &AnswerHead,
    headers: &PassedHeaders<'_>,
    writer: &mut HttpWriter,
    passed_on: &mut bool,
) -> Result<(), RelayFault> {
    let framing = answer.framing;
    let status = answer.head.status;
    if answer.is_head {
        // It was read without a doubt about its framing.
        let announced = declared_framing(&answer.head.headers).ok().flatten();
        encode_response_to_head_request(writer.buffer(), status, headers.iter(), announced);
    } else {
        encode_response_head(writer.buffer(), status, headers.iter(), framing);
    }
    let Incoming { reader, body } = incoming;
    let body = body.as_mut().ok_or(RelayFault::Target)?;
    while let Some(piece) = body.next(reader).await.map_err(|_| RelayFault::Target)? {
        *passed_on |= piece.len() > MAX_UNSENT;
        writer
            .write_body_piece(framing, piece)
            .await
            .map_err(|_| RelayFault::Caller)?;
        let more_at_hand = body.is_done() || reader.has_pending();
        if !more_at_hand || writer.buffer().len() > MAX_UNSENT {
            *passed_on = true;
            writer.flush().await.map_err(|_| RelayFault::Caller)?;
        }
    }
    writer.write_body_end(framing);
    *passed_on = true;
    writer.flush().await.map_err(|_| RelayFault::Caller)
}

/// Streams a caller's body to a target, piece by piece.
pub(crate) async fn upload(
    writer: &mut HttpWriter,
    start: Bytes,
    rest: &mut BodyReader,
    reader: &mut HttpReader,
    framing: Framing,
    limits: UploadLimits,
) -> Result<(), UploadFault> {
    writer
        .write_body_piece_unless_empty(framing, start)
        .await
        .map_err(|_| UploadFault::Target)?;
    loop {
        writer.flush().await.map_err(|_| UploadFault::Target)?;
        let piece = timeout(limits.piece, rest.next(reader)).await;
        match piece {
            Ok(Ok(Some(_))) if rest.received_bytes() > limits.max_body.get() => {
                return Err(UploadFault::Caller);
            }
            Ok(Ok(Some(piece))) => writer
                .write_body_piece(framing, piece)
                .await
                .map_err(|_| UploadFault::Target)?,
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => return Err(UploadFault::Caller),
        }
    }
    writer.write_body_end(framing);
    writer.flush().await.map_err(|_| UploadFault::Target)
}

/// What a caller's body must keep to while it is passed on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UploadLimits {
    /// The wait for each piece.
    pub(crate) piece: Duration,
    /// The size of the whole.
    pub(crate) max_body: ByteSize,
}

/// Whose side broke an upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UploadFault {
    /// The caller's body broke off, or turned out too large.
    Caller,
    /// The target took no more.
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
