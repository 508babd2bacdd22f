//! The order in which waiting steps are placed.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{QueuedStep, Rank, rank};

use crate::id::{JobId, TaskId};
use crate::job::{Job, TaskStatus};
use crate::shard::pool_index::PoolIndex;
use crate::shard::root::Shard;
use crate::spec::Resources;

/// An organisation counts as over its share if it uses more than this percentage of it. The margin
/// is needed because tasks are coarse units.
const OVER_SHARE_PERCENT: u128 = 125;

/// A step with waiting tasks, and its rank in the scheduling order.
#[derive(Debug)]
pub(super) struct WaitingStep {
    pub(super) rank: Rank,
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u16,
}

impl WaitingStep {
    /// Returns the id of a task of the step.
    pub(super) const fn task(&self, index: u16) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl Shard {
    /// Returns the steps with waiting tasks, without those for which no worker has enough free CPU.
    pub(super) fn waiting_steps(
        &mut self,
        index: &PoolIndex,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> Vec<WaitingStep> {
        let mut jobs = std::mem::take(&mut self.waiting_jobs);
        jobs.refresh(|id| self.job(id), &self.catalogue);
        let mut waiting = Vec::new();
        let over_share = self.over_share();
        for row in jobs.iter() {
            let free_cpu_millis = index.largest_free_cpu_millis(&row.pool);
            let has_room = |cpu_millis: u64| free_cpu_millis.is_some_and(|free| cpu_millis <= free);
            if !row.may_preempt && !has_room(row.least_cpu_millis) {
                continue;
            }
            let Some(job) = self.job(row.id) else {
                continue;
            };
            for occurrence in &job.occurrences {
                for (at, step) in occurrence.steps.iter().enumerate() {
                    let spec = &job.spec.steps[at];
                    let may_be_placed = spec.persistent || has_room(spec.reservation().cpu_millis);
                    if step.waiting == 0 || !occurrence.may_start(spec) || !may_be_placed {
                        continue;
                    }
                    waiting.push(WaitingStep {
                        rank: self.rank(job, occurrence.number, at, &over_share, now, now_unix_ms),
                        job: row.id,
                        occurrence: occurrence.number,
                        step: u16::try_from(at).unwrap_or(u16::MAX),
                    });
                }
            }
        }
        self.waiting_jobs = jobs;
        waiting
    }

    /// Returns the organisations that use more than their share of all running work, sorted by
    /// name.
    fn over_share(&self) -> Vec<String> {
        let running = |row: &(String, Resources)| u128::from(row.1.cpu_millis);
        let all_running: u128 = self.usage.iter().map(running).sum();
        let weight = |name: &str| {
            self.catalogue
                .organisation(name)
                .map_or(0, |row| u128::from(row.weight))
        };
        let weights: u128 = self
            .usage
            .iter()
            .filter(|row| row.1.cpu_millis > 0)
            .map(|row| weight(&row.0))
            .sum();
        let is_over_share = |row: &&(String, Resources)| {
            let own = running(row).saturating_mul(weights);
            let share = all_running.saturating_mul(weight(&row.0));
            own.saturating_mul(100) > share.saturating_mul(OVER_SHARE_PERCENT)
        };
        self.usage
            .iter()
            .filter(is_over_share)
            .map(|row| row.0.clone())
            .collect()
    }

    /// Returns the time until an occurrence of a job is late, in milliseconds; negative once it is.
    pub(in crate::shard) fn until_late_ms(
        &self,
        job: &Job,
        occurrence: u32,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> i64 {
        let queue = self.catalogue.queue(&job.spec.queue);
        let objective_ms = queue.map_or(0, |queue| self.objective_ms(&job.spec, queue));
        let row = job.occurrences.iter().find(|row| row.number == occurrence);
        let elapsed_ms = match row.map_or(0, |row| row.due_unix_ms) {
            0 => now.since(job.submitted_at).get(),
            due => now_unix_ms.saturating_sub(due),
        };
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        signed(objective_ms).saturating_sub(signed(elapsed_ms))
    }

    fn rank(
        &self,
        job: &Job,
        occurrence: u32,
        step: usize,
        over_share: &[String],
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> Rank {
        let queue = self.catalogue.queue(&job.spec.queue);
        let row = job.occurrences.iter().find(|row| row.number == occurrence);
        let remaining_ms = row.map_or(0, |row| {
            self.critical_path_where_ms(&job.spec, |at| !row.steps[at].is_done())
        });
        rank(&QueuedStep {
            persistent: job.spec.steps[step].persistent,
            priority: queue.map_or(0, |queue| queue.priority),
            job_started: job.progress.started,
            until_late_ms: self.until_late_ms(job, occurrence, now, now_unix_ms),
            remaining_ms,
            remaining_core_ms: self.remaining_core_ms(job),
            over_share: over_share.binary_search(&job.spec.organisation).is_ok(),
        })
    }

    pub(super) fn waiting_since(&self, waiting: &WaitingStep) -> Option<MonotonicMillis> {
        let index = *self.waiting_tasks(waiting).first()?;
        match self.open_task(waiting.task(index))?.status {
            TaskStatus::Waiting { since } => Some(since),
            _ => None,
        }
    }

    pub(super) fn waiting_tasks(&self, waiting: &WaitingStep) -> Vec<u16> {
        let mut indexes = Vec::new();
        let Some(job) = self.job(waiting.job) else {
            return indexes;
        };
        let Some(at) = job.occurrence_position(waiting.occurrence) else {
            return indexes;
        };
        let step = &job.occurrences[at].steps[usize::from(waiting.step)];
        for (index, task) in step.tasks.iter().enumerate() {
            if matches!(task.status, TaskStatus::Waiting { .. }) {
                indexes.push(u16::try_from(index).unwrap_or(u16::MAX));
            }
        }
        indexes
    }
}
