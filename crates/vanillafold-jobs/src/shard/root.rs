//! The data of a shard, and how it is loaded after a takeover.

use std::rc::Rc;

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::OrderFlow;

use super::admission::AdmissionState;
use super::advice::{AdviceQuery, StepAdvice};
use super::arrivals::Arrivals;
use super::attempt_limits::AttemptLimits;
use super::backlog::Backlog;
use super::catalogue::Catalogue;
use super::evacuation::ZoneEvacuations;
use super::incarnation::WorkerIncarnation;
use super::losses::{LossCounts, WorkerLoss};
use super::near_waits::NearWaits;
use super::orders::Order;
use super::rack_index::RackIndex;
use super::settings::Settings;
use super::start_rate::StartRate;
use super::vm_operations::{PendingOperation, Vm, VmOperation};
use super::waiting::WaitingJobs;
use super::waves::WaveState;
use crate::id::{Epoch, JobId, WorkerId};
use crate::job::{Job, TaskStatus};
use crate::record::{JobOutcome, Record};
use crate::spec::{JobSpec, Resources};
use crate::worker::{ListedEnd, Worker};

/// The jobs and workers of a shard during one ownership.
#[derive(Debug)]
pub struct Shard {
    pub(super) settings: Settings,
    pub(super) epoch: Epoch,
    pub(super) catalogue: Catalogue,
    /// Whether a configuration has been applied. Until then no limit is known.
    pub(super) has_catalogue: bool,
    pub(super) attempt_limits: AttemptLimits,
    /// Sorted by id.
    pub(super) jobs: Vec<Job>,
    /// Ids of unfinished jobs, sorted.
    pub(super) open: Vec<JobId>,
    /// Jobs with tasks that wait for a worker.
    pub(super) waiting_jobs: WaitingJobs,
    /// Unfinished jobs that run repeatedly.
    pub(super) repeated_jobs: Vec<JobId>,
    /// Jobs with unstored changes, in the order in which they changed.
    pub(super) dirty: Vec<JobId>,
    /// Jobs whose records may be deleted now.
    pub(super) deletable_jobs: Vec<JobId>,
    /// Finished jobs, in the order in which they finished.
    pub(super) finished: Vec<JobId>,
    /// Finished jobs whose description is still stored.
    pub(super) finished_with_spec: Vec<JobId>,
    /// Sorted by id.
    pub(super) workers: Vec<Worker>,
    /// Incremented when workers are added or removed, or an address or labels change.
    pub(super) workers_version: u64,
    pub(super) racks: RackIndex,
    pub(super) loss_counts: LossCounts,
    /// Tasks that wait for room near their data or their group.
    pub(super) near_waits: NearWaits,
    /// Workers that were lost a short time ago.
    pub(super) recent_losses: Vec<WorkerLoss>,
    /// Open jobs with suspect runs, sorted.
    pub(super) suspect_jobs: Vec<JobId>,
    /// Workers that an operation on their VM has ended and that are still in the list of workers.
    /// Sorted by id.
    pub(super) removed_workers: Vec<WorkerIncarnation>,
    /// Workers that have ended with an operation on their VM, as the list of VMs shows, and that the
    /// next scheduling pass removes.
    pub(super) ended_workers: Vec<WorkerIncarnation>,
    /// Resources that the runs of each organisation use, sorted by the organisation's name.
    pub(super) usage: Vec<(String, Resources)>,
    /// What organisations may use beside that on workers that are not accounted for, sorted by name.
    pub(super) unaccounted_usage: Vec<(String, Resources)>,
    pub(super) next_unaccounted_update_at: MonotonicMillis,
    pub(super) orders: Vec<(WorkerId, Order)>,
    /// Flow control of orders and polls.
    pub(super) flow: OrderFlow,
    /// Start orders that the scheduling pass in progress may still issue.
    pub(super) start_budget: usize,
    /// Recent rate of starts, and whether it limits what can be started.
    pub(super) start_rate: StartRate,
    pub(super) taken_over_at: MonotonicMillis,
    /// Time of day of the newest scheduling pass, in milliseconds since 1970.
    pub(super) pass_unix_ms: u64,
    /// Whether the list of workers, and that of VMs, has been read since the takeover.
    pub(super) workers_listed: bool,
    pub(super) vms_listed: bool,
    /// Whether the newest list of VMs had rows that can't be read.
    pub(super) has_unreadable_vms: bool,
    /// Whether tasks may still run on workers that have not responded since the takeover.
    pub(super) unaccounted: bool,
    /// Ends of earlier owners' runs, deferred until all workers are accounted for.
    pub(super) deferred_ends: Vec<ListedEnd>,
    pub(super) fenced: bool,
    /// Sorted by name.
    pub(super) vms: Vec<Vm>,
    pub(super) waves: Vec<WaveState>,
    /// VMs whose maintenance has started, by wave, as loaded from the store.
    pub(super) stored_waves: Vec<(u64, Vec<String>)>,
    /// Workers on VMs that are due for maintenance, sorted.
    pub(super) workers_due: Vec<WorkerId>,
    /// Waves with unstored changes.
    pub(super) dirty_waves: Vec<u64>,
    pub(super) pending_operations: Vec<PendingOperation>,
    /// Whether operations on VMs may be issued now.
    pub(super) may_operate_vms: bool,
    pub(super) next_plan_at: MonotonicMillis,
    pub(super) next_evacuation_at: MonotonicMillis,
    pub(super) evacuations: ZoneEvacuations,
    pub(super) next_wave_log_at: MonotonicMillis,
    pub(super) advice: Vec<StepAdvice>,
    pub(super) advice_queries: Vec<AdviceQuery>,
    /// Waiting work by pool, for admission control.
    pub(super) backlog: Backlog,
    pub(super) admissions: AdmissionState,
    /// Recently submitted work, by pool.
    pub(super) arrivals: Vec<Arrivals>,
    /// Pools of persistent tasks that found no worker in the last scheduling pass, one entry per
    /// step.
    pub(super) unplaced_pools: Vec<String>,
    /// Steps for which runs were preempted lately, and when.
    pub(super) preemptions: Vec<((JobId, u32, u16), MonotonicMillis)>,
    pub(super) next_unplaced_log_at: MonotonicMillis,
    pub(super) vm_operations: Vec<VmOperation>,
    /// Observed durations of tasks as a multiple of their estimates, averaged by queue and sorted
    /// by the queue's name.
    pub(super) duration_ratios: Vec<(String, f64)>,
}

impl Shard {
    /// Begins an ownership with the records in the store.
    ///
    /// Unfinished tasks count as unaccounted, because they may be running on any worker, until the
    /// workers have responded or all leases of earlier owners have expired.
    #[must_use]
    pub fn load(
        settings: Settings,
        epoch: Epoch,
        records: Vec<Record>,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> Self {
        let mut shard = Self {
            settings,
            epoch,
            catalogue: Catalogue::default(),
            has_catalogue: false,
            attempt_limits: AttemptLimits::default(),
            jobs: Vec::new(),
            open: Vec::new(),
            waiting_jobs: WaitingJobs::default(),
            repeated_jobs: Vec::new(),
            dirty: Vec::new(),
            deletable_jobs: Vec::new(),
            finished: Vec::new(),
            finished_with_spec: Vec::new(),
            workers: Vec::new(),
            workers_version: 0,
            racks: RackIndex::default(),
            loss_counts: LossCounts::default(),
            near_waits: NearWaits::default(),
            recent_losses: Vec::new(),
            suspect_jobs: Vec::new(),
            removed_workers: Vec::new(),
            ended_workers: Vec::new(),
            usage: Vec::new(),
            unaccounted_usage: Vec::new(),
            next_unaccounted_update_at: now,
            orders: Vec::new(),
            flow: OrderFlow::default(),
            start_budget: 0,
            start_rate: StartRate::new(now),
            taken_over_at: now,
            pass_unix_ms: now_unix_ms,
            workers_listed: false,
            vms_listed: false,
            has_unreadable_vms: false,
            unaccounted: true,
            deferred_ends: Vec::new(),
            fenced: false,
            vms: Vec::new(),
            waves: Vec::new(),
            stored_waves: Vec::new(),
            workers_due: Vec::new(),
            dirty_waves: Vec::new(),
            pending_operations: Vec::new(),
            may_operate_vms: true,
            next_plan_at: now,
            next_evacuation_at: now,
            evacuations: ZoneEvacuations::new(now),
            next_wave_log_at: now,
            advice: Vec::new(),
            advice_queries: Vec::new(),
            backlog: Backlog::default(),
            admissions: AdmissionState::default(),
            arrivals: Vec::new(),
            unplaced_pools: Vec::new(),
            preemptions: Vec::new(),
            next_unplaced_log_at: now,
            vm_operations: Vec::new(),
            duration_ratios: Vec::new(),
        };
        let mut progress = Vec::new();
        let mut suspects = Vec::new();
        let mut start_pools = Vec::new();
        for record in records {
            match record {
                Record::Spec(id, spec) => match spec.check() {
                    Ok(()) => shard.insert_stored(Job::new(id, *spec, now)),
                    Err(error) => {
                        log::warn!(job = id.to_string(), error = error.to_string(); "stored description of a job is invalid; the job is ignored");
                    }
                },
                Record::Progress(id, row) => progress.push((id, row)),
                Record::Suspects(id, runs) => suspects.push((id, runs)),
                Record::StartPools(id, pools) => start_pools.push((id, pools)),
                Record::Wave(number, mut started) => {
                    started.sort_unstable();
                    shard.stored_waves.push((number, started));
                }
                Record::AttemptLimit(queue, limit) => shard.attempt_limits.restore(queue, limit),
                Record::DeleteAttemptLimit(_) | Record::DeleteSpec(_) | Record::DeleteJob(_) => {}
            }
        }
        for (id, row) in progress {
            match shard.job_mut(id) {
                Some(job) => job.restore_progress(row),
                None if row.outcome != JobOutcome::Open => {
                    let mut job = Job::new(id, JobSpec::deleted(), now);
                    job.progress = row;
                    shard.insert_stored(job);
                }
                None => {
                    log::warn!(job = id.to_string(); "stored progress of an unfinished job has no description; the job is ignored");
                }
            }
        }
        for (id, runs) in suspects {
            if let Some(job) = shard.job_mut(id) {
                job.suspect_runs = runs;
                job.suspects_stored = true;
                shard.suspect_jobs.push(id);
            }
        }
        for (id, pools) in start_pools {
            if let Some(job) = shard.job_mut(id) {
                job.restore_start_pools(pools);
            }
        }
        shard.suspect_jobs.sort_unstable();
        shard.resume(now, now_unix_ms);
        shard
    }

    fn insert_stored(&mut self, mut job: Job) {
        job.spec_stored = true;
        if let Err(at) = self.position(job.id) {
            self.jobs.insert(at, job);
        }
    }

    fn resume(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        let mut open = Vec::new();
        for job in &mut self.jobs {
            job.stored_outcome = job.progress.outcome;
            job.stored_completed = job.progress.completed.len();
            let age_ms = now_unix_ms.saturating_sub(job.spec.submitted_unix_ms);
            job.submitted_at = MonotonicMillis::new(now.get().saturating_sub(age_ms));
            match job.progress.outcome {
                JobOutcome::Open => {
                    job.unaccounted = true;
                    open.push(job.id);
                }
                _ => {
                    let finished_for_ms = now_unix_ms.saturating_sub(job.progress.finished_unix_ms);
                    let remaining_ms = self
                        .settings
                        .finished_retention_ms
                        .saturating_sub(finished_for_ms);
                    job.delete_at = Some(MonotonicMillis::new(now.get() + remaining_ms));
                    self.finished.push(job.id);
                    if !job.spec.steps.is_empty() {
                        self.finished_with_spec.push(job.id);
                    }
                }
            }
        }
        for id in open {
            self.add_open_job(id);
            self.begin_due_occurrences(id, now, now_unix_ms);
        }
        self.unaccounted = !self.open.is_empty();
    }

    /// Returns the fencing number of this ownership.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether a worker has seen a later owner, so that this ownership must end.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Applies a configuration, unless it is older than the current one.
    pub fn set_catalogue(&mut self, catalogue: Catalogue) {
        if catalogue.version >= self.catalogue.version {
            self.catalogue = catalogue;
            self.has_catalogue = true;
            self.remember_attempt_limits();
            // The pool of a queue may have changed.
            for id in &self.open {
                self.waiting_jobs.mark_changed(*id);
            }
        }
    }

    /// Returns the orders issued since the last call, in the order in which they were issued.
    pub fn take_orders(&mut self) -> Vec<(WorkerId, Order)> {
        std::mem::take(&mut self.orders)
    }

    /// Returns the number of unfinished jobs.
    #[must_use]
    pub const fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of runs that are tracked on workers, including those that may yet start
    /// and those that are being stopped.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.workers.iter().map(|worker| worker.runs.len()).sum()
    }

    // --- Lookups ---------------------------------------------------------------------------

    pub(super) fn position(&self, id: JobId) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(&id, |job| job.id)
    }

    pub(super) fn job(&self, id: JobId) -> Option<&Job> {
        self.position(id).ok().map(|at| &self.jobs[at])
    }

    /// Returns a job to be changed. The next scheduling pass examines it again.
    pub(super) fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        let at = self.position(id).ok()?;
        self.waiting_jobs.mark_changed(id);
        Some(&mut self.jobs[at])
    }

    pub(super) fn worker_position(&self, id: &WorkerId) -> Option<usize> {
        self.workers
            .binary_search_by(|worker| worker.entry.id.cmp(id))
            .ok()
    }

    pub(super) fn mark_dirty(&mut self, id: JobId) {
        if !self.dirty.contains(&id) {
            self.dirty.push(id);
        }
    }

    pub(super) fn remove_open_job(&mut self, id: JobId) {
        if let Ok(at) = self.open.binary_search(&id) {
            self.open.remove(at);
        }
        self.waiting_jobs.mark_changed(id);
    }

    /// Adds a job to those that are not finished.
    pub(super) fn add_open_job(&mut self, id: JobId) {
        if let Err(at) = self.open.binary_search(&id) {
            self.open.insert(at, id);
        }
        self.waiting_jobs.mark_changed(id);
        if self.job(id).is_some_and(|job| job.spec.repeat.is_some()) {
            self.repeated_jobs.push(id);
        }
    }

    /// Creates the tasks of the occurrences that are due, as far as the job may have more open ones.
    pub(super) fn begin_due_occurrences(
        &mut self,
        id: JobId,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) {
        let Some(job) = self.job_mut(id) else { return };
        let status = match job.unaccounted {
            true => TaskStatus::Unaccounted,
            false => TaskStatus::Waiting { since: now },
        };
        let spec = Rc::clone(&job.spec);
        while job.next_occurrence < job.occurrence_count() && job.may_begin_occurrence() {
            let number = job.next_occurrence;
            let due_unix_ms = spec.repeat.map_or(0, |repeat| {
                let since_start_ms = repeat.interval_ms.saturating_mul(u64::from(number));
                repeat.start_unix_ms.saturating_add(since_start_ms)
            });
            if due_unix_ms > now_unix_ms {
                return;
            }
            job.next_occurrence += 1;
            if job.progress.completed.binary_search(&number).is_err() {
                job.begin_occurrence(number, due_unix_ms, &status);
            }
        }
    }

    pub(super) fn add_usage(&mut self, organisation: &str, needs: Resources) {
        let found = self
            .usage
            .binary_search_by(|row| row.0.as_str().cmp(organisation));
        match found {
            Ok(at) => self.usage[at].1.add(needs),
            Err(at) => self.usage.insert(at, (organisation.to_owned(), needs)),
        }
    }

    pub(super) fn remove_usage(&mut self, organisation: &str, needs: Resources) {
        let found = self
            .usage
            .binary_search_by(|row| row.0.as_str().cmp(organisation));
        if let Ok(at) = found {
            self.usage[at].1.subtract(needs);
        }
    }

    pub(super) fn usage(&self, organisation: &str) -> Resources {
        let found = self
            .usage
            .binary_search_by(|row| row.0.as_str().cmp(organisation));
        found.map_or(Resources::default(), |at| self.usage[at].1)
    }
}
