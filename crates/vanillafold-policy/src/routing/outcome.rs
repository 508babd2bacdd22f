//! Outcomes of sends to a target and of health checks.

use vanillafold_types::{Millis, Slots};

/// How a send failed at the target or in the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened, or it broke before a byte of the request was written.
    Connect,
    /// The connection broke after a byte of the request was written.
    Lost,
    /// No complete answer came in time.
    Timeout,
    /// A complete answer came with a status of 500 or above and without `Vf-Not-Run`.
    ServerError,
    /// The answer was not valid HTTP/1.1.
    Malformed,
}

/// Reason that a target gives in `Vf-Not-Run` for not running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// All slots of the target are in use.
    Busy,
    /// The target takes no new work.
    Leaving,
    /// The target refuses this request.
    Refused,
}

/// How a send ended. Each started send has exactly one outcome.
#[derive(Debug, Clone, Copy)]
pub enum SendOutcome {
    /// A complete answer came with a status below 500.
    Answered {
        /// Time from the send to the last byte of the answer.
        latency_ms: Millis,
        /// Slots in use at the target, from `Vf-Load`; `None` if the answer did not have it.
        load: Option<Slots>,
    },
    /// The send failed, which counts against the target's health.
    Failed {
        /// How the send failed.
        kind: FailureKind,
        /// Time from the send to the failure.
        waited_ms: Millis,
    },
    /// The target answered with `Vf-Not-Run`: the work did not start.
    NotRun {
        /// Why the work did not start.
        reason: NotRunReason,
        /// Slots in use at the target, from `Vf-Load`; `None` if the answer did not have it.
        load: Option<Slots>,
    },
    /// Nothing was sent, because the target takes no new work any more, as this daemon found out
    /// itself.
    Unsent,
    /// The caller disconnected or its body broke off. The outcome says nothing about the target's
    /// health.
    Abandoned,
}

/// Result of a health check (`GET /vf-health`).
#[derive(Debug, Clone, Copy)]
pub enum HealthCheckResult {
    /// The target takes new work.
    Live {
        /// Slots in use at the target, from `Vf-Load`; `None` if the answer did not have it.
        load: Option<Slots>,
    },
    /// The target takes no new work.
    Leaving,
    /// No valid answer came in time.
    Failed,
}

impl FailureKind {
    /// Returns the name that counters and logs use.
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
    /// Returns the name that counters and logs use.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::Refused => "refused",
        }
    }
}
