//! Each team's slot time in pools while they were full.

use crate::audit::recording::{
    Name, NameMap, PoolChange, PoolState, Recording, pool_changes, work_intervals,
};

/// A pool counts as full while at least this percentage of its available slots runs work. It is
/// below 100 because a slot is idle between one piece of work and the next.
const FULL_PERCENT: u64 = 90;

/// Slot time in pools while they were full, in microseconds.
#[derive(Debug, Default)]
pub(super) struct FullPoolUsage {
    pub(super) by_team: NameMap<u64>,
    pub(super) total_us: u64,
}

impl FullPoolUsage {
    pub(super) fn of(recording: &Recording) -> Self {
        let mut sweep = Sweep::default();
        for change in changes(recording) {
            sweep.apply(&change);
        }
        sweep.total
    }
}

#[derive(Debug)]
enum ChangeKind {
    Pool(PoolChange),
    Start { pool: Name, team: Option<Name> },
    End { pool: Name, team: Option<Name> },
}

#[derive(Debug)]
struct Change {
    at_us: u64,
    kind: ChangeKind,
}

fn changes(recording: &Recording) -> Vec<Change> {
    let pools = pool_changes(recording).into_iter().map(|change| Change {
        at_us: change.at_us(),
        kind: ChangeKind::Pool(change),
    });
    let mut changes: Vec<Change> = pools.collect();
    for work in work_intervals(recording) {
        let (pool, team) = (work.pool, work.team);
        changes.push(Change {
            at_us: work.start_us,
            kind: ChangeKind::Start { pool, team },
        });
        // Work without an end is counted until the last event.
        changes.push(Change {
            at_us: work.end_us.min(recording.last_us.max(work.start_us)),
            kind: ChangeKind::End { pool, team },
        });
    }
    changes.sort_by_key(|change| change.at_us);
    changes
}

/// The work that runs in a pool.
#[derive(Debug, Default)]
struct PoolUsage {
    since_us: u64,
    running: u64,
    by_team: NameMap<u64>,
}

#[derive(Debug, Default)]
struct Sweep {
    states: NameMap<PoolState>,
    usages: NameMap<PoolUsage>,
    total: FullPoolUsage,
}

impl Sweep {
    fn apply(&mut self, change: &Change) {
        match &change.kind {
            ChangeKind::Pool(pool) => {
                self.accumulate_all(change.at_us);
                self.states.apply(pool);
            }
            ChangeKind::Start { pool, team } => {
                self.accumulate(*pool, change.at_us);
                let usage = self.usages.entry(*pool);
                usage.running += 1;
                team.iter()
                    .for_each(|team| *usage.by_team.entry(*team) += 1);
            }
            ChangeKind::End { pool, team } => {
                self.accumulate(*pool, change.at_us);
                let usage = self.usages.entry(*pool);
                usage.running -= 1;
                team.iter()
                    .for_each(|team| *usage.by_team.entry(*team) -= 1);
            }
        }
    }

    fn accumulate_all(&mut self, at_us: u64) {
        let pools: Vec<Name> = self.usages.iter().map(|(pool, _)| pool).collect();
        pools
            .into_iter()
            .for_each(|pool| self.accumulate(pool, at_us));
    }

    /// Adds the slot time since the pool's last change if the pool was full.
    fn accumulate(&mut self, pool: Name, at_us: u64) {
        let slots = self.states.get(pool).and_then(slots);
        let usage = self.usages.entry(pool);
        let elapsed_us = at_us - usage.since_us;
        usage.since_us = at_us;
        let full = slots.is_some_and(|slots| usage.running * 100 >= slots * FULL_PERCENT);
        if !full {
            return;
        }
        self.total.total_us += usage.running * elapsed_us;
        for (team, running) in usage.by_team.iter() {
            *self.total.by_team.entry(team) += running * elapsed_us;
        }
    }
}

/// Returns the number of available slots of a pool; `None` if it is unknown or zero.
fn slots(state: &PoolState) -> Option<u64> {
    let per_vm = state.size?.slots_per_vm?;
    let slots = u64::from(state.available()?) * u64::from(per_vm);
    (slots > 0).then_some(slots)
}
