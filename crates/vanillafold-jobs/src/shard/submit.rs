//! What callers ask for.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{Admission, PoolLoad, admit};

use super::root::Shard;
use crate::id::JobId;
use crate::job::{Job, JobState};
use crate::record::JobOutcome;
use crate::spec::JobSpec;

/// A job that ends after this many times its objective is worth nothing to its caller.
const USEFUL_OBJECTIVES: u64 = 3;

/// What becomes of a job that is handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is stored already.
    Stored,
    /// It is to be stored: the answer waits until it is.
    Storing,
    /// It is not taken, and never runs.
    Refused {
        /// When its caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What becomes of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// There is no such job.
    Unknown,
    /// The job is over already, and that is stored.
    Over,
    /// The cancellation is to be stored: the answer waits until it is.
    Storing,
}

impl Shard {
    /// Takes in a job, or finds it again.
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
        if let Admission::Refuse { retry_after_ms } = self.admission(&spec) {
            return SubmitOutcome::Refused { retry_after_ms };
        }
        self.jobs.insert(at, Box::new(Job::new(id, spec, now)));
        if let Err(at) = self.open.binary_search(&id) {
            self.open.insert(at, id);
        }
        self.mark_dirty(id);
        self.begin_due(id, now, now_unix_ms);
        SubmitOutcome::Storing
    }

    fn admission(&self, spec: &JobSpec) -> Admission {
        let timed = spec.repeat.is_some() || spec.steps.iter().any(|step| step.persistent);
        let queue = self.catalogue.queue(&spec.queue).filter(|_| !timed);
        let Some(queue) = queue else {
            return Admission::Admit;
        };
        let pool = &queue.pool;
        let objective_ms =
            self.chain_ms(spec) * queue.stretch_millis / 1_000 + queue.target_latency_ms;
        let of_pool = |worker: &&crate::worker::Worker| worker.entry.pool == *pool;
        let cpu_millis: u64 = self
            .workers
            .iter()
            .filter(of_pool)
            .map(|worker| worker.entry.capacity.cpu_millis)
            .sum();
        admit(PoolLoad {
            queued_core_ms: self.queued_core_ms(pool),
            cores: cpu_millis / 1_000,
            job_core_ms: self.work_core_ms(spec),
            useful_ms: objective_ms * USEFUL_OBJECTIVES,
        })
    }

    /// What the open jobs of a pool still take, in core-milliseconds.
    fn queued_core_ms(&self, pool: &str) -> u64 {
        let mut total = 0;
        for id in &self.open {
            let Some(job) = self.job(*id) else { continue };
            let here = self
                .catalogue
                .queue(&job.spec.queue)
                .is_some_and(|queue| queue.pool == pool);
            if here {
                total += self.remaining_core_ms(job);
            }
        }
        total
    }

    /// Cancels a job. Its tasks stop at once.
    pub fn cancel(&mut self, id: JobId, now: MonotonicMillis, now_unix_ms: u64) -> CancelOutcome {
        let Some(job) = self.job_mut(id) else {
            return CancelOutcome::Unknown;
        };
        match job.progress.outcome {
            JobOutcome::Open => {
                job.finish(JobOutcome::Cancelled, now_unix_ms);
                self.end_job(id, now);
                CancelOutcome::Storing
            }
            outcome if outcome == job.stored_outcome => CancelOutcome::Over,
            _ => CancelOutcome::Storing,
        }
    }

    /// Stops the runs of a job that is over, and writes that it is.
    pub(super) fn end_job(&mut self, id: JobId, now: MonotonicMillis) {
        self.close_open(id);
        self.mark_dirty(id);
        self.finished.push(id);
        let forget_at = MonotonicMillis::new(now.get() + self.settings.keep_final_ms);
        if let Some(job) = self.job_mut(id) {
            job.forget_at = Some(forget_at);
        }
        for at in 0..self.workers.len() {
            for run in 0..self.workers[at].runs.len() {
                if self.workers[at].runs[run].task.job == id {
                    self.order_stop(at, run, now);
                }
            }
        }
    }

    /// The state of a job; `None` if there is none.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let job = self.job(id)?;
        job.spec_stored.then(|| job.state())
    }

    /// Whether a job's description is stored, and whether its outcome is.
    #[must_use]
    pub fn is_stored(&self, id: JobId) -> (bool, bool) {
        self.job(id).map_or((false, false), |job| {
            let over = job.stored_outcome == job.progress.outcome && !job.is_open();
            (job.spec_stored, over)
        })
    }

    /// Whether a job was ever handed in here.
    #[must_use]
    pub fn is_known(&self, id: JobId) -> bool {
        self.job(id).is_some()
    }

    /// How many accepted jobs of a queue have no task that has started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |id: &&JobId| {
            self.job(**id).is_some_and(|job| {
                job.spec_stored && !job.progress.begun && job.spec.queue == queue
            })
        };
        self.open.iter().filter(waits).count()
    }
}
