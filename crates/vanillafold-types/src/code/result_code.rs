//! The table of numbered results; `docs/RESULT-CODES.md` lists the same codes.

use std::fmt;

use super::Outcome;

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident, $label:literal, $text:literal;)*) => {
        /// A numbered result of a request.
        ///
        /// A number is never reused for another meaning. `1xx` are faults of the request, `2xx` of
        /// its key, `3xx` limits and overload, `4xx` faults between the daemon and a target, `5xx`
        /// states of the daemon.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number that callers and operators see.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the status of the HTTP response that carries this code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether the work ran.
            #[must_use]
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// Returns the name of the code in metrics and logs.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns a text that says what was wrong and what the caller can do.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

result_codes! {
    /// The target answered, and the caller gets its whole answer.
    Answered = 0, 200, Answer, "answered", "the target's whole answer";

    /// The request's head is not valid HTTP/1.1.
    MalformedHead = 100, 400, NotRun, "malformed_head", "the head is not valid HTTP/1.1; send a well-formed head";
    /// The request's head exceeds the daemon's limit of bytes or headers.
    OversizedHead = 101, 431, NotRun, "oversized_head", "the head is larger than the daemon accepts; send fewer or shorter headers";
    /// The request's framing headers conflict or are repeated.
    ConflictingFraming = 102, 400, NotRun, "conflicting_framing", "Content-Length and Transfer-Encoding conflict or repeat; send exactly one of them";
    /// The request's head did not arrive in time.
    SlowHead = 103, 408, NotRun, "slow_head", "the head did not arrive in time; send it at once";
    /// The request's path names no queue.
    MalformedPath = 104, 404, NotRun, "malformed_path", "the path names no queue; use /queues/{queue}/{path}";
    /// The catalogue has no queue of the name in the request's path.
    UnknownQueue = 105, 404, NotRun, "unknown_queue", "the queue is not in the catalogue; check its name";
    /// The `Vf-Request-Id` header is not a valid request id.
    MalformedRequestId = 106, 400, NotRun, "malformed_request_id", "Vf-Request-Id takes 1 to 64 letters, digits, - _ and .";
    /// The `Vf-Deadline-Ms` header is no number of milliseconds that the queue allows.
    MalformedDeadline = 107, 400, NotRun, "malformed_deadline", "Vf-Deadline-Ms takes whole milliseconds from 1 up to the queue's longest deadline";
    /// The `Vf-Idempotent` header is neither `true` nor `false`.
    MalformedIdempotent = 108, 400, NotRun, "malformed_idempotent", "Vf-Idempotent takes true or false";
    /// The request's body is larger than the queue accepts.
    OversizedBody = 109, 413, NotRun, "oversized_body", "the body is larger than the daemon accepts; send less";
    /// The request uses an HTTP version, a method or an expectation that is not supported.
    Unsupported = 110, 501, NotRun, "unsupported", "this HTTP version, method or expectation is not served; use plain HTTP/1.1";
    /// The body's chunks are malformed, and no part of the body had been sent to a target.
    MalformedBody = 111, 400, NotRun, "malformed_body", "the body's chunks are not valid; send well-formed chunks";
    /// The body did not arrive in time, before any work was started.
    SlowBody = 112, 408, NotRun, "slow_body", "the body did not arrive in time; send it without pauses";

    /// The queue needs a key, and the request has none.
    NoKey = 200, 401, NotRun, "no_key", "the queue needs a key; send Authorization: Bearer KEY";
    /// The request's key is not in the catalogue.
    WrongKey = 201, 401, NotRun, "wrong_key", "the key is not known; check it with its owner";
    /// The request's key was withdrawn.
    WithdrawnKey = 202, 401, NotRun, "withdrawn_key", "the key was withdrawn; ask an operator for a new one";
    /// The team of the request's key may not use the queue.
    ForeignTeam = 203, 403, NotRun, "foreign_team", "the key's team may not use this queue; use a queue of your team";

    /// The team had as many requests running as its limit allows until the deadline passed.
    TeamLimit = 300, 429, NotRun, "team_limit", "the team's upper limit is reached; wait for running work to end";
    /// As many requests wait in the queue on this daemon as it allows.
    QueueFull = 301, 429, NotRun, "queue_full", "too many requests wait in this queue; send later";
    /// The deadline passed before the work started.
    DeadlineBeforeStart = 302, 504, NotRun, "deadline_before_start", "no slot came free before the deadline; allow more time or send later";
    /// The daemon has as many connections of callers as its limit allows.
    TooManyConnections = 303, 503, NotRun, "too_many_connections", "this daemon serves as many connections as it may; connect again";

    /// The pool has no target that is available.
    NoTarget = 400, 503, NotRun, "no_target", "no VM of the pool can be used now; try again soon";
    /// Each attempt to send failed before the work could start.
    SendFailed = 401, 502, NotRun, "send_failed", "no VM of the pool accepted the request; try again soon";
    /// The connection broke after the request was sent.
    ConnectionLost = 402, 502, MayHaveRun, "connection_lost", "the connection to the VM broke after the request was sent; the work may have run";
    /// The deadline passed after the request was sent.
    DeadlineAfterSend = 403, 504, MayHaveRun, "deadline_after_send", "no answer came before the deadline; the work may have run";
    /// The target's answer was not valid HTTP/1.1.
    MalformedAnswer = 404, 502, MayHaveRun, "malformed_answer", "the VM's answer was not valid; the work may have run";
    /// The caller's body was truncated after a part of it had been sent to a target.
    BodyBrokeOff = 405, 400, MayHaveRun, "body_broke_off", "the body broke off after a part was sent on; the work may have run";

    /// A non-idempotent request with this id was accepted before.
    DuplicateRequest = 406, 409, MayHaveRun, "duplicate_request", "a non-idempotent request with this id was accepted before and may have run; ask for its effect, or use a new id for new work";
    /// Fewer daemons than the quorum for a claim of the request id could be reached. Those that could
    /// not be may know of an earlier request with it.
    ClaimUnavailable = 407, 503, MayHaveRun, "claim_unavailable", "too few daemons that must agree on this request id can be reached to tell whether a request with it may have run; send it again with the same id";

    /// The daemon has no configuration yet.
    NotReady = 500, 503, NotRun, "not_ready", "the daemon has no configuration yet; use another daemon";
    /// The daemon is stopping.
    Stopping = 501, 503, NotRun, "stopping", "the daemon is stopping; connect again";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.number(), self.label(), self.text())
    }
}
