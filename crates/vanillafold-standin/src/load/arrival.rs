//! Arrival times of requests: a Poisson process for each queue, whose rate changes in steps.

use std::time::Duration;

use vanillafold_types::QueueId;

use super::Burst;
use crate::process::Random;

/// The time at which a request to a queue is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The time since the start of the run.
    pub at: Duration,
    /// The index of the queue in the rates that [`Arrivals::new`] was given.
    pub queue: usize,
}

/// An iterator over all arrivals of a run, in order of time. They depend only on the seed, the rates
/// and the bursts. It ends if no queue has a rate above 0 any more.
#[derive(Debug)]
pub struct Arrivals {
    queues: Vec<QueueArrivals>,
}

impl Arrivals {
    /// Creates the arrivals of several queues, each given with its rate in requests per second. A
    /// burst without a queue applies to all of them.
    #[must_use]
    pub fn new(rates: &[(QueueId, f64)], bursts: &[Burst], random: &mut Random) -> Self {
        let queues = rates.iter().map(|(queue, rate)| {
            let of_queue = |burst: &&Burst| burst.queue.as_ref().is_none_or(|name| name == queue);
            let bursts = bursts.iter().filter(of_queue).cloned().collect();
            QueueArrivals::new(*rate, bursts, Random::new(random.next_u64()))
        });
        Self {
            queues: queues.collect(),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Self::Item> {
        let queues = self.queues.iter_mut().enumerate();
        let (queue, first) = queues.min_by(|(_, a), (_, b)| a.next_s.total_cmp(&b.next_s))?;
        let at = Duration::try_from_secs_f64(first.next_s).ok()?;
        first.advance();
        Some(Arrival { at, queue })
    }
}

#[derive(Debug)]
struct QueueArrivals {
    rate_per_s: f64,
    bursts: Vec<Burst>,
    random: Random,
    /// The next arrival, in seconds since the start of the run; infinite if there is none.
    next_s: f64,
}

impl QueueArrivals {
    fn new(rate_per_s: f64, bursts: Vec<Burst>, random: Random) -> Self {
        let mut arrivals = Self {
            rate_per_s,
            bursts,
            random,
            next_s: 0.0,
        };
        arrivals.advance();
        arrivals
    }

    /// Draws the next arrival. A gap that crosses a change of the rate is drawn again from the time of
    /// the change, which is correct because the process is memoryless.
    fn advance(&mut self) {
        let mut from_s = self.next_s;
        loop {
            let gap_s = self.random.exponential() / self.rate_at(from_s);
            let change_s = self.change_after(from_s);
            if from_s + gap_s < change_s || change_s == f64::INFINITY {
                self.next_s = from_s + gap_s;
                return;
            }
            from_s = change_s;
        }
    }

    /// Returns the rate per second at a time: the base rate times the factors of all bursts then.
    fn rate_at(&self, at_s: f64) -> f64 {
        let in_force = self.bursts.iter().filter(|burst| {
            let (start, end) = burst.span_s();
            start <= at_s && at_s < end
        });
        let factor: f64 = in_force.map(|burst| burst.factor).product();
        self.rate_per_s * factor
    }

    /// Returns the time of the first change of the rate after `at_s`; infinite if there is none.
    fn change_after(&self, at_s: f64) -> f64 {
        let spans = self.bursts.iter().map(Burst::span_s);
        let changes = spans.flat_map(|(start, end)| [start, end]);
        changes
            .filter(|change| *change > at_s)
            .fold(f64::INFINITY, f64::min)
    }
}
