//! A plain server of small messages: administration and stand-ins.

use std::future::Future;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};

use super::{
    BodyError, BodyReader, Framing, HttpReader, HttpWriter, RequestHead, asks_to_close,
    encode_response_head, encode_response_to_head_request, request_framing,
};

/// Answers small requests, whole in memory.
pub trait Service {
    /// Answers one request; `None` closes the connection without an answer.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Option<Response<Bytes>>>;
}

/// Serves a connection until its peer closes it or sends something malformed.
///
/// Bodies larger than `max_body_bytes` are refused. The connection ends after an answer whose
/// headers say so.
pub async fn serve_connection<S: Service>(
    service: &S,
    mut reader: HttpReader,
    mut writer: HttpWriter,
    max_body_bytes: usize,
) {
    while let Ok(head) = reader.read_request_head().await {
        let Ok(framing) = request_framing(&head.headers) else {
            let _ = refuse(&mut writer, StatusCode::BAD_REQUEST).await;
            break;
        };
        let body = match collect(&mut reader, framing, max_body_bytes).await {
            Ok(Some(body)) => body,
            Ok(None) => {
                let _ = refuse(&mut writer, StatusCode::PAYLOAD_TOO_LARGE).await;
                break;
            }
            Err(_) => break,
        };
        if !answer(service, &mut writer, head, body).await {
            break;
        }
    }
    writer.close().await;
}

async fn answer<S: Service>(
    service: &S,
    writer: &mut HttpWriter,
    head: RequestHead,
    body: Bytes,
) -> bool {
    let is_head = head.method == Method::HEAD;
    let closes = asks_to_close(&head.headers);
    let Some(response) = service.answer(Request::from_parts(head, body)).await else {
        return false;
    };
    let (head, body) = response.into_parts();
    let closes = closes || asks_to_close(&head.headers);
    let framing = match body.len() {
        0 => Framing::Empty,
        length => Framing::Length(length as u64),
    };
    let headers = head.headers.iter();
    if is_head {
        encode_response_to_head_request(writer.buffer(), head.status, headers, Some(framing));
        return writer.flush().await.is_ok() && !closes;
    }
    encode_response_head(writer.buffer(), head.status, headers, framing);
    let sent = writer.write_body_piece(framing, body).await.is_ok() && writer.flush().await.is_ok();
    sent && !closes
}

async fn refuse(writer: &mut HttpWriter, status: StatusCode) -> std::io::Result<()> {
    let headers = HeaderMap::new();
    encode_response_head(writer.buffer(), status, headers.iter(), Framing::Empty);
    writer.flush().await
}

/// Reads a whole body; `None` if it is larger than `max_bytes`.
pub(crate) async fn collect(
    reader: &mut HttpReader,
    framing: Framing,
    max_bytes: usize,
) -> Result<Option<Bytes>, BodyError> {
    if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
        return Ok(None);
    }
    let mut body = BodyReader::new(framing);
    let mut whole = BytesMut::new();
    while let Some(piece) = body.next(reader).await? {
        if whole.len() + piece.len() > max_bytes {
            return Ok(None);
        }
        if whole.is_empty() && body.is_done() {
            return Ok(Some(piece));
        }
        whole.extend_from_slice(&piece);
    }
    Ok(Some(whole.freeze()))
}
