//! Checks the head of a caller's request: queue, team key, deadline, idempotency and framing.

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

/// A request whose head passed every check.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The id that the caller sent in `Vf-Request-Id`, or one that the daemon generated.
    pub(crate) id: RequestId,
    /// Whether the caller sent the id; it may then repeat the request under the same id.
    pub(crate) has_caller_id: bool,
    /// The queue that the path names.
    pub(crate) queue: Rc<QueueRuntime>,
    /// The team whose key the request carries; `None` on an open queue without a key.
    pub(crate) team: Option<TeamId>,
    pub(crate) method: Method,
    /// The path and query that the target gets: the caller's without `/queues/QUEUE`.
    pub(crate) path: String,
    /// The headers that the caller sent.
    pub(crate) headers: HeaderMap,
    /// How the end of the body is determined.
    pub(crate) framing: Framing,
    /// Whether running the request twice has the same effect as running it once.
    pub(crate) idempotent: bool,
    /// When the caller stops waiting for the answer.
    pub(crate) deadline: Instant,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

/// A request that failed a check, and whether its connection can be kept open.
#[derive(Debug)]
pub(crate) struct RejectedRequest {
    pub(crate) refusal: Refusal,
    /// The framing of the body that follows; `None` if the connection must be closed.
    pub(crate) framing: Option<Framing>,
}

impl CallerRequest {
    /// Checks the head of a request that arrived at `arrived`.
    ///
    /// # Errors
    ///
    /// [`RejectedRequest`] with the code of the first check that failed.
    pub(crate) fn from_head(
        node: &Node,
        head: RequestHead,
        arrived: Instant,
    ) -> Result<Self, RejectedRequest> {
        let framing = request_framing(&head.headers)
            .map_err(|_| RejectedRequest::without_framing(ResultCode::ConflictingFraming))?;
        // A caller that waits for `100 Continue` may never send its body, and one that asks to
        // close the connection sends no further request.
        let can_continue = !head.headers.contains_key(EXPECT) && !asks_to_close(&head.headers);
        let known_framing = can_continue.then_some(framing);
        let is_head = head.method == Method::HEAD;
        let refusal = |code, request| RejectedRequest {
            refusal: Refusal {
                code,
                request,
                is_head,
            },
            framing: known_framing,
        };
        if head.version != Version::HTTP_11 || head.method == Method::CONNECT {
            return Err(RejectedRequest::without_framing(ResultCode::Unsupported));
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
        let idempotent = is_idempotent(&head.method, &head.headers)?;
        let max_ms = node.settings.longest_deadline_ms();
        let deadline_ms = parse_deadline_ms(&queue, &head.headers, max_ms)?;
        match framing {
            Framing::Length(length) if length > queue.settings.max_body.get() => {
                return Err(ResultCode::OversizedBody);
            }
            _ => {}
        }
        let key = bearer_key(&head.headers)?;
        let team = node.authorize(&queue, key)?;
        Ok(Self {
            has_caller_id: head.headers.contains_key(REQUEST_ID),
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

    /// Checks the team's key again: it may have been withdrawn since the request arrived.
    pub(crate) fn reauthorize(&self, node: &Node) -> Result<(), ResultCode> {
        node.authorize(&self.queue, bearer_key(&self.headers)?)
            .map(|_| ())
    }

    /// Returns whether the caller wants the connection closed after the answer.
    pub(crate) fn asks_to_close(&self) -> bool {
        asks_to_close(&self.headers)
    }

    /// Returns the refusal of this request with `code`.
    pub(crate) fn refusal(&self, code: ResultCode) -> Refusal {
        Refusal {
            code,
            request: Some(self.id.clone()),
            is_head: self.method == Method::HEAD,
        }
    }

    /// Returns whether the request must be claimed before it is sent: it is not idempotent and,
    /// since the caller chose its id, another daemon may be running it already.
    pub(crate) const fn needs_claim(&self) -> bool {
        !self.idempotent && self.has_caller_id
    }

    /// Returns the time left until the deadline, zero after it.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl RejectedRequest {
    const fn without_framing(code: ResultCode) -> Self {
        Self {
            refusal: Refusal::without_id(code),
            framing: None,
        }
    }
}

/// Returns the text of a header that may occur at most once; an error if it is repeated or not
/// text.
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

fn is_idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, ResultCode> {
    match header(headers, &IDEMPOTENT) {
        Ok(None) => Ok(method.is_idempotent()),
        Ok(Some("true")) => Ok(true),
        Ok(Some("false")) => Ok(false),
        Ok(Some(_)) | Err(()) => Err(ResultCode::MalformedIdempotent),
    }
}

fn parse_deadline_ms(
    queue: &QueueRuntime,
    headers: &HeaderMap,
    max_ms: Millis,
) -> Result<Millis, ResultCode> {
    let malformed = ResultCode::MalformedDeadline;
    let Some(text) = header(headers, &DEADLINE).map_err(|()| malformed)? else {
        return Ok(queue.settings.deadline_ms.min(max_ms));
    };
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse().map(Millis::new) {
        Ok(deadline_ms)
            if digits
                && deadline_ms > Millis::ZERO
                && deadline_ms <= queue.settings.max_deadline_ms.min(max_ms) =>
        {
            Ok(deadline_ms)
        }
        _ => Err(malformed),
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<&str>, ResultCode> {
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
