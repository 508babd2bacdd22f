//! The headers with which a request says what work it wants.

use std::str::FromStr;

use http::header::HeaderMap;
use vanillafold_types::Millis;

/// The work that a request asks for, and the attempt and team that it is sent for.
#[derive(Debug, Clone)]
pub(crate) struct WorkRequest {
    pub(crate) request_id: String,
    pub(crate) attempt: u32,
    pub(crate) team: Option<String>,
    pub(crate) idempotent: bool,
    pub(crate) work_ms: Millis,
    pub(crate) answer_bytes: u64,
    pub(crate) answer_chunked: bool,
    pub(crate) is_echo: bool,
}

/// The error for a header whose value can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the header {name} is malformed; see docs/PROTOCOLS.md")]
pub(crate) struct WorkRequestError {
    name: &'static str,
}

impl WorkRequest {
    /// Parses a request's headers; an absent header has its default.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, WorkRequestError> {
        Ok(Self {
            request_id: parse(headers, "vf-request-id")?.unwrap_or_default(),
            attempt: parse(headers, "vf-attempt")?.unwrap_or(1),
            team: parse(headers, "vf-team")?,
            idempotent: parse(headers, "vf-idempotent")?.unwrap_or(false),
            work_ms: parse(headers, "work-ms")?.unwrap_or_default(),
            answer_bytes: parse(headers, "answer-bytes")?.unwrap_or(0),
            answer_chunked: parse(headers, "answer-chunked")?.unwrap_or(false),
            is_echo: parse(headers, "work-echo")?.unwrap_or(false),
        })
    }
}

fn parse<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, WorkRequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(WorkRequestError { name })
}
