//! Counts of requests and histograms of their times during a run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::exchange::Reply;
use super::options::LoadOptions;
use super::request::PlannedRequest;
use super::summary::{OutcomeCount, Percentiles, QueueSummary, Summary, TeamSummary};
use crate::trace::ReceivedOutcome;

/// The largest time that the histograms hold, in microseconds; longer times count as this.
const MAX_US: u64 = 600_000_000;

/// The number of significant decimal digits of the histograms.
const DIGITS: u8 = 3;

/// Counts and histograms of the requests so far.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) intended: u64,
    pub(crate) repeated: u64,
    pub(crate) unconnected: u64,
    pub(crate) given_up: u64,
    pub(crate) connections: u64,
    all: Counts,
    wrong_bodies: u64,
    wrong_requests: u64,
    outcomes: Vec<OutcomeCount>,
    by_queue: Vec<Counts>,
    by_key: Vec<Counts>,
    answer_us: Histogram<u64>,
    other_us: Histogram<u64>,
    send_late_us: Histogram<u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    sent: u64,
    answers: u64,
    on_time: u64,
}

impl Tally {
    pub(crate) fn new(options: &LoadOptions) -> Self {
        Self {
            intended: 0,
            repeated: 0,
            unconnected: 0,
            given_up: 0,
            connections: 0,
            all: Counts::default(),
            wrong_bodies: 0,
            wrong_requests: 0,
            outcomes: Vec::new(),
            by_queue: vec![Counts::default(); options.queues.len()],
            by_key: vec![Counts::default(); options.keys.len()],
            answer_us: histogram(),
            other_us: histogram(),
            send_late_us: histogram(),
        }
    }

    /// Counts a request that is sent `send_delay` after its intended start.
    pub(crate) fn count_sent(&mut self, request: &PlannedRequest, send_delay: Duration) {
        record(&mut self.send_late_us, send_delay);
        self.for_each_count(request, |counts| counts.sent += 1);
    }

    /// Counts a request that ended without having been sent.
    pub(crate) fn count_unsent(&mut self, request: &PlannedRequest) {
        record(&mut self.other_us, request.intended.elapsed());
    }

    /// Counts the end of a request, `latency` after its intended start.
    pub(crate) fn count_received(
        &mut self,
        request: &PlannedRequest,
        reply: &Reply,
        latency: Duration,
        deadline: Duration,
    ) {
        self.count_outcome(reply);
        let other_request = reply.answered_request.as_ref();
        self.wrong_requests += u64::from(other_request.is_some_and(|id| *id != request.id));
        if reply.outcome != ReceivedOutcome::Answer {
            record(&mut self.other_us, latency);
            return;
        }
        record(&mut self.answer_us, latency);
        self.wrong_bodies += u64::from(!reply.whole);
        let on_time = u64::from(latency <= deadline);
        self.for_each_count(request, |counts| {
            counts.answers += 1;
            counts.on_time += on_time;
        });
    }

    fn for_each_count(&mut self, request: &PlannedRequest, change: impl Fn(&mut Counts)) {
        change(&mut self.all);
        change(&mut self.by_queue[request.queue]);
        if let Some(key) = request.key {
            change(&mut self.by_key[key]);
        }
    }

    fn count_outcome(&mut self, reply: &Reply) {
        let key = (reply.outcome.as_str(), reply.code, reply.status);
        let found = self
            .outcomes
            .binary_search_by_key(&key, |known| (known.outcome, known.code, known.status));
        match found {
            Ok(index) => self.outcomes[index].count += 1,
            Err(index) => {
                let (outcome, code, status) = key;
                let count = 1;
                let first = OutcomeCount {
                    outcome,
                    code,
                    status,
                    count,
                };
                self.outcomes.insert(index, first);
            }
        }
    }

    /// Returns the summary of a run that sent requests for `sending` and took `whole` in all. The
    /// caller sets `most_waiting`.
    pub(crate) fn summary(
        &self,
        options: &LoadOptions,
        sending: Duration,
        whole: Duration,
    ) -> Summary {
        Summary {
            process: options.process.to_string(),
            seed: options.seed,
            seconds: whole.as_secs_f64(),
            intended: self.intended,
            sent: self.all.sent,
            repeated: self.repeated,
            unconnected: self.unconnected,
            given_up: self.given_up,
            intended_per_s: self.intended as f64 / sending.as_secs_f64(),
            answered_per_s: self.all.answers as f64 / whole.as_secs_f64(),
            on_time: self.all.on_time,
            wrong_bodies: self.wrong_bodies,
            wrong_requests: self.wrong_requests,
            outcomes: self.outcomes.clone(),
            answer_us: percentiles(&self.answer_us),
            other_us: percentiles(&self.other_us),
            send_late_us: percentiles(&self.send_late_us),
            most_waiting: 0,
            connections: self.connections,
            cpu: super::cpu::cpu_time(),
            queues: self.queue_summaries(options),
            teams: self.team_summaries(options),
        }
    }

    fn queue_summaries(&self, options: &LoadOptions) -> Vec<QueueSummary> {
        let queues = options.queues.iter().zip(&self.by_queue);
        let summaries = queues.map(|(queue, counts)| QueueSummary {
            queue: queue.queue.to_string(),
            sent: counts.sent,
            answers: counts.answers,
            on_time: counts.on_time,
        });
        summaries.collect()
    }

    /// Returns the counts by team. The keys of a team are added up; keys without a team are left out.
    fn team_summaries(&self, options: &LoadOptions) -> Vec<TeamSummary> {
        let mut summaries: Vec<TeamSummary> = Vec::new();
        for (key, counts) in options.keys.iter().zip(&self.by_key) {
            let Some(team) = &key.team else { continue };
            let found = summaries.binary_search_by(|known| known.team.as_str().cmp(team.as_str()));
            let index = found.unwrap_or_else(|index| {
                let team = team.to_string();
                let (sent, answers, on_time) = (0, 0, 0);
                summaries.insert(
                    index,
                    TeamSummary {
                        team,
                        sent,
                        answers,
                        on_time,
                    },
                );
                index
            });
            summaries[index].sent += counts.sent;
            summaries[index].answers += counts.answers;
            summaries[index].on_time += counts.on_time;
        }
        summaries
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}
