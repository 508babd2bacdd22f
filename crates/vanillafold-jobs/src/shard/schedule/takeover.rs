//! Tasks that are unaccounted for after a takeover.

use vanillafold_policy::MonotonicMillis;

use crate::shard::root::Shard;

impl Shard {
    /// After a takeover, releases unaccounted tasks for scheduling once they can't be running, or have
    /// completed, on a worker that has not shown it: when all workers of their pools are accounted
    /// for, or when every lease of an earlier owner has expired.
    pub(super) fn resolve_unaccounted(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        if !self.unaccounted {
            return;
        }
        let wait_over = now.get() >= self.taken_over_at.get() + self.settings.takeover_wait_ms;
        let is_listed = self.workers_listed && self.vms_listed && !self.has_unreadable_vms;
        if !(wait_over || is_listed) {
            return;
        }
        let awaited_pools = match wait_over {
            true => self.pools_with_unlisted_ends(now),
            false => self.unaccounted_pools(),
        };
        let mut accounted_jobs = Vec::new();
        for id in &self.open {
            let Some(job) = self.job(*id).filter(|job| job.unaccounted) else {
                continue;
            };
            let current_pool = self
                .catalogue
                .queue(&job.spec.queue)
                .map(|queue| &queue.pool);
            // An owner of an earlier version did not store where it started tasks.
            let may_run_in =
                |pool: &String| job.may_have_started_in(pool) || Some(pool) == current_pool;
            if !awaited_pools.iter().any(may_run_in) {
                accounted_jobs.push(*id);
            }
        }
        if awaited_pools.is_empty() {
            self.unaccounted = false;
            log::info!(
                after_ms = now.since(self.taken_over_at).get(), outwaited = wait_over;
                "tasks of earlier owners are accounted for: all workers have responded, or the leases have expired"
            );
        }
        if !accounted_jobs.is_empty() && self.unaccounted {
            log::info!(
                jobs = accounted_jobs.len(), awaited_pools = awaited_pools.join(", ");
                "tasks of some jobs are accounted for; workers of other pools have not responded"
            );
        }
        self.process_deferred_ends(&accounted_jobs, now, now_unix_ms);
        for id in accounted_jobs {
            self.count_unreported_runs(id, now);
            if let Some(job) = self.job_mut(id) {
                job.requeue_unaccounted(now);
            }
        }
    }

    /// Returns the pools of VMs whose worker is not accounted for since the takeover.
    fn unaccounted_pools(&self) -> Vec<String> {
        let vms = self.vms.iter();
        let awaited = vms.filter(|vm| !self.is_vm_worker_accounted(vm));
        sorted_names(awaited.map(|vm| &vm.pool))
    }

    /// Returns the pools of workers that may have completed runs which they have not listed yet.
    /// Expired leases of earlier owners don't show these.
    fn pools_with_unlisted_ends(&self, now: MonotonicMillis) -> Vec<String> {
        let workers = self.workers.iter();
        let awaited = workers.filter(|worker| worker.may_have_unlisted_ends(now));
        sorted_names(awaited.map(|worker| &worker.entry.pool))
    }
}

/// Returns the names sorted, each once.
fn sorted_names<'a>(names: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut names: Vec<String> = names.cloned().collect();
    names.sort();
    names.dedup();
    names
}
