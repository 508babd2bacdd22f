//! The answers that the daemon itself gives to refused requests, and the headers of every answer.

use http::StatusCode;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use vanillafold_types::{Outcome, RequestId, ResultCode};
use vanillafold_wire::http::{
    Framing, HttpWriter, encode_response_head, encode_response_to_head_request,
};

const OUTCOME: HeaderName = HeaderName::from_static("vf-outcome");
const REQUEST_ID: HeaderName = HeaderName::from_static("vf-request-id");
const RESULT_CODE: HeaderName = HeaderName::from_static("vf-result-code");
const DAEMON: HeaderName = HeaderName::from_static("vf-daemon");

/// The refusal of a request: the daemon answers it in place of a target.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    /// Why the request is refused; it determines the status and the body.
    pub(crate) code: ResultCode,
    /// The request's id; `None` if the head could not be read that far.
    pub(crate) request: Option<RequestId>,
    /// Whether the request's method is HEAD, so that the answer has no body.
    pub(crate) is_head: bool,
}

impl Refusal {
    /// Returns the refusal of a request whose id is not known.
    pub(crate) const fn without_id(code: ResultCode) -> Self {
        Self {
            code,
            request: None,
            is_head: false,
        }
    }

    /// Writes the refusal as an answer; `close` announces that the connection is closed after it.
    ///
    /// # Errors
    ///
    /// The I/O error if the caller's connection broke.
    pub(crate) async fn write(
        &self,
        writer: &mut HttpWriter,
        daemon: &HeaderValue,
        close: bool,
    ) -> std::io::Result<()> {
        let own = answer_headers(self.request.as_ref(), self.code, daemon);
        let mut headers: HeaderMap = own.collect();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let body = format!("{}\n", self.code);
        let framing = Framing::Length(body.len() as u64);
        let status =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if self.is_head {
            encode_response_to_head_request(writer.buffer(), status, headers.iter(), Some(framing));
            return writer.flush().await;
        }
        encode_response_head(writer.buffer(), status, headers.iter(), framing);
        writer.write_body_piece(framing, body.into()).await?;
        writer.flush().await
    }
}

/// Returns the headers that every answer to a caller carries.
pub(crate) fn answer_headers(
    request: Option<&RequestId>,
    code: ResultCode,
    daemon: &HeaderValue,
) -> impl Iterator<Item = (HeaderName, HeaderValue)> {
    let outcome: Outcome = code.outcome();
    // A request id holds only letters, digits, `-`, `_` and `.`, so it is a valid header value.
    let id = request.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
    let always = [
        (OUTCOME, HeaderValue::from_static(outcome.as_str())),
        (RESULT_CODE, HeaderValue::from(code.number())),
        (DAEMON, daemon.clone()),
    ];
    always.into_iter().chain(id.map(|id| (REQUEST_ID, id)))
}
