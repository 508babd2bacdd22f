//! Submission, cancellation and state of jobs.

use vanillafold_policy::MonotonicMillis;

use super::admission::Decision;
use super::arrivals::Arrivals;
use super::root::Shard;
use crate::id::JobId;
use crate::job::{Job, JobState};
use crate::record::JobOutcome;
use crate::spec::JobSpec;

/// Result of submitting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored already.
    Stored,
    /// The job is accepted once it is stored; the answer to the caller must wait for that.
    Storing,
    /// The job is rejected and never runs.
    Refused {
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Result of cancelling a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// There is no such job.
    Unknown,
    /// The job had finished, and its outcome is stored.
    Finished,
    /// The cancellation takes effect once it is stored; the answer to the caller must wait for
    /// that.
    Storing,
}

impl Shard {
    /// Adds a job, or finds it if the id was submitted before.
    pub fn submit(
        &mut self,
        id: JobId,
        spec: JobSpec,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> SubmitOutcome {
        let at = match self.position(id) {
            Ok(at) if self.jobs[at].spec_stored => return SubmitOutcome::Stored,
            Ok(_) => return SubmitOutcome::Storing,
            Err(at) => at,
        };
        let (submitted_at, plan) = match self.decide_admission(id, &spec, now) {
            Decision::Admit { submitted_at, plan } => (submitted_at, plan),
            Decision::Refuse { retry_after_ms } => {
                return SubmitOutcome::Refused { retry_after_ms };
            }
        };
        self.remember_attempt_limit(&spec.queue);
        let mut job = Job::new(id, spec, now);
        job.submitted_at = submitted_at;
        job.plan = plan;
        self.jobs.insert(at, job);
        self.add_open_job(id);
        self.mark_dirty(id);
        self.begin_due_occurrences(id, now, now_unix_ms);
        SubmitOutcome::Storing
    }

    pub(super) fn record_arrival(&mut self, spec: &JobSpec, now: MonotonicMillis) {
        let core_ms = self.work_core_ms(spec);
        if core_ms == 0 {
            return;
        }
        let pool = self.queue_of(spec).pool;
        let known = self.arrivals.iter().position(|row| row.pool == pool);
        let at = known.unwrap_or_else(|| {
            self.arrivals.push(Arrivals::new(pool, now));
            self.arrivals.len() - 1
        });
        self.arrivals[at].add(core_ms, now);
    }

    /// Cancels a job and issues stop orders for its runs.
    pub fn cancel(&mut self, id: JobId, now: MonotonicMillis, now_unix_ms: u64) -> CancelOutcome {
        let Some(job) = self.job_mut(id) else {
            return CancelOutcome::Unknown;
        };
        match job.progress.outcome {
            JobOutcome::Open => {
                job.finish(JobOutcome::Cancelled, now_unix_ms);
                self.after_job_finished(id, now);
                CancelOutcome::Storing
            }
            outcome if outcome == job.stored_outcome => CancelOutcome::Finished,
            _ => CancelOutcome::Storing,
        }
    }

    /// Processes a job that has just finished: stops its runs and marks its outcome for storing.
    pub(super) fn after_job_finished(&mut self, id: JobId, now: MonotonicMillis) {
        self.remove_open_job(id);
        self.mark_dirty(id);
        self.finished.push(id);
        self.finished_with_spec.push(id);
        let delete_at = MonotonicMillis::new(now.get() + self.settings.finished_retention_ms);
        if let Some(job) = self.job_mut(id) {
            job.delete_at = Some(delete_at);
            log::info!(
                job = id.to_string(), queue = job.spec.queue.as_str(),
                outcome = job.progress.outcome.name(),
                took_ms = now.since(job.submitted_at).get();
                "job finished"
            );
            let queue = job.spec.queue.clone();
            self.note_finished_job(&queue);
        }
        for at in 0..self.workers.len() {
            for run in 0..self.workers[at].runs.len() {
                if self.workers[at].runs[run].task.job == id {
                    self.order_stop(at, run, now);
                }
            }
        }
    }

    /// Returns the state shown to callers; `None` if there is no stored job with this id.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let job = self.job(id)?;
        job.spec_stored.then(|| job.state())
    }

    /// Returns whether a job's description is stored, and whether its final outcome is.
    #[must_use]
    pub fn is_stored(&self, id: JobId) -> (bool, bool) {
        self.job(id).map_or((false, false), |job| {
            let outcome_stored = job.stored_outcome == job.progress.outcome && !job.is_open();
            (job.spec_stored, outcome_stored)
        })
    }

    /// Returns whether the shard has a job with this id, stored or not.
    #[must_use]
    pub fn is_known(&self, id: JobId) -> bool {
        self.job(id).is_some()
    }

    /// Returns the number of accepted jobs in a queue of which no task has started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending = |id: &&JobId| {
            self.job(**id).is_some_and(|job| {
                job.spec_stored && !job.progress.started && job.spec.queue == queue
            })
        };
        self.open.iter().filter(is_pending).count()
    }
}
