//! The attempts of one request, and what follows a failed one.

use vanillafold_types::{Millis, ResultCode};

use super::{AttemptFailure, RetryAllowance};
use crate::{MonotonicMillis, SplitMix};

/// The most sends of one request, those not counted that a full or leaving target refused.
pub const MAX_SENDS: u32 = 3;
/// The most times that a request goes on to another target because one was full or leaving.
///
/// These don't count against the retry budget: nothing ran, so nothing is run again, and each
/// costs a target one short answer. Without a bound, two full pools could pass a request around.
pub const MAX_REROUTES: u32 = 16;
/// The time left below which a retry could not bring an answer in time.
pub const MIN_RETRY_REMAINING: Millis = Millis::new(20);
/// The wait before the first retry, without jitter; it doubles with each.
const MIN_BACKOFF: Millis = Millis::new(5);

/// What the caller's request allows.
#[derive(Debug, Clone, Copy)]
pub struct RequestProperties {
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether its whole body is at hand to be sent again.
    pub body_replayable: bool,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Pick another target and send again.
    Retry {
        /// The wait before.
        after_ms: Millis,
        /// Why a retry is needed.
        reason: RetryReason,
    },
    /// Pass the target's whole answer, a server error, on to the caller.
    PassAnswer {
        /// Why there is no retry.
        reason: StopReason,
    },
    /// Refuse the request with this code.
    GiveUp {
        /// What the caller is told.
        code: ResultCode,
        /// Why there is no retry.
        reason: StopReason,
    },
}

/// Why a send is repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before a byte was written.
    NothingWritten,
    /// The target's slots were full.
    TargetBusy,
    /// The target takes no new work.
    TargetLeaving,
    /// The target refused the request.
    TargetRefused,
    /// The connection broke after a byte was written; the request is idempotent.
    ConnectionLost,
    /// No answer came in the attempt's time; the request is idempotent.
    Timeout,
    /// The answer was not valid; the request is idempotent.
    MalformedAnswer,
    /// The answer was a server error; the request is idempotent.
    ServerError,
}

/// Why a send is not repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The work may have run and the request is not idempotent.
    NotIdempotent,
    /// The body is no longer at hand.
    BodyNotReplayable,
    /// Too little time is left.
    DeadlineNear,
    /// There were [`MAX_SENDS`] sends.
    MaxSends,
    /// There were [`MAX_REROUTES`] reroutes and the last target was full or leaving too.
    MaxReroutes,
    /// The queue's retry budget is spent.
    BudgetSpent,
}

/// The attempts of one request so far.
#[derive(Debug)]
pub struct RequestAttempts {
    terms: RequestProperties,
    sends: u32,
    reroutes: u32,
    may_have_run: Option<ResultCode>,
}

impl RequestAttempts {
    /// A request of which nothing was sent yet.
    #[must_use]
    pub const fn new(terms: RequestProperties) -> Self {
        Self {
            terms,
            sends: 0,
            reroutes: 0,
            may_have_run: None,
        }
    }

    /// The number of the next attempt, as `Vf-Attempt` carries it: from 1.
    #[must_use]
    pub const fn next_number(&self) -> u32 {
        self.sends + self.reroutes + 1
    }

    /// What the caller is told if the request is refused with `code` now.
    ///
    /// A code that says "not run" stays only if no earlier attempt may have run.
    #[must_use]
    pub fn refusal_code(&self, code: ResultCode) -> ResultCode {
        match (code, self.may_have_run) {
            (ResultCode::DeadlineBeforeStart, Some(_)) => ResultCode::DeadlineAfterSend,
            (_, Some(earlier)) => earlier,
            (_, None) => code,
        }
    }

    /// Decides what follows a failed attempt, with `remaining_ms` left until the deadline.
    ///
    /// Takes one retry from `budget` if the answer is a retry that counts against it.
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
        match self.terms {
            terms if failure.may_have_run() && !terms.idempotent => Some(StopReason::NotIdempotent),
            terms if failure.took_body() && !terms.body_replayable => {
                Some(StopReason::BodyNotReplayable)
            }
            _ if remaining_ms < MIN_RETRY_REMAINING => Some(StopReason::DeadlineNear),
            _ if reroute && self.reroutes > MAX_REROUTES => Some(StopReason::MaxReroutes),
            _ if reroute => None,
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

    /// A full or leaving target says nothing about the next one, so a reroute does not wait.
    fn backoff(&self, failure: AttemptFailure, remaining_ms: Millis, rng: &mut SplitMix) -> Millis {
        if failure.is_reroute() {
            return Millis::ZERO;
        }
        let doubled = MIN_BACKOFF.get() << (self.sends - 1).min(8);
        let most = doubled.min(remaining_ms.get() / 4).max(1);
        Millis::new(rng.below(most))
    }
}

impl RetryReason {
    /// The name used in counters and logs.
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
    /// The name used in counters and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::BodyNotReplayable => "body_not_replayable",
            Self::DeadlineNear => "deadline_near",
            Self::MaxSends => "max_sends",
            Self::MaxReroutes => "max_reroutes",
            Self::BudgetSpent => "budget_spent",
        }
    }
}
