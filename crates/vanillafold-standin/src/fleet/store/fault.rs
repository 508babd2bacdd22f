//! Faults of the metadata store, for single daemons and kinds of calls.

/// A kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// `POST /log-append`.
    Append,
    /// `GET /log-newest` and `GET /log-read`.
    Read,
    /// `POST /log-join` and `POST /log-leave`.
    Membership,
    /// `GET /log-owners`.
    Owners,
}

/// What the store does with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreEffect {
    /// Answers with this status and does nothing.
    Refuse(u16),
    /// Closes the connection and does nothing.
    Close,
    /// Does nothing and never answers.
    Silence,
    /// Does what is asked and answers late, in milliseconds.
    AnswerLate(u64),
    /// Does what is asked late, in milliseconds, and never answers.
    DoLate(u64),
}

/// A fault that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreFault {
    /// The daemon whose calls are affected; `None` for all.
    pub daemon: Option<usize>,
    /// The kind of call that is affected; `None` for all.
    pub call: Option<StoreCall>,
    /// What the store does.
    pub effect: StoreEffect,
}

impl StoreFault {
    pub(super) fn affects(&self, daemon: usize, call: StoreCall) -> bool {
        self.daemon.is_none_or(|affected| affected == daemon)
            && self.call.is_none_or(|affected| affected == call)
    }
}
