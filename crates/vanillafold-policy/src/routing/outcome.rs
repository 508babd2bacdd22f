//! How a send to a target ended.

use vanillafold_types::{Millis, Slots};

/// How a send failed in the target's or the network's hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened, or it broke before a byte was written.
    Connect,
    /// The connection broke after a byte was written.
    Lost,
    /// No whole answer came in time.
    Timeout,
    /// A whole answer with a status of 500 or above and no `Vf-Not-Run`.
    ServerError,
    /// The answer was not valid HTTP/1.1.
    Malformed,
}

/// What the target said in `Vf-Not-Run`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// Its slots are full.
    Busy,
    /// It takes no new work.
    Leaving,
    /// It takes this request not at all.
    Refused,
}

/// How a send ended; given once for each started one.
#[derive(Debug, Clone, Copy)]
pub enum SendOutcome {
    /// A whole answer with a status below 500.
    Answered {
        /// From the send to the answer's last byte.
        latency_ms: Millis,
        /// `Vf-Load`, if the answer had it.
        load: Option<Slots>,
    },
    /// It failed; the target's health takes note.
    Failed {
        /// How.
        kind: FailureKind,
        /// From the send to the failure.
        waited_ms: Millis,
    },
    /// The target said that the work did not start.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// `Vf-Load`, if the answer had it.
        load: Option<Slots>,
    },
    /// The caller went away or its body broke off: nothing is learned about the target.
    Abandoned,
}

/// What a health probe (`GET /vf-health`) brought.
#[derive(Debug, Clone, Copy)]
pub enum HealthCheckResult {
    /// The target takes new work.
    Live {
        /// `Vf-Load`, if the answer had it.
        load: Option<Slots>,
    },
    /// The target takes no new work.
    Leaving,
    /// No valid answer in time.
    Failed,
}

impl FailureKind {
    /// The name used in counters and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
            Self::ServerError => "server_error",
            Self::Malformed => "malformed",
        }
    }
}

impl NotRunReason {
    /// The name used in counters and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::Refused => "refused",
        }
    }
}
