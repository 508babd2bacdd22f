//! Headers on the way to a target and back.

use http::header::{AUTHORIZATION, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use vanillafold_policy::NotRunReason;
use vanillafold_types::{Millis, Slots};
use vanillafold_wire::http::is_hop_by_hop;

use crate::caller::CallerRequest;

const OWN_PREFIX: &str = "vf-";
const REQUEST_ID: HeaderName = HeaderName::from_static("vf-request-id");
const ATTEMPT: HeaderName = HeaderName::from_static("vf-attempt");
const TEAM: HeaderName = HeaderName::from_static("vf-team");
const IDEMPOTENT: HeaderName = HeaderName::from_static("vf-idempotent");
const DEADLINE: HeaderName = HeaderName::from_static("vf-deadline-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("vf-not-run");
const LOAD: HeaderName = HeaderName::from_static("vf-load");

/// The headers that a target gets.
pub(crate) fn to_target(request: &CallerRequest, attempt: u32) -> HeaderMap {
    let mut headers = passed_on(&request.headers, |name| {
        *name == AUTHORIZATION || *name == EXPECT
    });
    if !headers.contains_key(HOST) {
        headers.insert(HOST, HeaderValue::from_static("vanillafold"));
    }
    let remaining: Millis = request.remaining().into();
    headers.insert(ATTEMPT, HeaderValue::from(attempt));
    headers.insert(DEADLINE, HeaderValue::from(remaining.get().max(1)));
    headers.insert(IDEMPOTENT, flag(request.idempotent));
    insert_text(&mut headers, REQUEST_ID, request.id.as_str());
    if let Some(team) = &request.team {
        insert_text(&mut headers, TEAM, team.as_str());
    }
    headers
}

/// The target's headers that a caller gets.
pub(crate) fn to_caller(headers: &HeaderMap) -> HeaderMap {
    passed_on(headers, |_| false)
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

fn passed_on(headers: &HeaderMap, left_out: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        if is_hop_by_hop(name, headers) || name.as_str().starts_with(OWN_PREFIX) || left_out(name) {
            continue;
        }
        passed.append(name, value.clone());
    }
    passed
}

fn flag(value: bool) -> HeaderValue {
    HeaderValue::from_static(match value {
        true => "true",
        false => "false",
    })
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    // Ids hold only letters, digits and - _ . so they are always a header's value.
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
