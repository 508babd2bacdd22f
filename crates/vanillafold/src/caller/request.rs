//! A caller's request, read from its head and checked.

use std::rc::Rc;
use std::time::Duration;

use http::header::{AUTHORIZATION, EXPECT, HeaderMap, HeaderName};
use http::{Method, Version};
use monoio::time::Instant;
use vanillafold_types::{Millis, RequestId, ResultCode, TeamId};
use vanillafold_wire::http::{Framing, RequestHead, asks_to_close, request_framing};

use super::Refusal;
use crate::node::{Node, QueueRuntime};

const REQUEST_ID: HeaderName = HeaderName::from_static("vf-request-id");
const IDEMPOTENT: HeaderName = HeaderName::from_static("vf-idempotent");
const DEADLINE: HeaderName = HeaderName::from_static("vf-deadline-ms");
const QUEUES_PREFIX: &str = "/queues/";
const BEARER_PREFIX: &str = "Bearer ";
const CONTINUE: &str = "100-continue";

/// A request that may be served.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Its id, the caller's or ours.
    pub(crate) id: RequestId,
    /// Whether its caller chose the id and so may repeat it.
    pub(crate) has_own_id: bool,
    /// The queue that it goes to.
    pub(crate) queue: Rc<QueueRuntime>,
    /// The team whose key came with it; none on an open queue.
    pub(crate) team: Option<TeamId>,
    /// Its method.
    pub(crate) method: Method,
    /// Path and query as the target sees them.
    pub(crate) path: String,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// How its body ends.
    pub(crate) framing: Framing,
    /// Whether it may run twice without harm.
    pub(crate) idempotent: bool,
    /// When its caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether the caller waits for a word before it sends the body.
    pub(crate) expects_continue: bool,
}

/// A refusal, and whether the connection can go on after it.
#[derive(Debug)]
pub(crate) struct BadRequest {
    pub(crate) refusal: Refusal,
    /// The framing of the body that follows; none if the connection can't go on behind it.
    pub(crate) framing: Option<Framing>,
}

impl CallerRequest {
    /// Checks a head that arrived at `arrived`.
    pub(crate) fn from_head(
        node: &Node,
        head: RequestHead,
        arrived: Instant,
    ) -> Result<Self, BadRequest> {
        let framing = request_framing(&head.headers)
            .map_err(|_| BadRequest::doubtful(ResultCode::ConflictingFraming))?;
        // A caller that waits for a word before it sends its body may never send it, and one that
        // asks to close sends nothing more.
        let goes_on = !head.headers.contains_key(EXPECT) && !asks_to_close(&head.headers);
        let known_end = goes_on.then_some(framing);
        let is_head = head.method == Method::HEAD;
        let refusal = |code, request| BadRequest {
            refusal: Refusal {
                code,
                request,
                is_head,
            },
            framing: known_end,
        };
        if head.version != Version::HTTP_11 || head.method == Method::CONNECT {
            return Err(BadRequest::doubtful(ResultCode::Unsupported));
        }
        let id = match header(&head.headers, &REQUEST_ID)
            .map_err(|()| refusal(ResultCode::MalformedRequestId, None))?
        {
            Some(text) => text
                .parse()
                .map_err(|_| refusal(ResultCode::MalformedRequestId, None))?,
            None => node.new_request_id(),
        };
        Self::check(node, id.clone(), head, framing, arrived)
            .map_err(|code| refusal(code, Some(id)))
    }

    fn check(
        node: &Node,
        id: RequestId,
        head: RequestHead,
        framing: Framing,
        arrived: Instant,
    ) -> Result<Self, ResultCode> {
        let expects_continue = expects_continue(&head.headers)?;
        let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let (queue, path) = split_path(target).ok_or(ResultCode::MalformedPath)?;
        let queue = node.queue(queue)?;
        let idempotent = idempotent(&head.method, &head.headers)?;
        let longest_ms = node.settings.longest_deadline_ms();
        let deadline_ms = deadline_ms(&queue, &head.headers, longest_ms)?;
        match framing {
            Framing::Length(length) if length > queue.settings.max_body.get() => {
                return Err(ResultCode::OversizedBody);
            }
            _ => {}
        }
        let key = bearer(&head.headers)?;
        let team = node.authorize(&queue, key)?;
        Ok(Self {
            has_own_id: head.headers.contains_key(REQUEST_ID),
            id,
            path: path.to_owned(),
            queue,
            team,
            method: head.method,
            headers: head.headers,
            framing,
            idempotent,
            deadline: arrived + deadline_ms.duration(),
            expects_continue,
        })
    }

    /// Checks the key once more: it may have been withdrawn since the request arrived.
    pub(crate) fn reauthorize(&self, node: &Node) -> Result<(), ResultCode> {
        node.authorize(&self.queue, bearer(&self.headers)?)
            .map(|_| ())
    }

    /// Whether the caller wants the connection closed behind the answer.
    pub(crate) fn asks_to_close(&self) -> bool {
        asks_to_close(&self.headers)
    }

    /// A refusal of this request.
    pub(crate) fn refusal(&self, code: ResultCode) -> Refusal {
        Refusal {
            code,
            request: Some(self.id.clone()),
            is_head: self.method == Method::HEAD,
        }
    }

    /// Whether another daemon may be running it already: it must be claimed first.
    pub(crate) const fn needs_claim(&self) -> bool {
        !self.idempotent && self.has_own_id
    }

    /// The time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl BadRequest {
    const fn doubtful(code: ResultCode) -> Self {
        Self {
            refusal: Refusal::unnamed(code),
            framing: None,
        }
    }
}

/// The text of a header that may stand at most once.
fn header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| ()),
        (Some(_), Some(_)) => Err(()),
    }
}

fn split_path(target: &str) -> Option<(&str, &str)> {
    let rest = target.strip_prefix(QUEUES_PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (queue, path) = rest.split_at(end);
    match path {
        _ if queue.is_empty() => None,
        "" => Some((queue, "/")),
        path if path.starts_with('?') => None,
        path => Some((queue, path)),
    }
}

fn idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, ResultCode> {
    match header(headers, &IDEMPOTENT) {
        Ok(None) => Ok(method.is_idempotent()),
        Ok(Some("true")) => Ok(true),
        Ok(Some("false")) => Ok(false),
        Ok(Some(_)) | Err(()) => Err(ResultCode::MalformedIdempotent),
    }
}

fn deadline_ms(
    queue: &QueueRuntime,
    headers: &HeaderMap,
    longest_ms: Millis,
) -> Result<Millis, ResultCode> {
    let malformed = ResultCode::MalformedDeadline;
    let Some(text) = header(headers, &DEADLINE).map_err(|()| malformed)? else {
        return Ok(queue.settings.deadline_ms.min(longest_ms));
    };
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse().map(Millis::new) {
        Ok(deadline_ms)
            if digits
                && deadline_ms > Millis::ZERO
                && deadline_ms <= queue.settings.max_deadline_ms.min(longest_ms) =>
        {
            Ok(deadline_ms)
        }
        _ => Err(malformed),
    }
}

fn bearer(headers: &HeaderMap) -> Result<Option<&str>, ResultCode> {
    match header(headers, &AUTHORIZATION) {
        Ok(None) => Ok(None),
        Ok(Some(text)) => match text.strip_prefix(BEARER_PREFIX) {
            Some(key) => Ok(Some(key.trim())),
            None => Err(ResultCode::WrongKey),
        },
        Err(()) => Err(ResultCode::WrongKey),
    }
}

fn expects_continue(headers: &HeaderMap) -> Result<bool, ResultCode> {
    match header(headers, &EXPECT) {
        Ok(None) => Ok(false),
        Ok(Some(text)) if text.eq_ignore_ascii_case(CONTINUE) => Ok(true),
        Ok(Some(_)) | Err(()) => Err(ResultCode::Unsupported),
    }
}
