//! Jobs with tasks that wait for a worker, kept up to date job by job.

use super::catalogue::Catalogue;
use crate::id::JobId;
use crate::job::Job;

/// What a scheduling pass needs to know of a job with waiting tasks before it looks at its steps.
#[derive(Debug)]
pub(super) struct WaitingJob {
    pub(super) id: JobId,
    pub(super) pool: String,
    /// Smallest CPU reservation of a waiting task, in thousandths of a core.
    pub(super) least_cpu_millis: u64,
    /// Whether a pass has to look at the job even if no worker has free CPU, because a persistent
    /// task waits, which may preempt others.
    pub(super) may_preempt: bool,
}

impl WaitingJob {
    /// Returns the entry of a job, or `None` if no task of it can be placed now.
    fn of(job: &Job, catalogue: &Catalogue) -> Option<Self> {
        if !job.is_open() || !job.spec_stored {
            return None;
        }
        let mut least_cpu_millis = None;
        let mut may_preempt = false;
        for occurrence in &job.occurrences {
            for (step, spec) in occurrence.steps.iter().zip(&job.spec.steps) {
                if step.waiting > 0 && occurrence.may_start(spec) {
                    let cpu_millis = spec.reservation().cpu_millis;
                    least_cpu_millis =
                        Some(least_cpu_millis.map_or(cpu_millis, |least| cpu_millis.min(least)));
                    may_preempt |= spec.persistent;
                }
            }
        }
        let queue = catalogue.queue(&job.spec.queue);
        Some(Self {
            id: job.id,
            pool: queue.map_or(&job.spec.pool, |queue| &queue.pool).clone(),
            least_cpu_millis: least_cpu_millis?,
            may_preempt,
        })
    }
}

/// The jobs with waiting tasks, sorted by id, and the jobs that have changed since.
///
/// In a burst thousands of jobs are known and hundreds wait, while an event changes one. A pass
/// therefore looks at the jobs that have changed, and of the others only at those that may find
/// room.
#[derive(Debug, Default)]
pub(super) struct WaitingJobs {
    rows: Vec<WaitingJob>,
    changed: Vec<JobId>,
}

impl WaitingJobs {
    /// Records that a job has changed, was added or was removed.
    pub(super) fn mark_changed(&mut self, id: JobId) {
        if self.changed.last() != Some(&id) {
            self.changed.push(id);
        }
    }

    /// Brings the entries of the changed jobs up to date.
    pub(super) fn refresh<'a>(
        &mut self,
        job: impl Fn(JobId) -> Option<&'a Job>,
        catalogue: &Catalogue,
    ) {
        self.changed.sort_unstable();
        self.changed.dedup();
        for id in self.changed.drain(..) {
            let entry = job(id).and_then(|job| WaitingJob::of(job, catalogue));
            match (self.rows.binary_search_by_key(&id, |row| row.id), entry) {
                (Ok(at), Some(entry)) => self.rows[at] = entry,
                (Ok(at), None) => {
                    self.rows.remove(at);
                }
                (Err(at), Some(entry)) => self.rows.insert(at, entry),
                (Err(_), None) => {}
            }
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingJob> {
        self.rows.iter()
    }
}
