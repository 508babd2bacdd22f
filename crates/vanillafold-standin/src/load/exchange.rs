//! Sends one request over a connection and receives its answer.

use std::fmt::Write as _;
use std::pin::pin;

use bytes::BytesMut;
use http::header::HeaderMap;
use http::{Method, StatusCode};
use vanillafold_wire::http::{
    BodyReader, Framing, HttpReader, HttpWriter, ResponseHead, response_framing,
};

use super::options::LoadOptions;
use super::request::PlannedRequest;
use crate::trace::{AnswerBody, AnswerChecker, BodyVerdict, ReceivedOutcome};

/// What was received for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    /// How the request ended, as the answer's head says.
    pub(crate) outcome: ReceivedOutcome,
    pub(crate) code: Option<u16>,
    pub(crate) status: Option<u16>,
    /// Whether the body is complete and correct.
    pub(crate) whole: bool,
    /// The request id that the answer names.
    pub(crate) answered_request: Option<String>,
    pub(crate) daemon: Option<String>,
    /// Whether the connection can carry another request.
    pub(crate) reusable: bool,
}

impl Reply {
    /// The reply if no head of an answer was received.
    pub(crate) const fn no_answer() -> Self {
        Self {
            outcome: ReceivedOutcome::NoAnswer,
            code: None,
            status: None,
            whole: false,
            answered_request: None,
            daemon: None,
            reusable: false,
        }
    }
}

/// Sends a request and waits for the end of its answer.
///
/// `reply` is filled in as the answer arrives, so that it holds what was received so far if this
/// future is dropped before its end.
pub(crate) async fn exchange(
    options: &LoadOptions,
    request: &PlannedRequest,
    (reader, writer): &mut (HttpReader, HttpWriter),
    reply: &mut Reply,
) {
    let framing = request_framing(options, request);
    encode_head(options, request, framing, writer.buffer());
    let sent = {
        let mut send = pin!(send(request, framing, writer));
        let mut receive = pin!(receive(options, request, reader, reply));
        // A refusal may arrive before the whole body was sent; the rest is then not sent.
        monoio::select! {
            biased;
            sent = &mut send => {
                receive.await;
                sent
            }
            () = &mut receive => false,
        }
    };
    reply.reusable &= sent;
}

// --- Sending -----------------------------------------------------------------------------------

fn request_framing(options: &LoadOptions, request: &PlannedRequest) -> Framing {
    match request.body_bytes {
        0 => Framing::Empty,
        _ if options.work.chunked => Framing::Chunked,
        bytes => Framing::Length(bytes),
    }
}

fn encode_head(
    options: &LoadOptions,
    request: &PlannedRequest,
    framing: Framing,
    head: &mut BytesMut,
) {
    let deadline_ms = request.remaining_ms(&options.work);
    let key = request.key.and_then(|key| options.keys.get(key));
    // Writing to a buffer in memory can't fail.
    let _ = match options.direct {
        true => write!(head, "POST /work HTTP/1.1\r\nvf-attempt: 1\r\n"),
        false => write!(
            head,
            "POST /queues/{}/work HTTP/1.1\r\n",
            options.queues[request.queue].queue
        ),
    };
    let _ = match key {
        Some(key) if !options.direct => write!(head, "authorization: Bearer {}\r\n", key.key),
        Some(key) => match &key.team {
            Some(team) => write!(head, "vf-team: {team}\r\n"),
            None => Ok(()),
        },
        None => Ok(()),
    };
    let _ = write!(
        head,
        "host: vanillafold\r\nvf-request-id: {}\r\nvf-idempotent: {}\r\nvf-deadline-ms: {deadline_ms}\r\n\
         work-ms: {}\r\nanswer-bytes: {}\r\n",
        request.id, request.idempotent, request.work_ms, request.answer_bytes
    );
    let _ = match request.echo {
        true => write!(head, "work-echo: true\r\n"),
        false if options.work.chunked => write!(head, "answer-chunked: true\r\n"),
        false => Ok(()),
    };
    let _ = match framing {
        Framing::Empty => write!(head, "content-length: 0\r\n\r\n"),
        Framing::Length(length) => write!(head, "content-length: {length}\r\n\r\n"),
        Framing::Chunked => write!(head, "transfer-encoding: chunked\r\n\r\n"),
    };
}

/// Sends the head, which is already in the writer's buffer, and the body. Returns `false` if a write
/// failed.
async fn send(request: &PlannedRequest, framing: Framing, writer: &mut HttpWriter) -> bool {
    for piece in AnswerBody::new(&request.id, request.body_bytes) {
        let sent = writer.write_body_piece(framing, piece).await;
        if sent.is_err() || writer.flush().await.is_err() {
            return false;
        }
    }
    writer.write_body_end(framing);
    writer.flush().await.is_ok()
}

// --- Receiving ---------------------------------------------------------------------------------

/// Receives an answer into `reply`; returns early if its head or body can't be read to the end.
async fn receive(
    options: &LoadOptions,
    request: &PlannedRequest,
    reader: &mut HttpReader,
    reply: &mut Reply,
) {
    let Ok(head) = reader.read_response_head().await else {
        return;
    };
    // The answer counts as truncated until its last byte has arrived.
    reply.outcome = ReceivedOutcome::Cut;
    reply.status = Some(head.status.as_u16());
    reply.code = number(&head.headers, "vf-result-code");
    reply.answered_request = text(&head.headers, "vf-request-id");
    reply.daemon = text(&head.headers, "vf-daemon");
    let Ok(framing) = response_framing(&Method::POST, head.status, &head.headers) else {
        return;
    };
    let expected = match head.status {
        StatusCode::OK => request.expected_bytes(),
        // An error answer of a target has no body.
        _ => 0,
    };
    let mut checker = AnswerChecker::new(&request.id, expected);
    let mut body = BodyReader::new(framing);
    loop {
        match body.next(reader).await {
            Ok(Some(piece)) => checker.push(&piece),
            Ok(None) => break,
            Err(_) => return,
        }
    }
    let outcome = outcome(options, &head);
    reply.outcome = outcome.unwrap_or(ReceivedOutcome::MayHaveRun);
    reply.whole =
        outcome == Some(ReceivedOutcome::Answer) && checker.finish() == BodyVerdict::Whole;
    reply.reusable = !closes(&head.headers);
}

/// Returns the outcome that the head states; `None` if it states none or an unknown one.
fn outcome(options: &LoadOptions, head: &ResponseHead) -> Option<ReceivedOutcome> {
    if options.direct {
        return Some(match head.headers.contains_key("vf-not-run") {
            true => ReceivedOutcome::NotRun,
            false => ReceivedOutcome::Answer,
        });
    }
    match head.headers.get("vf-outcome")?.as_bytes() {
        b"answer" => Some(ReceivedOutcome::Answer),
        b"not-run" => Some(ReceivedOutcome::NotRun),
        b"may-have-run" => Some(ReceivedOutcome::MayHaveRun),
        _ => None,
    }
}

fn closes(headers: &HeaderMap) -> bool {
    headers
        .get("connection")
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u16> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
