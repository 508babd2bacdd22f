//! The requests of a run, drawn from its seed.

use std::time::{Duration, Instant};

use vanillafold_types::Millis;

use super::{CallerKey, LoadOptions, QueueWeight, Work};
use crate::process::Random;

/// A request that is to be sent.
#[derive(Debug, Clone)]
pub(crate) struct PlannedRequest {
    pub(crate) id: String,
    /// When it should be sent.
    pub(crate) intended: Instant,
    /// Its queue, as an index.
    pub(crate) queue: usize,
    /// Its key, as an index.
    pub(crate) key: Option<usize>,
    pub(crate) idempotent: bool,
    pub(crate) work_ms: u64,
    pub(crate) body_bytes: u64,
    pub(crate) answer_bytes: u64,
    pub(crate) echo: bool,
}

impl PlannedRequest {
    /// How long its caller still waits for the answer, counted from when it should have been sent.
    pub(crate) fn remaining(&self, work: &Work) -> Duration {
        let deadline = work.deadline_ms.duration();
        deadline.saturating_sub(self.intended.elapsed())
    }

    /// The same as a request's head carries it.
    pub(crate) fn remaining_ms(&self, work: &Work) -> u64 {
        let remaining: Millis = self.remaining(work).into();
        remaining.get().max(1)
    }

    /// The size of the body that answers it.
    pub(crate) fn expected_bytes(&self) -> u64 {
        match self.echo {
            true => self.body_bytes,
            false => self.answer_bytes,
        }
    }
}

/// Draws the requests one after another.
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

    /// The next request, to any queue.
    pub(crate) fn next(&mut self, intended: Instant) -> PlannedRequest {
        let queue = self.queues.pick(&mut self.random).unwrap_or(0);
        self.next_to(queue, intended)
    }

    /// The next request to a queue.
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

/// Weights of a sequence of things.
#[derive(Debug)]
struct Weights {
    /// The sum of the weights up to each thing.
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
    /// A thing, each as often as its weight says; `None` if there are none.
    fn pick(&self, random: &mut Random) -> Option<usize> {
        let last = self.sums.len().checked_sub(1)?;
        let point = random.next_f64() * self.sums[last];
        Some(self.sums.partition_point(|sum| *sum <= point).min(last))
    }
}
