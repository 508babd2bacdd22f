//! Admission control: whether a submitted job is accepted, and when to submit a refused one again.

/// The load of one organisation in a pool, and the job that it submits.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// Remaining work of the organisation's waiting and running jobs in the pool, in
    /// core-milliseconds.
    pub queued_core_ms: u64,
    /// Cores that the organisation can count on: its share of the pool and of what the pool can
    /// get from other pools, capped at the organisation's limit.
    pub cores: u64,
    /// Tasks that wait for a worker, in all pools.
    pub waiting_tasks: u64,
    /// Tasks that can be started per second, if the owner's link or processor is the limit; `None`
    /// if it is not.
    pub starts_per_s: Option<u64>,
    /// Work of the submitted job, in core-milliseconds.
    pub job_core_ms: u64,
    /// Latency beyond which the job's result is of no use to its caller, in milliseconds.
    pub max_useful_latency_ms: u64,
}

/// Whether a submitted job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Admit,
    /// The job is refused at once.
    Refuse {
        /// How long the caller should wait before it submits the job again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether a submitted job is accepted.
///
/// Guards against an organisation that sends several times its usual load and would fill the
/// queue for longer than any result is worth waiting for. A job that could only finish after
/// `max_useful_latency_ms` is refused at once, and its caller is asked to return when the
/// organisation's queue has drained to half of that time. Jobs of other organisations are still
/// accepted, because their own share of the pool is free. A job of an organisation with nothing
/// queued is always accepted.
///
/// Guards as well against a burst of all queues together that asks for more starts than the owner
/// can send. A job whose tasks could only start after `max_useful_latency_ms` is refused, whoever
/// sends it, and its caller is asked to return when the waiting tasks take half of that time to
/// start.
#[must_use]
pub fn admit(input: AdmissionInput) -> Admission {
    let drain_ms = input.queued_core_ms.saturating_add(input.job_core_ms) / input.cores.max(1);
    let start_ms = input.starts_per_s.map_or(0, |per_s| {
        input.waiting_tasks.saturating_mul(1_000) / per_s.max(1)
    });
    match drain_ms {
        _ if start_ms > input.max_useful_latency_ms => Admission::Refuse {
            retry_after_ms: start_ms - input.max_useful_latency_ms / 2,
        },
        _ if input.queued_core_ms == 0 || drain_ms <= input.max_useful_latency_ms => {
            Admission::Admit
        }
        _ => Admission::Refuse {
            retry_after_ms: drain_ms - input.max_useful_latency_ms / 2,
        },
    }
}
