//! The headers of a request that is forwarded to a target, and of an answer that is relayed to a
//! caller.

use http::header::{AUTHORIZATION, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use vanillafold_policy::NotRunReason;
use vanillafold_types::{Millis, Slots};
use vanillafold_wire::http::HopByHop;

use crate::caller::CallerRequest;

/// The prefix of header names that only the daemon sets.
const RESERVED_PREFIX: &str = "vf-";
/// Maximum number of headers that the daemon adds to a message.
const MAX_ADDED_HEADERS: usize = 8;
const REQUEST_ID: HeaderName = HeaderName::from_static("vf-request-id");
const ATTEMPT: HeaderName = HeaderName::from_static("vf-attempt");
const TEAM: HeaderName = HeaderName::from_static("vf-team");
const IDEMPOTENT: HeaderName = HeaderName::from_static("vf-idempotent");
const DEADLINE: HeaderName = HeaderName::from_static("vf-deadline-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("vf-not-run");
const LOAD: HeaderName = HeaderName::from_static("vf-load");

/// The headers of a forwarded message: the received ones that are not filtered out, followed by
/// those that the daemon adds.
///
/// The received headers are borrowed: copying them into a second map would cost an allocation and a
/// hash for each.
#[derive(Debug)]
pub(crate) struct ForwardedHeaders<'a> {
    received: &'a HeaderMap,
    hop_by_hop: HopByHop<'a>,
    excluded: &'static [HeaderName],
    added: Vec<(HeaderName, HeaderValue)>,
}

impl<'a> ForwardedHeaders<'a> {
    fn new(received: &'a HeaderMap, excluded: &'static [HeaderName]) -> Self {
        Self {
            received,
            hop_by_hop: HopByHop::of(received),
            excluded,
            added: Vec::with_capacity(MAX_ADDED_HEADERS),
        }
    }

    /// Adds a header of the daemon. Received headers of its name are never forwarded as well: they
    /// have the reserved prefix, apply to one connection only or are known to be absent.
    pub(crate) fn push(&mut self, name: HeaderName, value: HeaderValue) {
        self.added.push((name, value));
    }

    /// Iterates over the headers in the order in which they are written.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
        let received = self
            .received
            .iter()
            .filter(|(name, _)| self.is_forwarded(name));
        received.chain(self.added.iter().map(|(name, value)| (name, value)))
    }

    fn is_forwarded(&self, name: &HeaderName) -> bool {
        !name.as_str().starts_with(RESERVED_PREFIX)
            && !self.excluded.contains(name)
            && !self.hop_by_hop.contains(name)
    }

    fn push_text(&mut self, name: HeaderName, text: &str) {
        // Ids hold only letters, digits, `-`, `_` and `.`, so they are valid header values.
        if let Ok(value) = HeaderValue::from_str(text) {
            self.push(name, value);
        }
    }
}

/// Returns the headers of the request to a target; `attempt` is the number of the attempt.
pub(crate) fn to_target(request: &CallerRequest, attempt: u32) -> ForwardedHeaders<'_> {
    let mut headers = ForwardedHeaders::new(&request.headers, &[AUTHORIZATION, EXPECT]);
    if !request.headers.contains_key(HOST) {
        headers.push(HOST, HeaderValue::from_static("vanillafold"));
    }
    let remaining: Millis = request.remaining().into();
    headers.push(ATTEMPT, HeaderValue::from(attempt));
    headers.push(DEADLINE, HeaderValue::from(remaining.get().max(1)));
    headers.push(IDEMPOTENT, bool_value(request.idempotent));
    headers.push_text(REQUEST_ID, request.id.as_str());
    if let Some(team) = &request.team {
        headers.push_text(TEAM, team.as_str());
    }
    headers
}

/// Returns the headers of a target's answer that are relayed to the caller.
pub(crate) fn to_caller(headers: &HeaderMap) -> ForwardedHeaders<'_> {
    ForwardedHeaders::new(headers, &[])
}

/// Returns the reason in `Vf-Not-Run`; `None` if the header is missing or its value unknown.
pub(crate) fn not_run_reason(headers: &HeaderMap) -> Option<NotRunReason> {
    match headers.get(NOT_RUN)?.as_bytes() {
        b"busy" => Some(NotRunReason::Busy),
        b"leaving" => Some(NotRunReason::Leaving),
        b"refused" => Some(NotRunReason::Refused),
        _ => None,
    }
}

/// Returns the slots in use that `Vf-Load` reports; `None` if it is missing or not a number.
pub(crate) fn reported_load(headers: &HeaderMap) -> Option<Slots> {
    headers.get(LOAD)?.to_str().ok()?.parse().ok()
}

fn bool_value(value: bool) -> HeaderValue {
    HeaderValue::from_static(match value {
        true => "true",
        false => "false",
    })
}
