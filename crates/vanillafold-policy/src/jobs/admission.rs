//! Which jobs are taken, and when the others may come back.

/// How busy a pool is with the work of one organisation.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// What the organisation's waiting and running jobs in the pool still take, in
    /// core-milliseconds.
    pub queued_core_ms: u64,
    /// Cores that the organisation may count on: its share of the pool, and of what the pool can
    /// get from others, within its limit.
    pub cores: u64,
    /// What the job takes, in core-milliseconds.
    pub job_core_ms: u64,
    /// Within what time an answer is still worth something, in milliseconds.
    pub max_useful_latency_ms: u64,
}

/// What becomes of a job that is handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is taken.
    Admit,
    /// It is refused at once.
    Refuse {
        /// When its caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides on a job that is handed in.
///
/// Answers one organisation that sends several times its usual and would fill the queue for
/// longer than any answer is worth waiting for: its job that could only end after that time is
/// refused at once, and its caller is told to come back when its queue has drained to half of
/// it. The jobs of other organisations are taken, as their own share is free.
#[must_use]
pub fn admit(load: AdmissionInput) -> Admission {
    let drain_ms = (load.queued_core_ms + load.job_core_ms) / load.cores.max(1);
    match drain_ms {
        _ if load.queued_core_ms == 0 || drain_ms <= load.max_useful_latency_ms => Admission::Admit,
        _ => Admission::Refuse {
            retry_after_ms: drain_ms - load.max_useful_latency_ms / 2,
        },
    }
}
