//! The requests of a run, whose properties are drawn from the seed.

use std::time::{Duration, Instant};

use vanillafold_types::Millis;

use super::{CallerKey, LoadOptions, QueueWeight, Work};
use crate::process::Random;

/// A request that is due to be sent.
#[derive(Debug, Clone)]
pub(crate) struct PlannedRequest {
    /// The request id, `{process}-{number}`.
    pub(crate) id: String,
    /// When the request is due; its deadline and latency count from here.
    pub(crate) intended: Instant,
    /// The index of its queue in [`LoadOptions::queues`].
    pub(crate) queue: usize,
    /// The index of its key in [`LoadOptions::keys`]; `None` if there are no keys.
    pub(crate) key: Option<usize>,
    pub(crate) idempotent: bool,
    pub(crate) work_ms: u64,
    pub(crate) body_bytes: u64,
    pub(crate) answer_bytes: u64,
    /// Whether the body of the request comes back as the answer.
    pub(crate) echo: bool,
}

impl PlannedRequest {
    /// Returns the time until the deadline, which counts from the intended start; zero if the deadline
    /// has passed.
    pub(crate) fn remaining(&self, work: &Work) -> Duration {
        let deadline = work.deadline_ms.duration();
        deadline.saturating_sub(self.intended.elapsed())
    }

    /// Returns the time until the deadline in milliseconds for the header `vf-deadline-ms`, at least 1.
    pub(crate) fn remaining_ms(&self, work: &Work) -> u64 {
        let remaining: Millis = self.remaining(work).into();
        remaining.get().max(1)
    }

    /// Returns the size of the expected answer's body, in bytes.
    pub(crate) fn expected_bytes(&self) -> u64 {
        match self.echo {
            true => self.body_bytes,
            false => self.answer_bytes,
        }
    }
}

/// Draws the properties of requests one after another from a seeded generator.
#[derive(Debug)]
pub(crate) struct RequestGenerator {
    random: Random,
    prefix: String,
    count: u64,
    queues: Weights,
    keys: Weights,
    work: Work,
}

impl RequestGenerator {
    pub(crate) fn new(options: &LoadOptions, random: Random) -> Self {
        let queue_weight = |queue: &QueueWeight| queue.weight;
        let key_weight = |key: &CallerKey| key.weight;
        Self {
            random,
            prefix: options.process.to_string(),
            count: 0,
            queues: options.queues.iter().map(queue_weight).collect(),
            keys: options.keys.iter().map(key_weight).collect(),
            work: options.work.clone(),
        }
    }

    /// Returns the next request, to a queue that is drawn by weight.
    pub(crate) fn next(&mut self, intended: Instant) -> PlannedRequest {
        let queue = self.queues.pick(&mut self.random).unwrap_or(0);
        self.next_to(queue, intended)
    }

    /// Returns the next request to the queue with the index `queue`.
    pub(crate) fn next_to(&mut self, queue: usize, intended: Instant) -> PlannedRequest {
        self.count += 1;
        let random = &mut self.random;
        let work = &self.work;
        PlannedRequest {
            id: format!("{}-{}", self.prefix, self.count),
            intended,
            queue,
            key: self.keys.pick(random),
            idempotent: random.next_bool(work.idempotent_share),
            work_ms: work.work_ms.sample(random),
            body_bytes: work.body_bytes.sample(random),
            answer_bytes: work.answer_bytes.sample(random),
            echo: random.next_bool(work.echo_share),
        }
    }
}

/// Weights for a random choice of an index.
#[derive(Debug)]
struct Weights {
    /// The sum of the weights up to and including each index.
    sums: Vec<f64>,
}

impl FromIterator<f64> for Weights {
    fn from_iter<T: IntoIterator<Item = f64>>(weights: T) -> Self {
        let mut sum = 0.0;
        let sums = weights.into_iter().map(|weight| {
            sum += weight;
            sum
        });
        Self {
            sums: sums.collect(),
        }
    }
}

impl Weights {
    /// Draws an index with a probability proportional to its weight; `None` if there are no weights.
    fn pick(&self, random: &mut Random) -> Option<usize> {
        let last = self.sums.len().checked_sub(1)?;
        let point = random.next_f64() * self.sums[last];
        Some(self.sums.partition_point(|sum| *sum <= point).min(last))
    }
}
