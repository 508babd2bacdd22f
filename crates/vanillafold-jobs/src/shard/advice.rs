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
    /// Whether the answer has further rows, which can't be read. A worker that is not in `tickets` may
    /// be suitable then.
    pub has_unreadable_rows: bool,
}

/// Advice received for one step.
#[derive(Debug)]
pub(super) struct StepAdvice {
    job: JobId,
    occurrence: u32,
    step: u16,
    /// Verdicts on the current incarnations of workers, sorted by worker.
    verdicts: Vec<(WorkerId, Verdict)>,
    /// Workers in the outstanding query, without those that have started again since it was sent.
    queried: Vec<WorkerId>,
    /// Earliest time for the next query.
    not_before: MonotonicMillis,
}

/// Whether a worker may run a step. This does not change during an incarnation of the worker.
#[derive(Debug, PartialEq, Eq)]
enum Verdict {
    Unsuitable,
    /// The worker may run the step with this ticket until it expires.
    Suitable {
        ticket: String,
        expires_at: MonotonicMillis,
    },
}

impl StepAdvice {
    fn is_for(&self, job: JobId, occurrence: u32, step: u16) -> bool {
        (self.job, self.occurrence, self.step) == (job, occurrence, step)
    }

    fn verdict_position(&self, worker: &WorkerId) -> Result<usize, usize> {
        self.verdicts.binary_search_by(|row| row.0.cmp(worker))
    }

    fn verdict(&self, worker: &WorkerId) -> Option<&Verdict> {
        let at = self.verdict_position(worker).ok()?;
        Some(&self.verdicts[at].1)
    }

    fn set_verdict(&mut self, worker: WorkerId, verdict: Verdict) {
        match self.verdict_position(&worker) {
            Ok(at) => self.verdicts[at].1 = verdict,
            Err(at) => self.verdicts.insert(at, (worker, verdict)),
        }
    }

    /// Drops the verdict on a worker, also one that is being queried.
    fn forget(&mut self, worker: &WorkerId) {
        if let Ok(at) = self.verdict_position(worker) {
            self.verdicts.remove(at);
        }
        self.queried.retain(|id| id != worker);
    }
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
            step_advice.queried.clear();
            step_advice.not_before = MonotonicMillis::new(now.get() + QUERY_RETRY_MS);
            return;
        };
        step_advice.not_before = match advice.has_unreadable_rows {
            true => MonotonicMillis::new(now.get() + QUERY_RETRY_MS),
            false => now,
        };
        let expires_at = MonotonicMillis::new(sent_at.get().saturating_add(advice.valid_ms));
        let queried = std::mem::take(&mut step_advice.queried);
        if !advice.has_unreadable_rows {
            for worker in &queried {
                step_advice.set_verdict(worker.clone(), Verdict::Unsuitable);
            }
        }
        for (worker, ticket) in advice.tickets {
            if queried.contains(&worker) {
                step_advice.set_verdict(worker, Verdict::Suitable { ticket, expires_at });
            }
        }
    }

    fn advice_position(&self, job: JobId, occurrence: u32, step: u16) -> Option<usize> {
        self.advice
            .iter()
            .position(|row| row.is_for(job, occurrence, step))
    }

    /// Returns a valid ticket for a step on a worker, if there is one.
    pub(super) fn ticket(
        &self,
        (job, occurrence, step): (JobId, u32, u16),
        worker: &WorkerId,
        now: MonotonicMillis,
    ) -> Option<&str> {
        let step_advice = &self.advice[self.advice_position(job, occurrence, step)?];
        match step_advice.verdict(worker)? {
            Verdict::Suitable { ticket, expires_at }
                if now.get() + TICKET_MARGIN_MS < expires_at.get() =>
            {
                Some(ticket)
            }
            Verdict::Suitable { .. } | Verdict::Unsuitable => None,
        }
    }

    /// Forgets the advice on a worker for a step after the worker rejected this ticket, so that the
    /// next query asks again. Returns `false` if the advice has another ticket by now.
    pub(super) fn reject_ticket(
        &mut self,
        (job, occurrence, step): (JobId, u32, u16),
        worker: &WorkerId,
        rejected: &str,
    ) -> bool {
        let Some(at) = self.advice_position(job, occurrence, step) else {
            return false;
        };
        let step_advice = &mut self.advice[at];
        let is_current = matches!(
            step_advice.verdict(worker),
            Some(Verdict::Suitable { ticket, .. }) if ticket == rejected
        );
        if is_current {
            step_advice.forget(worker);
        }
        is_current
    }

    /// Forgets all advice on a worker, which holds for one incarnation only.
    pub(super) fn forget_advice(&mut self, worker: &WorkerId) {
        for step_advice in &mut self.advice {
            step_advice.forget(worker);
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
                    verdicts: Vec::new(),
                    queried: Vec::new(),
                    not_before: now,
                });
                self.advice.len() - 1
            });
        let step_advice = &mut self.advice[at];
        if step_advice.not_before > now {
            return;
        }
        let is_unsuitable =
            |worker: &WorkerId| step_advice.verdict(worker) == Some(&Verdict::Unsuitable);
        let workers = candidates.into_iter().filter(|id| !is_unsuitable(id));
        let workers: Vec<WorkerId> = workers.take(MAX_ADVICE_WORKERS).collect();
        if workers.is_empty() {
            return;
        }
        // No further query until this one is answered or reported as failed.
        step_advice.not_before = MonotonicMillis::new(u64::MAX);
        step_advice.queried.clone_from(&workers);
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
