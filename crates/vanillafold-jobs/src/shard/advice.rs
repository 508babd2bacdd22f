//! Placement advice: which workers a queue's policy lets run a step.

use vanillafold_policy::MonotonicMillis;

use super::root::Shard;
use crate::id::{JobId, WorkerId};

/// Most workers of one question: the platform's service takes time for each, and a step rarely
/// needs more.
const MAX_ADVICE_WORKERS: usize = 30;
/// A question that got no answer is queried again after this time, in milliseconds.
const QUERY_RETRY_MS: u64 = 500;
/// A ticket is not used in its last milliseconds: the order takes time.
const TICKET_MARGIN_MS: u64 = 100;

/// A question to the advice service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// The job.
    pub job: JobId,
    /// Which occurrence.
    pub occurrence: u32,
    /// Which step.
    pub step: u16,
    /// The workers that it is about.
    pub workers: Vec<WorkerId>,
}

/// What the advice service said.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Workers that may run the step, with the ticket that a start must carry.
    pub tickets: Vec<(WorkerId, String)>,
    /// How long the tickets hold, in milliseconds.
    pub valid_ms: u64,
}

/// What is known of one step.
#[derive(Debug)]
pub(super) struct StepAdvice {
    job: JobId,
    occurrence: u32,
    step: u16,
    /// Workers that were queried about, sorted; which of them may run the step does not change.
    queried: Vec<WorkerId>,
    /// Those that may, sorted, with their tickets and until when these hold.
    tickets: Vec<(WorkerId, String, MonotonicMillis)>,
    /// A question is out, or must not be queried before then.
    not_before: MonotonicMillis,
}

impl Shard {
    /// Questions since the last call.
    pub fn take_queries(&mut self) -> Vec<AdviceQuery> {
        std::mem::take(&mut self.queries)
    }

    /// A question was answered, or (`None`) was not.
    pub fn advice_answered(
        &mut self,
        query: &AdviceQuery,
        advice: Option<Advice>,
        sent_at: MonotonicMillis,
        now: MonotonicMillis,
    ) {
        let Some(at) = self.advice_position(query.job, query.occurrence, query.step) else {
            return;
        };
        let known = &mut self.advice[at];
        let Some(advice) = advice else {
            known.not_before = MonotonicMillis::new(now.get() + QUERY_RETRY_MS);
            return;
        };
        known.not_before = now;
        let until = MonotonicMillis::new(sent_at.get() + advice.valid_ms);
        for worker in &query.workers {
            if let Err(at) = known.queried.binary_search(worker) {
                known.queried.insert(at, worker.clone());
            }
        }
        for (worker, ticket) in advice.tickets {
            match known.tickets.binary_search_by(|row| row.0.cmp(&worker)) {
                Ok(at) => known.tickets[at] = (worker, ticket, until),
                Err(at) => known.tickets.insert(at, (worker, ticket, until)),
            }
        }
    }

    fn advice_position(&self, job: JobId, occurrence: u32, step: u16) -> Option<usize> {
        let same =
            |row: &StepAdvice| row.job == job && row.occurrence == occurrence && row.step == step;
        self.advice.iter().position(same)
    }

    /// The ticket for a step on a worker, if one holds.
    pub(super) fn ticket(
        &self,
        (job, occurrence, step): (JobId, u32, u16),
        worker: &WorkerId,
        now: MonotonicMillis,
    ) -> Option<&str> {
        let known = &self.advice[self.advice_position(job, occurrence, step)?];
        let at = known
            .tickets
            .binary_search_by(|row| row.0.cmp(worker))
            .ok()?;
        let (_, ticket, until) = &known.tickets[at];
        (now.get() + TICKET_MARGIN_MS < until.get()).then_some(ticket.as_str())
    }

    /// A ticket did not hold.
    pub(super) fn drop_ticket(
        &mut self,
        (job, occurrence, step): (JobId, u32, u16),
        worker: &WorkerId,
    ) {
        if let Some(at) = self.advice_position(job, occurrence, step) {
            self.advice[at].tickets.retain(|row| row.0 != *worker);
        }
    }

    /// Asks about workers for a step that finds no room on those it may run on.
    pub(super) fn query_advice(
        &mut self,
        (job, occurrence, step): (JobId, u32, u16),
        candidates: Vec<WorkerId>,
        now: MonotonicMillis,
    ) {
        let at = self
            .advice_position(job, occurrence, step)
            .unwrap_or_else(|| {
                self.advice.push(StepAdvice {
                    job,
                    occurrence,
                    step,
                    queried: Vec::new(),
                    tickets: Vec::new(),
                    not_before: now,
                });
                self.advice.len() - 1
            });
        let known = &mut self.advice[at];
        if known.not_before > now {
            return;
        }
        let useful = |worker: &WorkerId| {
            known.queried.binary_search(worker).is_err()
                || known
                    .tickets
                    .binary_search_by(|row| row.0.cmp(worker))
                    .is_ok()
        };
        let workers = candidates.into_iter().filter(useful);
        let workers: Vec<WorkerId> = workers.take(MAX_ADVICE_WORKERS).collect();
        if workers.is_empty() {
            return;
        }
        // Until the answer, or the driver's word that there is none.
        known.not_before = MonotonicMillis::new(u64::MAX);
        self.queries.push(AdviceQuery {
            job,
            occurrence,
            step,
            workers,
        });
    }

    /// Forgets advice about jobs that are over.
    pub(super) fn drop_finished_advice(&mut self) {
        let open = &self.open;
        self.advice
            .retain(|row| open.binary_search(&row.job).is_ok());
    }
}
