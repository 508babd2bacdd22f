//! The options of the load generator: what it sends, where to and how fast.

use std::net::SocketAddr;
use std::str::FromStr;

use vanillafold_types::{Millis, QueueId, TeamId};

use super::{Burst, Distribution};
use crate::trace::{ProcessName, TraceWriter};

/// The options of one run of the load generator.
#[derive(Debug)]
pub struct LoadOptions {
    /// The name of the process in traces; request ids begin with it.
    pub process: ProcessName,
    /// The seed of all random choices.
    pub seed: u64,
    /// The addresses to send to; new connections go to each in turn.
    pub targets: Vec<Target>,
    /// Whether the targets are runners, not daemons.
    pub direct: bool,
    /// When requests are sent, and over how many connections.
    pub model: LoadModel,
    /// How long requests are sent; the run ends when the last of them has ended.
    pub duration_ms: Millis,
    /// The queues to send to, with their weights.
    pub queues: Vec<QueueWeight>,
    /// The keys to send with, with their weights; empty for requests without a key, to open queues.
    pub keys: Vec<CallerKey>,
    /// The properties of the requests.
    pub work: Work,
    /// Whether a non-idempotent request whose answer was lost is sent once more, with the same id and
    /// to another target if there is one.
    pub repeat_lost: bool,
    /// The trace that sends and replies are written to.
    pub trace: Option<TraceWriter>,
}

/// The workload model: when requests are sent.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadModel {
    /// Open loop: requests arrive at a rate that does not depend on the answers.
    OpenLoop {
        /// The mean rate over all queues, outside bursts.
        rate_per_s: f64,
        /// Intervals with another rate.
        bursts: Vec<Burst>,
        /// The maximum number of connections; requests that find none free wait.
        connections: usize,
    },
    /// Closed loop: each connection sends the next request as soon as the last one has ended.
    ClosedLoop {
        /// The number of connections, each with one request at a time.
        connections: usize,
    },
}

/// The properties of the requests of a load.
#[derive(Debug, Clone)]
pub struct Work {
    /// How long the work takes at the target, in milliseconds; it holds a slot for that time.
    pub work_ms: Distribution,
    /// The size of request bodies, in bytes.
    pub body_bytes: Distribution,
    /// The size of answers, in bytes.
    pub answer_bytes: Distribution,
    /// Whether bodies and answers are sent with chunked transfer encoding.
    pub chunked: bool,
    /// The share, 0 to 1, of requests whose body comes back as the answer.
    pub echo_share: f64,
    /// The share, 0 to 1, of idempotent requests.
    pub idempotent_share: f64,
    /// The deadline of each request, from its intended start.
    pub deadline_ms: Millis,
    /// How long after the deadline an answer counts as lost.
    pub grace_ms: Millis,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            work_ms: Distribution::Constant(10),
            body_bytes: Distribution::Constant(0),
            answer_bytes: Distribution::Constant(100),
            chunked: false,
            echo_share: 0.0,
            idempotent_share: 0.5,
            deadline_ms: Millis::new(5_000),
            grace_ms: Millis::new(2_000),
        }
    }
}

/// The error for an option's text that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, found {found:?}")]
pub struct ParseOptionError {
    /// The expected form.
    pub expected: &'static str,
    /// The text that was parsed.
    pub found: String,
}

/// A daemon or runner to send to, parsed from `[NAME=]IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The daemon's name, for traces of replies that do not name the daemon.
    pub name: Option<ProcessName>,
    /// The address to connect to.
    pub address: SocketAddr,
}

impl FromStr for Target {
    type Err = ParseOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = match text.split_once('=') {
            Some((name, address)) => (Some(name.into()), address),
            None => (None, text),
        };
        let address = address
            .parse()
            .map_err(|_| parse_error("[NAME=]IP:PORT", text))?;
        Ok(Self { name, address })
    }
}

/// A queue and its weight, parsed from `QUEUE[*WEIGHT]`; the weight defaults to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueWeight {
    /// The queue that requests are sent to.
    pub queue: QueueId,
    /// The weight, above 0: the queue's share of the requests is its share of the sum of all weights.
    pub weight: f64,
}

impl FromStr for QueueWeight {
    type Err = ParseOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || parse_error("QUEUE[*WEIGHT]", text);
        let (queue, weight) = split_weight(text).ok_or_else(wrong)?;
        let queue = queue.parse().map_err(|_| wrong())?;
        Ok(Self { queue, weight })
    }
}

/// A key, its team and its weight, parsed from `[TEAM=]KEY[*WEIGHT]`; the weight defaults to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerKey {
    /// The team that the key authenticates; absent if the key is not valid.
    pub team: Option<TeamId>,
    /// The key, `{key-id}.{secret}`.
    pub key: String,
    /// The weight, above 0: the key's share of the requests is its share of the sum of all weights.
    pub weight: f64,
}

impl FromStr for CallerKey {
    type Err = ParseOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || parse_error("[TEAM=]KEY[*WEIGHT]", text);
        let (names, weight) = split_weight(text).ok_or_else(wrong)?;
        let (team, key) = match names.split_once('=') {
            Some((team, key)) => (Some(team.parse().map_err(|_| wrong())?), key),
            None => (None, names),
        };
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(wrong());
        }
        Ok(Self {
            team,
            key: key.to_owned(),
            weight,
        })
    }
}

fn split_weight(text: &str) -> Option<(&str, f64)> {
    match text.split_once('*') {
        Some((name, weight)) => {
            let weight: f64 = weight.parse().ok()?;
            (weight.is_finite() && weight > 0.0).then_some((name, weight))
        }
        None => Some((text, 1.0)),
    }
}

fn parse_error(expected: &'static str, text: &str) -> ParseOptionError {
    ParseOptionError {
        expected,
        found: text.to_owned(),
    }
}
