//! Evacuation of availability zones: they get no new work, and what runs there moves or ends.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{CheckpointedRun, is_resumed_elsewhere, usable_permille};

use super::backlog::Backlog;
use super::root::Shard;
use super::vm_operations::Vm;
use crate::spec::{JobSpec, Resources};
use crate::worker::{Run, RunPhase, Worker};

/// Time between two passes that move runs out of evacuated zones, in milliseconds: a fraction of the
/// time that a run takes to start elsewhere.
const PASS_INTERVAL_MS: u64 = 200;
/// Longest time for which a worker that returns counts as cold, in milliseconds, whatever it says.
const MAX_COLD_MS: u64 = 60_000;
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
    next_pass_at: MonotonicMillis,
    next_log_at: MonotonicMillis,
    counts: EvacuationCounts,
}

impl ZoneEvacuations {
    pub(super) const fn new(now: MonotonicMillis) -> Self {
        Self {
            zones: None,
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
    pub(super) fn excludes(&self, vm: &Vm) -> bool {
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
        self.zones = Some(rows);
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
        self.backlog = Backlog::default();
        for worker in &mut self.workers {
            worker.set_evacuated(self.evacuations.contains(&worker.entry.zone), now);
        }
    }

    /// Returns what evacuations have done during this ownership, and what is left in their zones.
    #[must_use]
    pub const fn evacuation_counts(&self) -> EvacuationCounts {
        self.evacuations.counts
    }

    /// Updates how much of their CPU the workers may use whose zone was evacuated a short time ago.
    pub(super) fn update_returned_workers(&mut self, now: MonotonicMillis) {
        for worker in &mut self.workers {
            let Some(returned_at) = worker.returned_at else {
                continue;
            };
            let returned_ms = now.since(returned_at).get();
            // The registration is renewed while the worker is cold.
            let is_cold = worker.entry.cold_remaining_ms > 0 && returned_ms < MAX_COLD_MS;
            worker.usable_permille = usable_permille(returned_ms, is_cold);
            if worker.usable_permille == 1_000 {
                worker.returned_at = None;
            }
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
        // Before, workers may have runs that they have not reported, and operations of an earlier owner
        // may end some.
        if !self.is_settling(now) {
            self.move_evacuated_runs(now, now_unix_ms);
            self.log_evacuations(now);
        }
    }

    /// Stops runs that are to continue elsewhere, at most one of each step in a pass, as far as the room for
    /// them is not claimed by others. Those that were stopped before must have found their place first, so
    /// nothing is stopped in a pool while a stop is in progress or persistent tasks wait there.
    fn move_evacuated_runs(&mut self, now: MonotonicMillis, now_unix_ms: u64) {
        let is_stopping = |run: &Run| {
            matches!(
                run.phase,
                RunPhase::Stopping { .. } | RunPhase::Stopped { .. }
            )
        };
        let stopping = self.workers.iter().filter(|worker| {
            worker.evacuated && !worker.unresponsive && worker.runs.iter().any(is_stopping)
        });
        let mut busy_pools: Vec<String> =
            stopping.map(|worker| worker.entry.pool.clone()).collect();
        busy_pools.extend(self.unplaced_pools.iter().cloned());
        let mut claimed: Vec<(usize, Resources)> = Vec::new();
        let mut moved_steps = Vec::new();
        // Pools without room for a run of this CPU: the search is not repeated for larger ones.
        let mut without_room: Vec<(String, u64)> = Vec::new();
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            let is_barred = worker.vm_operation_pending || worker.unresponsive;
            if !worker.evacuated || is_barred || busy_pools.contains(&worker.entry.pool) {
                continue;
            }
            for position in 0..self.workers[at].runs.len() {
                let (worker, run) = (&self.workers[at], &self.workers[at].runs[position]);
                let cpu_millis = run.reservation.cpu_millis;
                let is_too_large =
                    |row: &(String, u64)| row.0 == worker.entry.pool && row.1 <= cpu_millis;
                if moved_steps.contains(&run.task.step_id())
                    || without_room.iter().any(is_too_large)
                    || !self.may_leave(run, now, now_unix_ms)
                {
                    continue;
                }
                let Some(to) = self.room_for(run, now, &claimed, |_| true) else {
                    without_room.push((worker.entry.pool.clone(), cpu_millis));
                    continue;
                };
                claimed.push((to, run.reservation));
                moved_steps.push(run.task.step_id());
                match run.persistent {
                    true => self.evacuations.counts.replaced += 1,
                    false => self.evacuations.counts.resumed += 1,
                }
                log::info!(
                    task = run.task.to_string(), worker = worker.entry.id.as_str(),
                    zone = worker.entry.zone.as_str(), persistent = run.persistent;
                    "run is stopped to continue in a zone that is not evacuated"
                );
                self.order_stop(at, position, now);
            }
        }
    }

    /// Returns whether a run in an evacuated zone may be stopped now to continue elsewhere. Members of gangs
    /// end in their own time: a gang is not split.
    fn may_leave(&self, run: &Run, now: MonotonicMillis, now_unix_ms: u64) -> bool {
        let Some((_, step)) = self.described_step(run.task) else {
            return false;
        };
        let is_running = matches!(run.phase, RunPhase::Running { .. });
        match run.persistent {
            _ if step.gang || !is_running => false,
            true => self.may_be_unavailable(run),
            false => {
                step.checkpointing
                    && is_resumed_elsewhere(self.checkpointed_run(run, now, now_unix_ms))
            }
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
    pub(super) fn is_out_of_reach(&mut self, spec: &JobSpec, pool: &str) -> bool {
        let labels = spec.steps.iter().map(|step| &step.required_label);
        let mut required = labels.filter(|label| !label.is_empty());
        self.backlog.pool_mut(pool).is_evacuated
            || required.any(|label| self.is_label_evacuated(pool, label))
    }

    pub(super) fn is_pool_evacuated(&self, pool: &str) -> bool {
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
        let is_left = workers().any(|worker| !worker.evacuated)
            || vms().any(|vm| !self.evacuations.excludes(vm));
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
