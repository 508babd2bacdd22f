//! What a load sends, where and how fast.

use std::net::SocketAddr;
use std::str::FromStr;

use vanillafold_types::{Millis, QueueId, TeamId};

use super::{Burst, Distribution};
use crate::trace::{ProcessName, TraceWriter};

/// How a load runs.
#[derive(Debug)]
pub struct LoadOptions {
    /// Its name in traces; request ids begin with it.
    pub process: ProcessName,
    /// The seed of everything that varies.
    pub seed: u64,
    /// Where it sends: connections are spread over these in turn.
    pub targets: Vec<Target>,
    /// Whether the targets are runners, not daemons.
    pub direct: bool,
    /// How fast it sends.
    pub model: LoadModel,
    /// For how long it sends.
    pub duration_ms: Millis,
    /// What it sends to, with the share of each.
    pub queues: Vec<QueueWeight>,
    /// The keys that it sends with, with the share of each; none for open queues.
    pub keys: Vec<CallerKey>,
    /// What it asks for.
    pub work: Work,
    /// Whether a non-idempotent request whose answer was lost is sent once more, with the same
    /// id and to another target.
    pub repeat_lost: bool,
    /// Where it writes what it sees.
    pub trace: Option<TraceWriter>,
}

/// How fast a load sends.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadModel {
    /// At a rate that does not depend on the answers.
    OpenLoop {
        /// The mean rate of all queues.
        rate_per_s: f64,
        /// Times of another rate.
        bursts: Vec<Burst>,
        /// The most connections; requests beyond them wait.
        connections: usize,
    },
    /// The next as soon as the last was answered.
    ClosedLoop {
        /// Connections, each with one request at a time.
        connections: usize,
    },
}

/// What a load asks for.
#[derive(Debug, Clone)]
pub struct Work {
    /// How long a slot is held, in milliseconds.
    pub work_ms: Distribution,
    /// The size of request bodies, in bytes.
    pub body_bytes: Distribution,
    /// The size of answers, in bytes.
    pub answer_bytes: Distribution,
    /// Whether bodies and answers come in chunks.
    pub chunked: bool,
    /// The share, 0 to 1, of requests whose body comes back as the answer.
    pub echo_share: f64,
    /// The share, 0 to 1, of idempotent requests.
    pub idempotent_share: f64,
    /// How long callers wait.
    pub deadline_ms: Millis,
    /// How much longer the load waits for an answer before it gives it up as lost.
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

/// The text is not what an option takes.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, found {found:?}")]
pub struct ParseOptionError {
    /// What would have been right.
    pub expected: &'static str,
    /// What was there.
    pub found: String,
}

/// Where a load sends: `[NAME=]IP:PORT`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The daemon's name, if it is known.
    pub name: Option<ProcessName>,
    /// Its address.
    pub address: SocketAddr,
}

impl FromStr for Target {
    type Err = ParseOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = match text.split_once('=') {
            Some((name, address)) => (Some(name.into()), address),
            None => (None, text),
        };
        let address = address.parse().map_err(|_| wrong("[NAME=]IP:PORT", text))?;
        Ok(Self { name, address })
    }
}

/// A queue and its weight: `QUEUE[*WEIGHT]`.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueWeight {
    /// The queue.
    pub queue: QueueId,
    /// Its share of the sum of all weights.
    pub weight: f64,
}

impl FromStr for QueueWeight {
    type Err = ParseOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || wrong("QUEUE[*WEIGHT]", text);
        let (queue, weight) = split_weight(text).ok_or_else(wrong)?;
        let queue = queue.parse().map_err(|_| wrong())?;
        Ok(Self { queue, weight })
    }
}

/// A key, whose it is, and its weight: `[TEAM=]KEY[*WEIGHT]`.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerKey {
    /// The team that the key speaks for; absent if it is not valid.
    pub team: Option<TeamId>,
    /// The key, `{key-id}.{secret}`.
    pub key: String,
    /// Its share of the sum of all weights.
    pub weight: f64,
}

impl FromStr for CallerKey {
    type Err = ParseOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || wrong("[TEAM=]KEY[*WEIGHT]", text);
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

fn wrong(expected: &'static str, text: &str) -> ParseOptionError {
    ParseOptionError {
        expected,
        found: text.to_owned(),
    }
}
