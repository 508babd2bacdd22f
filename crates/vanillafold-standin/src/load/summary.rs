//! The summary that the load generator prints as JSON at its end.

use serde::Serialize;

/// The counts and latencies of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The name of the load generator.
    pub process: String,
    /// The seed of the run.
    pub seed: u64,
    /// The duration of the run in seconds, until the last request ended.
    pub seconds: f64,
    /// Requests that were due.
    pub intended: u64,
    /// Requests that were sent, repeats included.
    pub sent: u64,
    /// Requests that were repeated after a lost answer.
    pub repeated: u64,
    /// Requests that were not sent because no target accepted a connection.
    pub unconnected: u64,
    /// Requests whose deadline passed before a connection was free for them.
    pub given_up: u64,
    /// Requests that were due per second, over the time in which requests were due.
    pub intended_per_s: f64,
    /// Answers per second, over the whole run.
    pub answered_per_s: f64,
    /// Answers within their deadline, counted from the intended start.
    pub on_time: u64,
    /// Answers whose body was incomplete or wrong.
    pub wrong_bodies: u64,
    /// Replies whose request id is that of another request.
    pub wrong_requests: u64,
    /// How often requests ended in each way.
    pub outcomes: Vec<OutcomeCount>,
    /// The time from the intended start to the end of the answer, in microseconds.
    pub answer_us: Percentiles,
    /// The time from the intended start to the end of requests that got no answer from a target, in
    /// microseconds.
    pub other_us: Percentiles,
    /// The time from the intended start until the request is sent, in microseconds: the delay that the
    /// load generator itself adds.
    pub send_late_us: Percentiles,
    /// The largest number of requests that waited for a free connection at one time.
    pub most_waiting: usize,
    /// Connections that were opened in all.
    pub connections: u64,
    /// The CPU time that the load generator used.
    pub cpu: CpuTime,
    /// Counts by queue, in the order of the options.
    pub queues: Vec<QueueSummary>,
    /// Counts by team, sorted by the team's id.
    pub teams: Vec<TeamSummary>,
}

/// The number of requests that ended with one outcome, result code and status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OutcomeCount {
    /// The outcome, as written to traces.
    pub outcome: &'static str,
    /// The result code; absent if none was received.
    pub code: Option<u16>,
    /// The HTTP status; absent if none was received.
    pub status: Option<u16>,
    /// The number of requests.
    pub count: u64,
}

/// Percentiles of a distribution of times, in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// The number of measured times.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
    /// The largest time.
    pub max: u64,
}

/// The CPU time of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CpuTime {
    /// CPU time in user mode, in microseconds.
    pub user_us: u64,
    /// CPU time in the kernel, in microseconds.
    pub system_us: u64,
}

/// The counts of requests to one queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QueueSummary {
    /// The id of the queue.
    pub queue: String,
    /// Requests that were sent, repeats included.
    pub sent: u64,
    /// Requests that a target answered.
    pub answers: u64,
    /// Answers within their deadline, counted from the intended start.
    pub on_time: u64,
}

/// The counts of requests with keys of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TeamSummary {
    /// The id of the team.
    pub team: String,
    /// Requests that were sent, repeats included.
    pub sent: u64,
    /// Requests that a target answered.
    pub answers: u64,
    /// Answers within their deadline, counted from the intended start.
    pub on_time: u64,
}
