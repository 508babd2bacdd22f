//! Failures of an attempt, classified by what they mean for a retry.

use vanillafold_types::ResultCode;

use super::RetryReason;
use crate::NotRunReason;

/// How an attempt to send a request to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Connect,
    /// The connection broke before a byte of the request was written.
    NothingWritten,
    /// The target answered with `Vf-Not-Run`: the work did not start.
    NotRun(NotRunReason),
    /// The connection broke after a byte of the request was written.
    Lost,
    /// No complete answer came within the time limit of the attempt.
    Timeout,
    /// The answer was not valid HTTP/1.1.
    Malformed,
    /// A complete answer came with a status of 500 or above.
    ServerError,
}

impl AttemptFailure {
    /// Returns whether the work may have run at the target.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::Connect | Self::NothingWritten | Self::NotRun(_) => false,
            Self::Lost | Self::Timeout | Self::Malformed | Self::ServerError => true,
        }
    }

    /// Returns whether a part of the request body may have been read from the caller's stream.
    pub(crate) const fn may_have_read_body(self) -> bool {
        !matches!(self, Self::Connect | Self::NothingWritten)
    }

    /// Returns whether the target was only full or leaving, so that trying another target does not
    /// count as a retry.
    pub(crate) const fn is_reroute(self) -> bool {
        matches!(
            self,
            Self::NotRun(NotRunReason::Busy | NotRunReason::Leaving)
        )
    }

    /// Returns the result code for the caller if no further attempt follows.
    pub(crate) const fn code(self) -> ResultCode {
        match self {
            Self::Connect | Self::NothingWritten | Self::NotRun(_) => ResultCode::SendFailed,
            Self::Lost | Self::ServerError => ResultCode::ConnectionLost,
            Self::Timeout => ResultCode::DeadlineAfterSend,
            Self::Malformed => ResultCode::MalformedAnswer,
        }
    }

    pub(crate) const fn retry_reason(self) -> RetryReason {
        match self {
            Self::Connect => RetryReason::ConnectFailed,
            Self::NothingWritten => RetryReason::NothingWritten,
            Self::NotRun(NotRunReason::Busy) => RetryReason::TargetBusy,
            Self::NotRun(NotRunReason::Leaving) => RetryReason::TargetLeaving,
            Self::NotRun(NotRunReason::Refused) => RetryReason::TargetRefused,
            Self::Lost => RetryReason::ConnectionLost,
            Self::Timeout => RetryReason::Timeout,
            Self::Malformed => RetryReason::MalformedAnswer,
            Self::ServerError => RetryReason::ServerError,
        }
    }
}
