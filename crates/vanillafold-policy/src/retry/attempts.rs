//! The attempts of one request, and the decision after each failed one.

// The check of a catalogue needs this limit too, so that it is defined there.
pub use vanillafold_types::MIN_RETRY_REMAINING;
use vanillafold_types::{Millis, ResultCode};

use super::{AttemptFailure, RetryAllowance};
use crate::{MonotonicMillis, SplitMix};

/// Maximum number of sends of one request, without those that a full or leaving target refused.
pub const MAX_SENDS: u32 = 3;
/// Maximum number of connections that may break under one request after a part of it was written.
/// The request may have crashed these targets, and would crash the next one.
pub const MAX_LOST_CONNECTIONS: u32 = 2;
/// Maximum number of reroutes: how often a request goes to another target because one was full or
/// leaving.
///
/// Reroutes do not count against the retry budget: nothing ran, so nothing runs twice, and each
/// costs a target one short answer. Without a bound, a request could circulate between full
/// targets.
pub const MAX_REROUTES: u32 = 16;
/// Upper bound of the random backoff before the first retry; it doubles with each further retry.
const INITIAL_MAX_BACKOFF: Millis = Millis::new(5);

/// Properties of a request that decide whether it can be sent again.
#[derive(Debug, Clone, Copy)]
pub struct RequestProperties {
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether the complete body is still available to be sent again.
    pub body_replayable: bool,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Pick another target and send again.
    Retry {
        /// Backoff before the next send.
        after_ms: Millis,
        /// Why the request is sent again.
        reason: RetryReason,
    },
    /// Pass the target's complete answer, a server error, on to the caller.
    PassAnswer {
        /// Why the request is not sent again.
        reason: StopReason,
    },
    /// End the request with this result code.
    GiveUp {
        /// The result code for the caller.
        code: ResultCode,
        /// Why the request is not sent again.
        reason: StopReason,
    },
}

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before a byte of the request was written.
    NothingWritten,
    /// All slots of the target were in use.
    TargetBusy,
    /// The target takes no new work.
    TargetLeaving,
    /// The target refused this request.
    TargetRefused,
    /// The connection broke after a byte of the request was written; the request is idempotent.
    ConnectionLost,
    /// No complete answer came within the time limit of the attempt; the request is idempotent.
    Timeout,
    /// The answer was not valid HTTP/1.1; the request is idempotent.
    MalformedAnswer,
    /// The answer was a server error; the request is idempotent.
    ServerError,
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The work may have run, and the request is not idempotent.
    NotIdempotent,
    /// The body is no longer available to be sent again.
    BodyNotReplayable,
    /// Less than [`MIN_RETRY_REMAINING`] is left until the deadline.
    DeadlineNear,
    /// The request was sent [`MAX_SENDS`] times.
    MaxSends,
    /// [`MAX_LOST_CONNECTIONS`] targets broke the connection after a part of the request was written.
    MaxLostConnections,
    /// The request was rerouted [`MAX_REROUTES`] times, and the last target was full or leaving
    /// too.
    MaxReroutes,
    /// The queue's retry budget has no retry left.
    BudgetSpent,
}

/// Counts of the failed attempts of one request, and whether one of them may have run.
#[derive(Debug)]
pub struct RequestAttempts {
    properties: RequestProperties,
    sends: u32,
    reroutes: u32,
    lost_connections: u32,
    may_have_run: Option<ResultCode>,
}

impl RequestAttempts {
    /// Creates the state of a request that has not been sent yet.
    #[must_use]
    pub const fn new(properties: RequestProperties) -> Self {
        Self {
            properties,
            sends: 0,
            reroutes: 0,
            lost_connections: 0,
            may_have_run: None,
        }
    }

    /// Returns the number of the next attempt, from 1, as the `Vf-Attempt` header carries it.
    #[must_use]
    pub const fn next_number(&self) -> u32 {
        self.sends + self.reroutes + 1
    }

    /// Returns the result code for the caller if the request is now refused with `code`.
    ///
    /// A code that means "not run" is kept only if no earlier attempt may have run.
    #[must_use]
    pub fn refusal_code(&self, code: ResultCode) -> ResultCode {
        match (code, self.may_have_run) {
            (ResultCode::DeadlineBeforeStart, Some(_)) => ResultCode::DeadlineAfterSend,
            (_, Some(earlier)) => earlier,
            (_, None) => code,
        }
    }

    /// Records a failed attempt and decides what to do, with `remaining_ms` left until the
    /// deadline.
    ///
    /// Takes one retry from `budget` if the decision is a retry that counts against it.
    pub fn attempt_failed<B: RetryAllowance>(
        &mut self,
        failure: AttemptFailure,
        remaining_ms: Millis,
        now: MonotonicMillis,
        budget: &mut B,
        rng: &mut SplitMix,
    ) -> RetryDecision {
        self.record(failure);
        match self.stop_reason(failure, remaining_ms, now, budget) {
            None => RetryDecision::Retry {
                after_ms: self.backoff(failure, remaining_ms, rng),
                reason: failure.retry_reason(),
            },
            Some(reason) if failure == AttemptFailure::ServerError => {
                RetryDecision::PassAnswer { reason }
            }
            Some(reason) => RetryDecision::GiveUp {
                code: self.give_up_code(failure, reason),
                reason,
            },
        }
    }

    fn record(&mut self, failure: AttemptFailure) {
        match failure.is_reroute() {
            true => self.reroutes += 1,
            false => self.sends += 1,
        }
        if failure == AttemptFailure::Lost {
            self.lost_connections += 1;
        }
        if failure.may_have_run() {
            self.may_have_run = Some(failure.code());
        }
    }

    fn stop_reason<B: RetryAllowance>(
        &self,
        failure: AttemptFailure,
        remaining_ms: Millis,
        now: MonotonicMillis,
        budget: &mut B,
    ) -> Option<StopReason> {
        let reroute = failure.is_reroute();
        match self.properties {
            properties if failure.may_have_run() && !properties.idempotent => {
                Some(StopReason::NotIdempotent)
            }
            properties if failure.may_have_read_body() && !properties.body_replayable => {
                Some(StopReason::BodyNotReplayable)
            }
            _ if remaining_ms < MIN_RETRY_REMAINING => Some(StopReason::DeadlineNear),
            _ if reroute && self.reroutes > MAX_REROUTES => Some(StopReason::MaxReroutes),
            _ if reroute => None,
            _ if self.lost_connections >= MAX_LOST_CONNECTIONS => {
                Some(StopReason::MaxLostConnections)
            }
            _ if self.sends >= MAX_SENDS => Some(StopReason::MaxSends),
            _ if !budget.try_spend(now) => Some(StopReason::BudgetSpent),
            _ => None,
        }
    }

    fn give_up_code(&self, failure: AttemptFailure, reason: StopReason) -> ResultCode {
        match reason {
            StopReason::DeadlineNear if !failure.may_have_run() => {
                self.refusal_code(ResultCode::DeadlineBeforeStart)
            }
            _ => self.refusal_code(failure.code()),
        }
    }

    /// Returns the wait before the next send. A reroute does not wait, because a full or leaving
    /// target says nothing about the next one.
    fn backoff(&self, failure: AttemptFailure, remaining_ms: Millis, rng: &mut SplitMix) -> Millis {
        if failure.is_reroute() {
            return Millis::ZERO;
        }
        let exponential_ms = INITIAL_MAX_BACKOFF.get() << (self.sends - 1).min(8);
        let max_ms = exponential_ms.min(remaining_ms.get() / 4).max(1);
        Millis::new(rng.below(max_ms))
    }
}

impl RetryReason {
    /// Returns the name that counters and logs use.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::NothingWritten => "nothing_written",
            Self::TargetBusy => "target_busy",
            Self::TargetLeaving => "target_leaving",
            Self::TargetRefused => "target_refused",
            Self::ConnectionLost => "connection_lost",
            Self::Timeout => "timeout",
            Self::MalformedAnswer => "malformed_answer",
            Self::ServerError => "server_error",
        }
    }
}

impl StopReason {
    /// Returns the name that counters and logs use.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::BodyNotReplayable => "body_not_replayable",
            Self::DeadlineNear => "deadline_near",
            Self::MaxSends => "max_sends",
            Self::MaxLostConnections => "max_lost_connections",
            Self::MaxReroutes => "max_reroutes",
            Self::BudgetSpent => "budget_spent",
        }
    }
}
