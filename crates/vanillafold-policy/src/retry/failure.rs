//! How an attempt failed, as far as a retry is concerned.

use vanillafold_types::ResultCode;

use super::RetryReason;
use crate::NotRunReason;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Connect,
    /// The connection broke before a byte of the request was written.
    NothingWritten,
    /// The target said that the work did not start.
    NotRun(NotRunReason),
    /// The connection broke after a byte was written.
    Lost,
    /// No whole answer came in the attempt's time.
    Timeout,
    /// The answer was not valid HTTP/1.1.
    Malformed,
    /// A whole answer with a status of 500 or above.
    ServerError,
}

impl AttemptFailure {
    /// Whether the work may have run at the target.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::Connect | Self::NothingWritten | Self::NotRun(_) => false,
            Self::Lost | Self::Timeout | Self::Malformed | Self::ServerError => true,
        }
    }

    /// Whether a part of the caller's body may have been taken off its stream.
    pub(crate) const fn took_body(self) -> bool {
        !matches!(self, Self::Connect | Self::NothingWritten)
    }

    /// Whether the target was only full or leaving, so that another one may be tried freely.
    pub(crate) const fn is_reroute(self) -> bool {
        matches!(
            self,
            Self::NotRun(NotRunReason::Busy | NotRunReason::Leaving)
        )
    }

    /// What the caller is told if this failure is the last word.
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
