//! Placement advice: which workers may run a step under the policy of its queue.

use vanillafold_policy::MonotonicMillis;

use super::root::Shard;
use crate::id::{JobId, WorkerId};

/// Maximum number of workers in one query. The platform's service takes time for each, and a step
/// rarely needs more.
const MAX_ADVICE_WORKERS: usize = 30;
/// Time after which a failed query is repeated, in milliseconds.
const QUERY_RETRY_MS: u64 = 500;
/// Margin before the expiry of a ticket in which it is not used any more, in milliseconds, because
/// the order takes time.
const TICKET_MARGIN_MS: u64 = 100;

/// A query to the advice service about one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceQuery {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence that the step belongs to.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Workers that might run the step.
    pub workers: Vec<WorkerId>,
}

/// The advice service's answer to a query.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Workers that may run the step, each with the ticket that a start order must carry.
    pub tickets: Vec<(WorkerId, String)>,
    /// Validity of the tickets from the time of the query, in milliseconds.
    pub valid_ms: u64,
}

/// Advice received for one step.
#[derive(Debug)]
pub(super) struct StepAdvice {
    job: JobId,
    occurrence: u32,
    step: u16,
    /// Workers that were queried, sorted. Whether such a worker may run the step does not change.
    queried: Vec<WorkerId>,
    /// Workers that may run the step, sorted, with their tickets and the tickets' expiry.
    tickets: Vec<(WorkerId, String, MonotonicMillis)>,
    /// Earliest time for the next query.
    not_before: MonotonicMillis,
}

impl Shard {
    /// Returns the queries issued since the last call.
    pub fn take_queries(&mut self) -> Vec<AdviceQuery> {
        std::mem::take(&mut self.advice_queries)
    }

    /// Processes the answer to a query; `None` means that the query failed.
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
        let step_advice = &mut self.advice[at];
        let Some(advice) = advice else {
            step_advice.not_before = MonotonicMillis::new(now.get() + QUERY_RETRY_MS);
            return;
        };
        step_advice.not_before = now;
        let expires_at = MonotonicMillis::new(sent_at.get().saturating_add(advice.valid_ms));
        for worker in &query.workers {
            if let Err(at) = step_advice.queried.binary_search(worker) {
                step_advice.queried.insert(at, worker.clone());
            }
        }
        for (worker, ticket) in advice.tickets {
            match step_advice
                .tickets
                .binary_search_by(|row| row.0.cmp(&worker))
            {
                Ok(at) => step_advice.tickets[at] = (worker, ticket, expires_at),
                Err(at) => step_advice.tickets.insert(at, (worker, ticket, expires_at)),
            }
        }
    }

    fn advice_position(&self, job: JobId, occurrence: u32, step: u16) -> Option<usize> {
        let same =
            |row: &StepAdvice| row.job == job && row.occurrence == occurrence && row.step == step;
        self.advice.iter().position(same)
    }

    /// Returns a valid ticket for a step on a worker, if there is one.
    pub(super) fn ticket(
        &self,
        (job, occurrence, step): (JobId, u32, u16),
        worker: &WorkerId,
        now: MonotonicMillis,
    ) -> Option<&str> {
        let step_advice = &self.advice[self.advice_position(job, occurrence, step)?];
        let at = step_advice
            .tickets
            .binary_search_by(|row| row.0.cmp(worker))
            .ok()?;
        let (_, ticket, expires_at) = &step_advice.tickets[at];
        (now.get() + TICKET_MARGIN_MS < expires_at.get()).then_some(ticket.as_str())
    }

    /// Removes a ticket that a worker rejected.
    pub(super) fn drop_ticket(
        &mut self,
        (job, occurrence, step): (JobId, u32, u16),
        worker: &WorkerId,
    ) {
        if let Some(at) = self.advice_position(job, occurrence, step) {
            self.advice[at].tickets.retain(|row| row.0 != *worker);
        }
    }

    /// Issues a query about the candidates for a step that found no worker, unless one is
    /// outstanding. Workers that were found unsuitable before are left out.
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
        let step_advice = &mut self.advice[at];
        if step_advice.not_before > now {
            return;
        }
        let not_rejected = |worker: &WorkerId| {
            step_advice.queried.binary_search(worker).is_err()
                || step_advice
                    .tickets
                    .binary_search_by(|row| row.0.cmp(worker))
                    .is_ok()
        };
        let workers = candidates.into_iter().filter(not_rejected);
        let workers: Vec<WorkerId> = workers.take(MAX_ADVICE_WORKERS).collect();
        if workers.is_empty() {
            return;
        }
        // No further query until this one is answered or reported as failed.
        step_advice.not_before = MonotonicMillis::new(u64::MAX);
        self.advice_queries.push(AdviceQuery {
            job,
            occurrence,
            step,
            workers,
        });
    }

    /// Drops the advice for finished jobs.
    pub(super) fn drop_finished_advice(&mut self) {
        let open = &self.open;
        self.advice
            .retain(|row| open.binary_search(&row.job).is_ok());
    }
}
