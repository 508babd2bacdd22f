//! What a load prints at its end.

use serde::Serialize;

/// What came of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The load.
    pub process: String,
    /// The seed.
    pub seed: u64,
    /// How long the run took, the last answers included.
    pub seconds: f64,
    /// Requests that were due.
    pub intended: u64,
    /// Requests that were sent, repeats included.
    pub sent: u64,
    /// Requests that were sent once more after a lost answer.
    pub repeated: u64,
    /// Requests that no target took a connection for.
    pub unconnected: u64,
    /// Requests given up before a connection came free for them.
    pub given_up: u64,
    /// Requests due a second, over the sending time.
    pub intended_per_s: f64,
    /// Answers a second, over the whole run.
    pub answered_per_s: f64,
    /// Answers within their deadline, counted from the intended start.
    pub on_time: u64,
    /// Answers whose body is not the right one, in full.
    pub wrong_bodies: u64,
    /// Replies that name another request.
    pub wrong_requests: u64,
    /// How requests ended.
    pub outcomes: Vec<OutcomeCount>,
    /// From the intended start to the end of the answer, in microseconds.
    pub answer_us: Percentiles,
    /// The same for whatever is no answer.
    pub other_us: Percentiles,
    /// From the intended start to the first byte sent: what the load itself is late.
    pub send_late_us: Percentiles,
    /// The most requests that waited for a free connection.
    pub most_waiting: usize,
    /// Connections that were opened.
    pub connections: u64,
    /// Processor time that the load used.
    pub cpu: CpuTime,
    /// By queue.
    pub queues: Vec<QueueSummary>,
    /// By team.
    pub teams: Vec<TeamSummary>,
}

/// How often requests ended in one way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OutcomeCount {
    /// The outcome, as traces write it.
    pub outcome: &'static str,
    /// The result code, if one came.
    pub code: Option<u16>,
    /// The status, if one came.
    pub status: Option<u16>,
    /// How often.
    pub count: u64,
}

/// A distribution of times, in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// How many times were measured.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
    /// The largest.
    pub max: u64,
}

/// Processor time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CpuTime {
    /// In the program, in microseconds.
    pub user_us: u64,
    /// In the system, in microseconds.
    pub system_us: u64,
}

/// What came of the requests to a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QueueSummary {
    /// The queue.
    pub queue: String,
    /// Requests sent.
    pub sent: u64,
    /// Answers.
    pub answers: u64,
    /// Answers within their deadline.
    pub on_time: u64,
}

/// What came of the requests of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TeamSummary {
    /// The team.
    pub team: String,
    /// Requests sent.
    pub sent: u64,
    /// Answers.
    pub answers: u64,
    /// Answers within their deadline.
    pub on_time: u64,
}
