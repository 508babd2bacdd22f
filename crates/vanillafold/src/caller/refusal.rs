//! A refusal: a numbered code, and what happens to the connection.

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

/// A request that gets no answer of a target.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    /// Why.
    pub(crate) code: ResultCode,
    /// The request's id, once it is known.
    pub(crate) request: Option<RequestId>,
    /// Whether the request was a HEAD: nothing follows the head of its answer.
    pub(crate) is_head: bool,
}

impl Refusal {
    /// A refusal of a request whose id is not known.
    pub(crate) const fn unnamed(code: ResultCode) -> Self {
        Self {
            code,
            request: None,
            is_head: false,
        }
    }

    /// Encodes the refusal; `close` says that the connection ends with it.
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

/// The headers that every answer to a caller carries.
pub(crate) fn answer_headers(
    request: Option<&RequestId>,
    code: ResultCode,
    daemon: &HeaderValue,
) -> impl Iterator<Item = (HeaderName, HeaderValue)> {
    let outcome: Outcome = code.outcome();
    // An id holds only letters, digits and - _ . so it is always a header's value.
    let id = request.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
    let always = [
        (OUTCOME, HeaderValue::from_static(outcome.as_str())),
        (RESULT_CODE, HeaderValue::from(code.number())),
        (DAEMON, daemon.clone()),
    ];
    always.into_iter().chain(id.map(|id| (REQUEST_ID, id)))
}
