//! What callers ask for.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{Admission, AdmissionInput, admit};

use super::arrivals::Arrivals;
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
        self.note_arrival(&spec, now);
        self.jobs.insert(at, Job::new(id, spec, now));
        if let Err(at) = self.open.binary_search(&id) {
            self.open.insert(at, id);
        }
        self.mark_dirty(id);
        self.begin_due(id, now, now_unix_ms);
        SubmitOutcome::Storing
    }

    fn note_arrival(&mut self, spec: &JobSpec, now: MonotonicMillis) {
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

    fn admission(&self, spec: &JobSpec) -> Admission {
        let timed = spec.repeat.is_some() || spec.steps.iter().any(|step| step.persistent);
        let queue = self.catalogue.queue(&spec.queue).filter(|_| !timed);
        let Some(queue) = queue else {
            return Admission::Admit;
        };
        let pool = &queue.pool;
        let objective_ms =
            self.chain_ms(spec) * queue.stretch_millis / 1_000 + queue.target_latency_ms;
        let (own_core_ms, weights) = self.backlog(pool, &spec.tenant);
        let cores = self.reachable_cpu_millis(pool) / 1_000;
        let tenant = self.catalogue.tenant(&spec.tenant);
        let weight = tenant.map_or(1, |tenant| tenant.weight.max(1));
        let share = cores * weight / weights.max(weight);
        let limit = tenant.map_or(0, |tenant| tenant.limit.cpu_millis / 1_000);
        admit(AdmissionInput {
            queued_core_ms: own_core_ms,
            cores: match limit {
                0 => share,
                limit => share.min(limit),
            },
            job_core_ms: self.work_core_ms(spec),
            max_useful_latency_ms: objective_ms * USEFUL_OBJECTIVES,
        })
    }

    /// The open jobs whose queue a pool runs.
    pub(super) fn open_jobs_of<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Job> {
        self.open.iter().filter_map(move |id| {
            let job = self.job(*id)?;
            let queue = self.catalogue.queue(&job.spec.queue)?;
            (queue.pool == pool).then_some(job)
        })
    }

    /// What an organisation's open jobs in a pool still take, in core-milliseconds, and the sum
    /// of the weights of all organisations with open jobs there.
    fn backlog(&self, pool: &str, tenant: &str) -> (u64, u64) {
        let mut own = 0;
        let mut tenants: Vec<&str> = vec![tenant];
        for job in self.open_jobs_of(pool) {
            if job.spec.tenant == tenant {
                own += self.remaining_core_ms(job);
            }
            if let Err(at) = tenants.binary_search(&job.spec.tenant.as_str()) {
                tenants.insert(at, &job.spec.tenant);
            }
        }
        let weight = |name: &&str| {
            self.catalogue
                .tenant(name)
                .map_or(1, |row| row.weight.max(1))
        };
        (own, tenants.iter().map(weight).sum())
    }

    /// What a pool has, and could get from the spare pool and from what others do not use.
    fn reachable_cpu_millis(&self, pool: &str) -> u64 {
        let mut total = 0;
        for worker in self.workers.iter().filter(|worker| worker.listed) {
            let capacity = worker.entry.capacity.cpu_millis;
            total += match worker.entry.pool == pool {
                true => capacity,
                false if worker.runs.is_empty() => capacity,
                false => 0,
            };
        }
        let off = self
            .machines
            .iter()
            .filter(|machine| machine.worker.is_none());
        total + off.map(|machine| machine.capacity.cpu_millis).sum::<u64>()
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
        self.described.push(id);
        let forget_at = MonotonicMillis::new(now.get() + self.settings.keep_final_ms);
        if let Some(job) = self.job_mut(id) {
            job.forget_at = Some(forget_at);
            log::info!(
                job = id.to_string(), queue = job.spec.queue.as_str(),
                outcome = job.progress.outcome.name(),
                took_ms = now.since(job.accepted_at).get();
                "job over"
            );
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
