//! Admission of jobs: predictions from the backlog, their correction by actual outcomes, and the return of
//! refused callers.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    Admission, AdmissionInput, PoolRoom, PredictionCorrection, ReturnSchedule, WaitingWork, admit,
    predicted_lateness_ms,
};

use super::catalogue::QueueInfo;
use super::root::Shard;
use crate::id::JobId;
use crate::job::{Job, JobPlan};
use crate::spec::JobSpec;

/// Multiple of the latency objective beyond which a result is useless to the caller.
const MAX_USEFUL_LATENCY_FACTOR: u64 = 3;
/// Time after which a job may be submitted again that only evacuated zones could run, in
/// milliseconds. When the operator ends an evacuation is not known.
const EVACUATED_RETRY_MS: u64 = 5_000;
/// How long the first submission of a refused job is remembered, in milliseconds. A caller that returns
/// later is late for any objective.
const ATTEMPT_MEMORY_MS: u64 = 20_000;
/// Time between two removals of submissions that need not be remembered, in milliseconds.
const ATTEMPT_PRUNE_MS: u64 = 1_000;

/// Time between two log lines about the refusals of one pool, in milliseconds.
const REFUSAL_LOG_INTERVAL_MS: u64 = 1_000;

/// Jobs that were accepted while others waited, by whether they completed in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PredictionCounts {
    /// In time, as predicted.
    pub in_time: u64,
    /// Later than predicted.
    pub late: u64,
}

/// What admission control remembers of one pool.
#[derive(Debug, Default)]
struct PoolAdmission {
    pool: String,
    correction: PredictionCorrection,
    returns: ReturnSchedule,
    /// Refusals since the last log line about them.
    refused: u64,
    next_log_at: MonotonicMillis,
}

/// What admission control remembers. A new owner begins without it.
#[derive(Debug, Default)]
pub(super) struct AdmissionState {
    /// Sorted by the pool's name.
    pools: Vec<PoolAdmission>,
    /// First submissions of jobs that were refused, sorted by id.
    first_attempts: Vec<(JobId, MonotonicMillis)>,
    next_prune_at: MonotonicMillis,
    counts: PredictionCounts,
}

impl AdmissionState {
    fn pool_mut(&mut self, pool: &str) -> &mut PoolAdmission {
        let found = self
            .pools
            .binary_search_by(|row| row.pool.as_str().cmp(pool));
        let at = found.unwrap_or_else(|at| {
            let row = PoolAdmission {
                pool: pool.to_owned(),
                ..PoolAdmission::default()
            };
            self.pools.insert(at, row);
            at
        });
        &mut self.pools[at]
    }

    /// Returns when a job was first submitted, as far as that is remembered.
    fn first_attempt(&self, id: JobId) -> Option<MonotonicMillis> {
        let found = self.first_attempts.binary_search_by_key(&id, |row| row.0);
        found.ok().map(|at| self.first_attempts[at].1)
    }

    fn remember_attempt(&mut self, id: JobId, now: MonotonicMillis) {
        if now >= self.next_prune_at {
            self.next_prune_at = MonotonicMillis::new(now.get() + ATTEMPT_PRUNE_MS);
            self.first_attempts
                .retain(|row| now.since(row.1).get() < ATTEMPT_MEMORY_MS);
        }
        if let Err(at) = self.first_attempts.binary_search_by_key(&id, |row| row.0) {
            self.first_attempts.insert(at, (id, now));
        }
    }
}

/// The decision on a submission.
#[derive(Debug)]
pub(super) enum Decision {
    /// The job is accepted, as if it had been submitted at that time; with its plan, unless it is exempt
    /// from admission control.
    Admit {
        submitted_at: MonotonicMillis,
        plan: Option<JobPlan>,
    },
    Refuse {
        retry_after_ms: u64,
    },
}

impl Shard {
    /// Returns the outcomes of predicted jobs during this ownership.
    #[must_use]
    pub const fn prediction_counts(&self) -> PredictionCounts {
        self.admissions.counts
    }

    /// Decides on a submitted job.
    ///
    /// A caller that was refused and returns has less time left: its objective counts from its first
    /// submission.
    pub(super) fn decide_admission(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: MonotonicMillis,
    ) -> Decision {
        let submitted_at = self.admissions.first_attempt(id).unwrap_or(now);
        if submitted_at == now {
            // Also for a job that is refused: its caller returns.
            self.record_arrival(spec, now);
        }
        let exempt = spec.repeat.is_some() || spec.steps.iter().any(|step| step.persistent);
        let queue = self.catalogue.queue(&spec.queue).filter(|_| !exempt);
        let Some(queue) = queue.cloned() else {
            return Decision::Admit {
                submitted_at: now,
                plan: None,
            };
        };
        self.refresh_backlog(now);
        if self.has_evacuations() && self.is_out_of_reach(spec, &queue.pool) {
            return Decision::Refuse {
                retry_after_ms: EVACUATED_RETRY_MS,
            };
        }
        let mut plan = self.plan_job(spec, self.objective_ms(spec, &queue));
        let work = self.submitted_work(spec, &queue, &plan, now.since(submitted_at).get());
        let mut input = self.predict(spec, &queue, &plan, &work);
        input.is_first &= submitted_at == now;
        match admit(input) {
            Admission::Admit => {
                let pool = self.backlog.pool_mut(&queue.pool);
                plan.is_contended = pool.waiting().next().is_some();
                pool.add(&spec.organisation, &work);
                self.backlog.waiting_tasks += spec
                    .steps
                    .iter()
                    .map(|step| u64::from(step.count))
                    .sum::<u64>();
                Decision::Admit {
                    submitted_at,
                    plan: Some(plan),
                }
            }
            Admission::Refuse { retry_after_ms } => {
                self.log_refusals(&queue.pool, spec, &input, now);
                // The work of a caller that returns was counted at its first submission.
                let is_first = self.admissions.first_attempt(id).is_none();
                let core_ms = work.iter().filter(|_| is_first).map(|work| work.core_ms);
                let core_ms = core_ms.fold(0, u64::saturating_add);
                let cpu_millis = self.backlog.pool_mut(&queue.pool).room.all_cpu_millis();
                let pool = self.admissions.pool_mut(&queue.pool);
                let retry_after_ms = pool
                    .returns
                    .promise(core_ms, cpu_millis, retry_after_ms, now);
                self.admissions.remember_attempt(id, now);
                Decision::Refuse { retry_after_ms }
            }
        }
    }

    /// Logs why jobs of a pool are refused, with the newest one as example, at most once every
    /// [`REFUSAL_LOG_INTERVAL_MS`].
    fn log_refusals(
        &mut self,
        pool: &str,
        spec: &JobSpec,
        input: &AdmissionInput,
        now: MonotonicMillis,
    ) {
        let state = self.admissions.pool_mut(pool);
        state.refused += 1;
        if now < state.next_log_at {
            return;
        }
        state.next_log_at = MonotonicMillis::new(now.get() + REFUSAL_LOG_INTERVAL_MS);
        let refused = std::mem::take(&mut state.refused);
        let correction_permille = state.correction.permille();
        let row = self.backlog.pool_mut(pool);
        let waiting_core_ms = row.waiting().map(|work| work.core_ms);
        log::info!(
            pool = pool, refused = refused, organisation = spec.organisation.as_str(),
            lateness_ms = input.lateness_ms, lateness_in_share_ms = input.lateness_in_share_ms,
            waiting_core_ms = waiting_core_ms.fold(0, u64::saturating_add),
            cpu_millis = row.room.cpu_millis, free_cpu_millis = row.room.free_cpu_millis,
            moving_cpu_millis = row.room.moving.cpu_millis,
            movable_cpu_millis = row.room.movable.cpu_millis,
            correction_permille = correction_permille;
            "jobs are refused that can't be in time"
        );
    }

    /// Returns the work of a submitted job whose caller has waited for `waited_ms`, in the order of the
    /// latest starts.
    fn submitted_work(
        &mut self,
        spec: &JobSpec,
        queue: &QueueInfo,
        plan: &JobPlan,
        waited_ms: u64,
    ) -> Vec<WaitingWork> {
        let pool = self.backlog.pool_mut(&queue.pool);
        let waited_ms = i64::try_from(waited_ms).unwrap_or(i64::MAX);
        let mut work: Vec<WaitingWork> = (0..spec.steps.len())
            .map(|step| {
                let tasks = u64::from(spec.steps[step].count);
                let work = plan.waiting_work(step, spec, tasks, pool);
                WaitingWork {
                    latest_start_ms: work.latest_start_ms.saturating_sub(waited_ms),
                    ..work
                }
            })
            .collect();
        work.sort_unstable();
        work
    }

    fn predict(
        &mut self,
        spec: &JobSpec,
        queue: &QueueInfo,
        plan: &JobPlan,
        work: &[WaitingWork],
    ) -> AdmissionInput {
        let correction = self.admissions.pool_mut(&queue.pool).correction;
        let organisation = spec.organisation.as_str();
        let weight = |name: &str| {
            let organisation = self.catalogue.organisation(name);
            organisation.map_or(1, |row| row.weight.max(1))
        };
        let limit = self.catalogue.organisation(organisation);
        let limit = limit.map_or(0, |row| row.limit.cpu_millis);
        let used = self.possible_usage(organisation).cpu_millis;
        let waiting_tasks = self.backlog.waiting_tasks;
        let task_ms = plan.task_ms.iter().copied().max().unwrap_or(0);
        let pool = self.backlog.pool_mut(&queue.pool);
        let room = correction.apply(PoolRoom {
            task_ms,
            ..pool.room
        });
        let (own_weight, all_weights) = pool.weights(organisation, weight);
        let share = room.part(own_weight, all_weights);
        let within_limit = PoolRoom {
            free_cpu_millis: limit.saturating_sub(used),
            cpu_millis: limit,
            task_ms,
            ..PoolRoom::default()
        };
        let own = || pool.waiting_of(organisation);
        let lateness_by_limit_ms = match limit {
            0 => 0,
            _ => predicted_lateness_ms(&within_limit, own(), work),
        };
        let lateness_ms = predicted_lateness_ms(&room, pool.waiting(), work);
        let lateness_in_share_ms = predicted_lateness_ms(&share, own(), work);
        AdmissionInput {
            lateness_ms: lateness_ms.max(lateness_by_limit_ms),
            lateness_in_share_ms: lateness_in_share_ms.max(lateness_by_limit_ms),
            is_first: !pool.has_waiting(organisation),
            waiting_tasks,
            starts_per_s: self.start_rate.limit_per_s(),
            max_useful_latency_ms: plan.objective_ms.saturating_mul(MAX_USEFUL_LATENCY_FACTOR),
        }
    }

    /// Compares the prediction for a job that has just completed with its actual latency.
    pub(super) fn check_prediction(&mut self, id: JobId, now: MonotonicMillis) {
        let Some(job) = self.job(id) else { return };
        let Some(in_time) = was_in_time(job, now) else {
            return;
        };
        let pool = self.queue_of(&job.spec).pool;
        match in_time {
            true => self.admissions.counts.in_time += 1,
            false => self.admissions.counts.late += 1,
        }
        self.admissions.pool_mut(&pool).correction.record(in_time);
    }
}

/// Returns whether a job that was accepted while others waited has completed in time; `None` for any other.
fn was_in_time(job: &Job, now: MonotonicMillis) -> Option<bool> {
    let plan = job.plan.as_ref().filter(|plan| plan.is_contended)?;
    Some(now.since(job.submitted_at).get() <= plan.objective_ms)
}
