//! A simple HTTP server for small messages, for administration and for the stand-in.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use monoio::time::timeout;

use super::{
    BodyError, BodyReader, Framing, HeadError, HttpReader, HttpWriter, RequestHead, asks_to_close,
    encode_response_head, encode_response_to_head_request, request_framing,
};

/// Time in which the runtime learns that a connection has bytes to read: it polls connections before
/// timers.
const READINESS_TIME: Duration = Duration::from_millis(1);

/// Handles requests and responses that are held in memory as a whole.
pub trait Service {
    /// Called before the connection waits for a request, the first or the next one.
    fn awaits_request(&self) {}

    /// Called when the first bytes of a request have been read. `has_waited` says whether they had
    /// not arrived when the connection began to wait.
    fn begins_request(&self, has_waited: bool) {
        let _ = has_waited;
    }

    /// Handles one request and returns its response; `None` closes the connection without one.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Option<Response<Bytes>>>;
}

/// Serves a connection until the peer closes it, a message is malformed, or a request or response
/// asks to close it.
///
/// A request with a body larger than `max_body_bytes` gets status 413 and closes the connection;
/// one with invalid framing headers gets status 400.
pub async fn serve_connection<S: Service>(
    service: &S,
    mut reader: HttpReader,
    mut writer: HttpWriter,
    max_body_bytes: usize,
) {
    loop {
        service.awaits_request();
        let Ok(has_waited) = wait_for_request(&mut reader).await else {
            break;
        };
        service.begins_request(has_waited);
        let Ok(head) = reader.read_request_head().await else {
            break;
        };
        let Ok(framing) = request_framing(&head.headers) else {
            let _ = send_empty_response(&mut writer, StatusCode::BAD_REQUEST).await;
            break;
        };
        let body = match read_body(&mut reader, framing, max_body_bytes).await {
            Ok(Some(body)) => body,
            Ok(None) => {
                let _ = send_empty_response(&mut writer, StatusCode::PAYLOAD_TOO_LARGE).await;
                break;
            }
            Err(_) => break,
        };
        if !handle_request(service, &mut writer, head, body).await {
            break;
        }
    }
    writer.close().await;
}

/// Waits for the first bytes of a request; returns whether they had not arrived yet.
async fn wait_for_request(reader: &mut HttpReader) -> Result<bool, HeadError> {
    let mut message = pin!(reader.wait_for_message());
    match timeout(READINESS_TIME, message.as_mut()).await {
        Ok(arrived) => arrived.map(|()| false),
        Err(_) => message.await.map(|()| true),
    }
}

/// Answers one request and returns whether the connection can serve another.
async fn handle_request<S: Service>(
    service: &S,
    writer: &mut HttpWriter,
    head: RequestHead,
    body: Bytes,
) -> bool {
    let is_head = head.method == Method::HEAD;
    let should_close = asks_to_close(&head.headers);
    let Some(response) = service.answer(Request::from_parts(head, body)).await else {
        return false;
    };
    let (head, body) = response.into_parts();
    let should_close = should_close || asks_to_close(&head.headers);
    let framing = match body.len() {
        0 => Framing::Empty,
        length => Framing::Length(length as u64),
    };
    let headers = head.headers.iter();
    if is_head {
        encode_response_to_head_request(writer.buffer(), head.status, headers, Some(framing));
        return writer.flush().await.is_ok() && !should_close;
    }
    encode_response_head(writer.buffer(), head.status, headers, framing);
    let sent = writer.write_body_piece(framing, body).await.is_ok() && writer.flush().await.is_ok();
    sent && !should_close
}

async fn send_empty_response(writer: &mut HttpWriter, status: StatusCode) -> std::io::Result<()> {
    let headers = HeaderMap::new();
    encode_response_head(writer.buffer(), status, headers.iter(), Framing::Empty);
    writer.flush().await
}

/// Reads a body into memory; `None` if it is larger than `max_bytes`.
pub(crate) async fn read_body(
    reader: &mut HttpReader,
    framing: Framing,
    max_bytes: usize,
) -> Result<Option<Bytes>, BodyError> {
    if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
        return Ok(None);
    }
    let mut body = BodyReader::new(framing);
    let mut collected = BytesMut::new();
    while let Some(piece) = body.next(reader).await? {
        if collected.len() + piece.len() > max_bytes {
            return Ok(None);
        }
        if collected.is_empty() && body.is_done() {
            return Ok(Some(piece));
        }
        collected.extend_from_slice(&piece);
    }
    Ok(Some(collected.freeze()))
}
