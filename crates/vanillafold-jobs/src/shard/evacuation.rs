//! Evacuation of availability zones: they get no new work, and what runs there moves or ends.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{CheckpointedRun, is_resumed_elsewhere, usable_permille};

use super::root::Shard;
use super::vm_operations::Vm;
use crate::spec::JobSpec;
use crate::worker::{Run, RunPhase, Worker};

/// Time between two passes that move runs out of evacuated zones, in milliseconds: a fraction of the
/// time that a run takes to start elsewhere.
const PASS_INTERVAL_MS: u64 = 200;
/// Time between two log lines about the progress of an evacuation, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// Counts of what evacuations have done during an ownership.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvacuationCounts {
    /// Zones that are being evacuated.
    pub zones: u64,
    /// Runs on workers of these zones.
    pub runs: u64,
    /// Persistent runs that were stopped to be replaced elsewhere.
    pub replaced: u64,
    /// Checkpointing runs that were stopped to be resumed elsewhere.
    pub resumed: u64,
}

/// The evacuation of one zone.
#[derive(Debug)]
struct ZoneEvacuation {
    zone: String,
    /// When this owner learned of it.
    since: MonotonicMillis,
    /// Whether the last run has left the zone, which was logged.
    is_empty: bool,
}

/// The zones that the operator evacuates, as far as this owner knows.
#[derive(Debug)]
pub(super) struct ZoneEvacuations {
    /// Sorted by zone; `None` until the operator's requests are known.
    zones: Option<Vec<ZoneEvacuation>>,
    /// Zones whose evacuation has ended, and when.
    returned: Vec<(String, MonotonicMillis)>,
    next_pass_at: MonotonicMillis,
    next_log_at: MonotonicMillis,
    counts: EvacuationCounts,
}

impl ZoneEvacuations {
    pub(super) const fn new(now: MonotonicMillis) -> Self {
        Self {
            zones: None,
            returned: Vec::new(),
            next_pass_at: now,
            next_log_at: now,
            counts: EvacuationCounts {
                zones: 0,
                runs: 0,
                replaced: 0,
                resumed: 0,
            },
        }
    }

    /// Returns whether the operator's requests are known. Until then any zone may be evacuated.
    pub(super) const fn are_known(&self) -> bool {
        self.zones.is_some()
    }

    fn rows(&self) -> &[ZoneEvacuation] {
        self.zones.as_deref().unwrap_or_default()
    }

    /// Returns whether a zone is being evacuated.
    pub(super) fn contains(&self, zone: &str) -> bool {
        let rows = self.rows();
        rows.binary_search_by(|row| row.zone.as_str().cmp(zone))
            .is_ok()
    }

    /// Returns whether no work may be brought to a VM, because its zone is being evacuated or may be.
    pub(super) fn bars(&self, vm: &Vm) -> bool {
        let may_be_evacuated = vm.zone.is_empty() && !self.rows().is_empty();
        may_be_evacuated || self.contains(&vm.zone)
    }

    /// Sets the evacuated zones, sorted, and logs the changes.
    fn set(&mut self, zones: &[String], now: MonotonicMillis) {
        let before = self.zones.take().unwrap_or_default();
        let is_kept = |row: &ZoneEvacuation| zones.binary_search(&row.zone).is_ok();
        let (mut rows, ended): (Vec<_>, Vec<_>) = before.into_iter().partition(is_kept);
        for row in ended {
            log::info!(
                zone = row.zone.as_str(), after_ms = now.since(row.since).get();
                "evacuation of the zone withdrawn; its workers get work again"
            );
            self.returned.push((row.zone, now));
        }
        for zone in zones {
            if let Err(at) = rows.binary_search_by(|row| row.zone.cmp(zone)) {
                let evacuation = ZoneEvacuation {
                    zone: zone.clone(),
                    since: now,
                    is_empty: false,
                };
                rows.insert(at, evacuation);
                self.next_log_at = now;
            }
        }
        self.returned
            .retain(|row| zones.binary_search(&row.0).is_err());
        self.zones = Some(rows);
    }

    /// Returns how long ago the evacuation of a zone ended, in milliseconds.
    fn returned_ms(&self, zone: &str, now: MonotonicMillis) -> Option<u64> {
        let row = self.returned.iter().find(|row| row.0 == zone)?;
        Some(now.since(row.1).get())
    }
}

impl Shard {
    /// Sets the zones that the operator evacuates, in any order. Until the first call no task starts
    /// and no VM moves.
    pub fn set_evacuated_zones(&mut self, zones: &[String], now: MonotonicMillis) {
        let mut zones = zones.to_vec();
        zones.sort_unstable();
        zones.dedup();
        self.evacuations.set(&zones, now);
        for worker in &mut self.workers {
            worker.evacuated = self.evacuations.contains(&worker.entry.zone);
        }
    }

    /// Returns what evacuations have done during this ownership, and what is left in their zones.
    #[must_use]
    pub const fn evacuation_counts(&self) -> EvacuationCounts {
        self.evacuations.counts
    }

    /// Updates how much of their CPU the workers of returned zones may use.
    pub(super) fn update_returned_workers(&mut self, now: MonotonicMillis) {
        if self.evacuations.returned.is_empty() {
            return;
        }
        let mut is_returning = false;
        for worker in &mut self.workers {
            let Some(returned_ms) = self.evacuations.returned_ms(&worker.entry.zone, now) else {
                continue;
            };
            // The registration is renewed while the worker is cold.
            let is_cold = worker.entry.cold_remaining_ms > 0;
            worker.usable_permille = usable_permille(returned_ms, is_cold);
            is_returning |= worker.usable_permille < 1_000;
        }
        if !is_returning {
            self.evacuations.returned.clear();
        }
    }

    /// Moves runs out of evacuated zones, as far as that is worth it and other workers have room, and
    /// logs the progress.
    pub(super) fn evacuate_zones(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        let counts = &mut self.evacuations.counts;
        counts.zones = self.evacuations.zones.as_ref().map_or(0, Vec::len) as u64;
        if counts.zones == 0 {
            counts.runs = 0;
            return;
        }
        if now < self.evacuations.next_pass_at {
            return;
        }
        self.evacuations.next_pass_at = MonotonicMillis::new(now.get() + PASS_INTERVAL_MS);
        if !self.is_settling(now) {
            self.move_evacuated_runs(now, now_unix_ms);
        }
        self.log_evacuations(now);
    }

    /// Stops runs that are to continue elsewhere, at most one of each step in a pass: the next one
    /// needs to know where it was placed.
    fn move_evacuated_runs(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        let mut moved_steps = Vec::new();
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            let is_barred = worker.vm_operation_pending || worker.unresponsive;
            // A pool in which persistent tasks wait already has no room for more.
            let has_room = !self.unplaced_pools.contains(&worker.entry.pool);
            if !worker.evacuated || is_barred || !has_room {
                continue;
            }
            for position in 0..self.workers[at].runs.len() {
                let run = &self.workers[at].runs[position];
                let step = run.task.step_id();
                if moved_steps.contains(&step) || !self.should_leave(run, now, now_unix_ms) {
                    continue;
                }
                moved_steps.push(step);
                match run.persistent {
                    true => self.evacuations.counts.replaced += 1,
                    false => self.evacuations.counts.resumed += 1,
                }
                log::info!(
                    task = run.task.to_string(), worker = self.workers[at].entry.id.as_str(),
                    zone = self.workers[at].entry.zone.as_str(), persistent = run.persistent;
                    "run is stopped to continue in a zone that is not evacuated"
                );
                self.order_stop(at, position, now);
            }
        }
    }

    /// Returns whether a run in an evacuated zone should be stopped and continue elsewhere now. Members
    /// of gangs end in their own time: a gang is not split.
    fn should_leave(&self, run: &Run, now: MonotonicMillis, now_unix_ms: u64) -> bool {
        let Some((_, step)) = self.described_step(run.task) else {
            return false;
        };
        let is_running = matches!(run.phase, RunPhase::Running { .. });
        match run.persistent {
            _ if step.gang || !is_running => false,
            true => self.may_be_unavailable(run) && self.fits_where(run, now, |_| true),
            false if step.checkpointing => {
                is_resumed_elsewhere(self.checkpointed_run(run, now, now_unix_ms))
                    && self.fits_where(run, now, |_| true)
            }
            false => false,
        }
    }

    fn checkpointed_run(
        &self,
        run: &Run,
        now: MonotonicMillis,
        now_unix_ms: u64,
    ) -> CheckpointedRun {
        let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
        let described = self.described_step(run.task);
        let expected_ms =
            described.map_or(0, |(job, step)| self.expected_ms(&job.spec.queue, step));
        let percent_left = 100_u64.saturating_sub(u64::from(run.percent));
        let until_late_ms = described.map_or(0, |(job, _)| {
            self.until_late_ms(job, run.task.occurrence, now, now_unix_ms)
        });
        let remaining_ms = expected_ms.saturating_mul(percent_left) / 100;
        let interruption_ms = self.settings.stop_timeout_ms + self.settings.restore_ms;
        CheckpointedRun {
            remaining_ms,
            interruption_ms,
            slack_ms: until_late_ms.saturating_sub(signed(remaining_ms)),
        }
    }

    /// Logs what is left in evacuated zones, at most once every [`LOG_INTERVAL_MS`], and when a zone
    /// has become empty.
    fn log_evacuations(&mut self, now: MonotonicMillis) {
        let is_due = now >= self.evacuations.next_log_at;
        if is_due {
            self.evacuations.next_log_at = MonotonicMillis::new(now.get() + LOG_INTERVAL_MS);
        }
        let mut runs_left = 0;
        for row in self.evacuations.zones.iter_mut().flatten() {
            let in_zone = |worker: &&Worker| worker.entry.zone == row.zone;
            let workers = self.workers.iter().filter(in_zone);
            let runs = workers.clone().flat_map(|worker| &worker.runs);
            let persistent = runs.clone().filter(|run| run.persistent).count();
            let (workers, runs) = (workers.count(), runs.count());
            runs_left += runs;
            let was_empty = std::mem::replace(&mut row.is_empty, runs == 0);
            let after_ms = now.since(row.since).get();
            match runs {
                0 if was_empty => {}
                0 => log::info!(
                    zone = row.zone.as_str(), workers = workers, after_ms = after_ms;
                    "evacuated zone is empty: nothing runs on its workers"
                ),
                _ if is_due => log::info!(
                    zone = row.zone.as_str(), workers = workers, runs = runs,
                    persistent_runs = persistent, after_ms = after_ms;
                    "evacuation of a zone in progress"
                ),
                _ => {}
            }
        }
        self.evacuations.counts.runs = runs_left as u64;
    }

    /// Returns whether any zone is being evacuated.
    pub(super) fn has_evacuations(&self) -> bool {
        !self.evacuations.rows().is_empty()
    }

    /// Returns whether only workers and VMs in evacuated zones could run a job.
    pub(super) fn is_out_of_reach(&self, spec: &JobSpec, pool: &str) -> bool {
        let labels = spec.steps.iter().map(|step| &step.required_label);
        let mut required = labels.filter(|label| !label.is_empty());
        self.is_pool_evacuated(pool) || required.any(|label| self.is_label_evacuated(pool, label))
    }

    fn is_pool_evacuated(&self, pool: &str) -> bool {
        let is_spare = |name: &str| {
            let pools = &self.catalogue.pools;
            pools.iter().any(|row| row.name == name && row.spare)
        };
        let workers = || self.workers.iter().filter(|row| row.entry.pool == pool);
        let vms = || {
            let vms = self.vms.iter();
            vms.filter(|vm| vm.pool == pool || is_spare(&vm.pool))
        };
        let is_known = workers().next().is_some() || vms().next().is_some();
        let is_left =
            workers().any(|worker| !worker.evacuated) || vms().any(|vm| !self.evacuations.bars(vm));
        is_known && !is_left
    }

    /// Returns whether only workers in evacuated zones have a label.
    fn is_label_evacuated(&self, pool: &str, label: &str) -> bool {
        let has_label = |worker: &&Worker| {
            worker.entry.pool == pool && worker.entry.labels.iter().any(|own| own == label)
        };
        let mut labelled = self.workers.iter().filter(has_label).peekable();
        labelled.peek().is_some() && labelled.all(|worker| worker.evacuated)
    }
}
