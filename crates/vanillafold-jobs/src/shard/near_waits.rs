//! Tasks that wait for room near their data or their group.

use vanillafold_policy::MonotonicMillis;

use crate::id::TaskId;

/// Minimum time between two log lines about ended waits, and between two removals of finished tasks,
/// in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Counts of the waits for a near placement during an ownership. A group that waits together counts
/// once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NearWaitCounts {
    /// Waits that have begun.
    pub begun: u64,
    /// Waits that ended with a near start.
    pub ended_near: u64,
    /// Waits that ended with a remote start.
    pub ended_remote: u64,
}

/// The task that waits, or the first task of a step that waits as a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Waiter {
    pub(super) task: TaskId,
    pub(super) is_group: bool,
}

/// What a task has waited. It is kept until the task is done, as a task that is started again has
/// still waited before.
#[derive(Debug)]
struct WaitRow {
    waiter: Waiter,
    /// When it was last decided that the task waits; `None` if it has started since.
    decided_at: Option<MonotonicMillis>,
    /// Number of the scheduling pass of that decision.
    pass: u64,
    /// How long the task waited before that decision, in milliseconds.
    waited_ms: u64,
    /// Whether a part of the group has started remotely, so that a near start of the rest is no use.
    is_given_up: bool,
}

impl WaitRow {
    /// Returns how long the task has waited. The time between two passes counts if it was decided in
    /// the first of them that the task waits; if there was no room at all, nothing was decided.
    fn waited_ms(&self, pass: u64, now: MonotonicMillis) -> u64 {
        let latest_ms = match self.decided_at {
            Some(at) if self.pass + 1 >= pass => now.since(at).get(),
            _ => 0,
        };
        self.waited_ms.saturating_add(latest_ms)
    }
}

/// The waits for a near placement.
#[derive(Debug, Default)]
pub(super) struct NearWaits {
    /// Sorted by waiter.
    rows: Vec<WaitRow>,
    /// Number of the current scheduling pass.
    pass: u64,
    counts: NearWaitCounts,
    next_log_at: MonotonicMillis,
    next_clean_at: MonotonicMillis,
}

impl NearWaits {
    pub(super) const fn counts(&self) -> NearWaitCounts {
        self.counts
    }

    fn position(&self, waiter: Waiter) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&waiter, |row| row.waiter)
    }

    fn row(&self, waiter: Waiter) -> Option<&WaitRow> {
        self.position(waiter).ok().map(|at| &self.rows[at])
    }

    fn row_mut(&mut self, waiter: Waiter) -> &mut WaitRow {
        let at = self.position(waiter).unwrap_or_else(|at| {
            let row = WaitRow {
                waiter,
                decided_at: None,
                pass: 0,
                waited_ms: 0,
                is_given_up: false,
            };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }

    /// Returns how long a task or group has waited in all, in milliseconds.
    pub(super) fn waited_ms(&self, waiter: Waiter, now: MonotonicMillis) -> u64 {
        let row = self.row(waiter);
        row.map_or(0, |row| row.waited_ms(self.pass, now))
    }

    /// Returns whether a task or group waits now.
    pub(super) fn is_waiting(&self, waiter: Waiter) -> bool {
        self.row(waiter).is_some_and(|row| row.decided_at.is_some())
    }

    /// Returns whether a part of the group has started remotely.
    pub(super) fn is_given_up(&self, waiter: Waiter) -> bool {
        self.row(waiter).is_some_and(|row| row.is_given_up)
    }

    /// Records the decision that a task or group waits.
    pub(super) fn wait(&mut self, waiter: Waiter, now: MonotonicMillis) {
        let pass = self.pass;
        let row = self.row_mut(waiter);
        row.waited_ms = row.waited_ms(pass, now);
        row.pass = pass;
        if row.decided_at.replace(now).is_none() {
            self.counts.begun += 1;
        }
    }

    /// Records that a part of a group starts remotely. The rest does not wait again.
    pub(super) fn give_up(&mut self, waiter: Waiter) {
        self.row_mut(waiter).is_given_up = true;
    }

    /// Records that a task, or the whole of a group, has started.
    pub(super) fn started(&mut self, waiter: Waiter, near: bool, now: MonotonicMillis) {
        let Ok(at) = self.position(waiter) else {
            return;
        };
        let row = &mut self.rows[at];
        let waited_ms = row.waited_ms(self.pass, now);
        if row.decided_at.take().is_none() {
            return;
        }
        row.waited_ms = waited_ms;
        let decision = match near {
            true => {
                self.counts.ended_near += 1;
                "near"
            }
            false => {
                self.counts.ended_remote += 1;
                "remote"
            }
        };
        if now >= self.next_log_at {
            self.next_log_at = MonotonicMillis::new(now.get() + LOG_INTERVAL_MS);
            log::info!(
                job = waiter.task.job.to_string(), step = waiter.task.step,
                group = waiter.is_group, waited_ms = waited_ms, decision = decision,
                begun = self.counts.begun, near = self.counts.ended_near,
                remote = self.counts.ended_remote;
                "wait for a near placement ended"
            );
        }
    }

    /// Begins a scheduling pass, and forgets the tasks that are done or gone from time to time.
    pub(super) fn begin_pass(&mut self, is_open: impl Fn(Waiter) -> bool, now: MonotonicMillis) {
        self.pass += 1;
        if now >= self.next_clean_at && !self.rows.is_empty() {
            self.next_clean_at = MonotonicMillis::new(now.get() + LOG_INTERVAL_MS);
            self.rows.retain(|row| is_open(row.waiter));
        }
    }
}
