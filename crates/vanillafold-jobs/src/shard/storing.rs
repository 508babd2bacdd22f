//! Batches of records for the store, and the effects of storing them.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;

use super::root::Shard;
use crate::id::JobId;
use crate::record::Record;
use crate::spec::JobSpec;

/// Maximum size of a batch in bytes, well below the platform's limit for one call.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Records that are written to the store in one call.
#[derive(Debug)]
pub struct Batch {
    /// Keys and values; an empty value deletes its key.
    pub records: Vec<(String, Vec<u8>)>,
    jobs: Vec<JobId>,
    /// Jobs whose records are all deleted.
    deleted: Vec<JobId>,
    /// Jobs whose description is deleted.
    spec_deleted: Vec<JobId>,
    waves: Vec<u64>,
    /// Queues whose limit of attempts is in the batch.
    limited_queues: Vec<String>,
}

impl Batch {
    /// Returns the jobs whose description or progress is in the batch.
    #[must_use]
    pub fn jobs(&self) -> &[JobId] {
        &self.jobs
    }
}

impl Shard {
    /// Returns whether there are unstored changes.
    #[must_use]
    pub const fn has_records(&self) -> bool {
        !self.dirty.is_empty()
            || !self.deletable_jobs.is_empty()
            || !self.dirty_waves.is_empty()
            || self.attempt_limits.is_dirty()
    }

    /// Returns the next batch, if there are unstored changes. The result of the previous batch must
    /// have been reported by [`batch_stored`](Self::batch_stored) or
    /// [`batch_refused`](Self::batch_refused).
    pub fn take_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch {
            records: Vec::new(),
            jobs: Vec::new(),
            deleted: std::mem::take(&mut self.deletable_jobs),
            spec_deleted: Vec::new(),
            waves: std::mem::take(&mut self.dirty_waves),
            limited_queues: Vec::new(),
        };
        for state in &self.waves {
            if batch.waves.contains(&state.wave.number) {
                let record = Record::Wave(state.wave.number, state.started.clone());
                batch.records.extend(record.encode());
            }
        }
        for id in &batch.deleted {
            batch.records.extend(Record::DeleteJob(*id).encode());
        }
        let mut bytes = 0;
        let mut taken = 0;
        while taken < self.dirty.len() && bytes < MAX_BATCH_BYTES {
            let id = self.dirty[taken];
            taken += 1;
            let Some(job) = self.job_mut(id) else {
                continue;
            };
            let first_record = batch.records.len();
            if !job.spec_stored {
                let spec = Box::new(job.spec.as_ref().clone());
                batch.records.extend(Record::Spec(id, spec).encode());
            }
            if job.version > job.stored_version {
                let progress = job.progress.clone();
                batch
                    .records
                    .extend(Record::Progress(id, progress).encode());
                if job.suspects_stored || !job.suspect_runs.is_empty() {
                    let suspects = Record::Suspects(id, job.suspect_runs.clone());
                    batch.records.extend(suspects.encode());
                    job.suspects_stored = true;
                }
                if job.start_pools_stored || !job.start_pools.is_empty() {
                    let pools = job.start_pools.iter().map(|row| row.0.clone());
                    let pools = Record::StartPools(id, pools.collect());
                    batch.records.extend(pools.encode());
                    job.start_pools_stored = true;
                }
            }
            job.writing_version = Some(job.version);
            job.writing_outcome = job.progress.outcome;
            job.writing_completed = job.progress.completed.len();
            batch.jobs.push(id);
            let added = batch.records[first_record..].iter();
            bytes += added.map(|row| row.1.len()).sum::<usize>();
        }
        self.dirty.drain(..taken);
        // The limits of the jobs in this batch are in it or stored.
        let (limited_queues, limits) = self.attempt_limits.take_dirty();
        batch.limited_queues = limited_queues;
        batch.records.extend(limits.iter().flat_map(Record::encode));
        if !batch.records.is_empty() {
            self.delete_finished_specs(&mut batch);
        }
        (!batch.records.is_empty()).then_some(batch)
    }

    /// Adds the deletion of descriptions of finished jobs without runs, so that a takeover reads
    /// little more than the open jobs.
    fn delete_finished_specs(&mut self, batch: &mut Batch) {
        if self.finished_with_spec.is_empty() {
            return;
        }
        self.finished_with_spec.sort_unstable();
        let mut with_runs = Vec::new();
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            if self.finished_with_spec.binary_search(&run.task.job).is_ok() {
                with_runs.push(run.task.job);
            }
        }
        with_runs.sort_unstable();
        let is_finished = |id: JobId| {
            self.job(id).is_none_or(|job| {
                let being_written = job.writing_version == Some(job.version);
                !job.is_open() && (being_written || !job.is_dirty())
            })
        };
        let (removable, kept) = self
            .finished_with_spec
            .iter()
            .partition(|id| is_finished(**id) && with_runs.binary_search(id).is_err());
        batch.spec_deleted = removable;
        self.finished_with_spec = kept;
        for id in &batch.spec_deleted {
            batch.records.extend(Record::DeleteSpec(*id).encode());
        }
    }

    /// Records that a batch was stored.
    pub fn batch_stored(&mut self, batch: &Batch) {
        for id in &batch.jobs {
            let Some(job) = self.job_mut(*id) else {
                continue;
            };
            job.spec_stored = true;
            if let Some(version) = job.writing_version.take() {
                job.stored_version = version;
                job.stored_outcome = job.writing_outcome;
                job.stored_completed = job.writing_completed;
            }
            let still_dirty = job.is_dirty();
            if still_dirty {
                self.mark_dirty(*id);
            }
        }
        for id in &batch.spec_deleted {
            if let Some(job) = self.job_mut(*id) {
                job.spec = Rc::new(JobSpec::deleted());
            }
        }
        for id in &batch.deleted {
            if let Ok(at) = self.position(*id) {
                self.jobs.remove(at);
            }
        }
    }

    /// Records that a batch was certainly not stored. Jobs whose description was in it are dropped
    /// and returned, because they were never accepted. All other records are written again.
    pub fn batch_refused(&mut self, batch: &Batch) -> Vec<JobId> {
        let mut dropped = Vec::new();
        for id in &batch.jobs {
            let Ok(at) = self.position(*id) else { continue };
            self.jobs[at].writing_version = None;
            match self.jobs[at].spec_stored {
                true => self.mark_dirty(*id),
                false => {
                    self.jobs.remove(at);
                    self.remove_open_job(*id);
                    self.finished.retain(|finished| finished != id);
                    dropped.push(*id);
                }
            }
        }
        self.deletable_jobs.extend_from_slice(&batch.deleted);
        self.finished_with_spec
            .extend_from_slice(&batch.spec_deleted);
        self.dirty_waves.extend_from_slice(&batch.waves);
        for queue in &batch.limited_queues {
            self.attempt_limits.mark_dirty(queue);
        }
        dropped
    }

    /// Drops and returns the jobs whose description is in no batch, because the store can't be
    /// written. They were never accepted.
    pub fn drop_unwritten(&mut self) -> Vec<JobId> {
        let unwritten: Vec<JobId> = self
            .dirty
            .iter()
            .copied()
            .filter(|id| {
                self.job(*id)
                    .is_some_and(|job| !job.spec_stored && job.writing_version.is_none())
            })
            .collect();
        for id in &unwritten {
            if let Ok(at) = self.position(*id) {
                self.jobs.remove(at);
            }
            self.remove_open_job(*id);
            self.dirty.retain(|dirty| dirty != id);
            self.finished.retain(|finished| finished != id);
        }
        unwritten
    }

    /// Marks the records of finished jobs for deletion once their retention time has passed.
    pub(super) fn collect_deletable_jobs(&mut self, now: MonotonicMillis) {
        let is_expired = |shard: &Self, id: &JobId| {
            shard.job(*id).is_none_or(|job| {
                !job.is_dirty() && job.delete_at.is_some_and(|delete_at| delete_at <= now)
            })
        };
        let count = self
            .finished
            .iter()
            .take_while(|id| is_expired(self, id))
            .count();
        let expired: Vec<JobId> = self.finished.drain(..count).collect();
        self.deletable_jobs.extend(expired);
    }
}
