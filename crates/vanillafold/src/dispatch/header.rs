//! Headers on the way to a target and back.

use http::header::{AUTHORIZATION, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use vanillafold_policy::NotRunReason;
use vanillafold_types::{Millis, Slots};
use vanillafold_wire::http::HopByHop;

use crate::caller::CallerRequest;

const OWN_PREFIX: &str = "vf-";
/// The most headers of our own that a message gets.
const OWN_HEADERS: usize = 8;
const REQUEST_ID: HeaderName = HeaderName::from_static("vf-request-id");
const ATTEMPT: HeaderName = HeaderName::from_static("vf-attempt");
const TEAM: HeaderName = HeaderName::from_static("vf-team");
const IDEMPOTENT: HeaderName = HeaderName::from_static("vf-idempotent");
const DEADLINE: HeaderName = HeaderName::from_static("vf-deadline-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("vf-not-run");
const LOAD: HeaderName = HeaderName::from_static("vf-load");

/// Headers as they are passed on: those received, less some, and our own behind them.
///
/// They are written from where they stand: a second map of them would cost an allocation and a
/// hash for each.
#[derive(Debug)]
pub(crate) struct PassedHeaders<'a> {
    received: &'a HeaderMap,
    hop_by_hop: HopByHop<'a>,
    left_out: &'static [HeaderName],
    own: Vec<(HeaderName, HeaderValue)>,
}

impl<'a> PassedHeaders<'a> {
    fn new(received: &'a HeaderMap, left_out: &'static [HeaderName]) -> Self {
        Self {
            received,
            hop_by_hop: HopByHop::of(received),
            left_out,
            own: Vec::with_capacity(OWN_HEADERS),
        }
    }

    /// Adds a header of ours; those received under such names are never passed on.
    pub(crate) fn push(&mut self, name: HeaderName, value: HeaderValue) {
        self.own.push((name, value));
    }

    /// The headers in the order in which they are written.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
        let received = self.received.iter().filter(|(name, _)| self.passes(name));
        received.chain(self.own.iter().map(|(name, value)| (name, value)))
    }

    fn passes(&self, name: &HeaderName) -> bool {
        !name.as_str().starts_with(OWN_PREFIX)
            && !self.left_out.contains(name)
            && !self.hop_by_hop.contains(name)
    }

    fn push_text(&mut self, name: HeaderName, text: &str) {
        // Ids hold only letters, digits and - _ . so they are always a header's value.
        if let Ok(value) = HeaderValue::from_str(text) {
            self.push(name, value);
        }
    }
}

/// The headers that a target gets.
pub(crate) fn to_target(request: &CallerRequest, attempt: u32) -> PassedHeaders<'_> {
    let mut headers = PassedHeaders::new(&request.headers, &[AUTHORIZATION, EXPECT]);
    if !request.headers.contains_key(HOST) {
        headers.push(HOST, HeaderValue::from_static("vanillafold"));
    }
    let remaining: Millis = request.remaining().into();
    headers.push(ATTEMPT, HeaderValue::from(attempt));
    headers.push(DEADLINE, HeaderValue::from(remaining.get().max(1)));
    headers.push(IDEMPOTENT, flag(request.idempotent));
    headers.push_text(REQUEST_ID, request.id.as_str());
    if let Some(team) = &request.team {
        headers.push_text(TEAM, team.as_str());
    }
    headers
}

/// The headers of a target's answer that a caller gets.
pub(crate) fn to_caller(headers: &HeaderMap) -> PassedHeaders<'_> {
    PassedHeaders::new(headers, &[])
}

/// What `Vf-Not-Run` says, if it says something that is known.
pub(crate) fn not_run(headers: &HeaderMap) -> Option<NotRunReason> {
    match headers.get(NOT_RUN)?.as_bytes() {
        b"busy" => Some(NotRunReason::Busy),
        b"leaving" => Some(NotRunReason::Leaving),
        b"refused" => Some(NotRunReason::Refused),
        _ => None,
    }
}

/// What `Vf-Load` says.
pub(crate) fn load(headers: &HeaderMap) -> Option<Slots> {
    headers.get(LOAD)?.to_str().ok()?.parse().ok()
}

fn flag(value: bool) -> HeaderValue {
    HeaderValue::from_static(match value {
        true => "true",
        false => "false",
    })
}
