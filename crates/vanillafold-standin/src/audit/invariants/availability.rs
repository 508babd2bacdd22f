//! Checks that each pool keeps its minimum of available VMs through maintenance and failures.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{
    Name, NameMap, PoolChange, PoolState, Recording, VmState, pool_changes,
};
use crate::audit::{Finding, Invariant, SettleTime};

const BREACHED_IN_MAINTENANCE: &str = "breached_in_maintenance";
const BREACHED_BY_FAILURES: &str = "breached_by_failures";

pub(super) fn check(recording: &Recording, settle: SettleTime) -> Finding {
    let mut check = AvailabilityCheck::new(recording, settle);
    let changes = pool_changes(recording);
    for change in &changes {
        // The settle time of a raised budget may have passed since the last change.
        check.check_all_pools(change.at_us());
        check.apply(change);
    }
    check.check_all_pools(recording.last_us);
    check.finish()
}

/// The cause of a pool's current breach of its availability budget, if there is one.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Breach {
    #[default]
    None,
    ByFailures,
    InMaintenance,
}

#[derive(Debug)]
struct AvailabilityCheck<'a> {
    recording: &'a Recording,
    settle: SettleTime,
    finding: FindingBuilder,
    pools: NameMap<PoolState>,
    breaches: NameMap<Breach>,
    planned: u64,
    failed: u64,
}

impl<'a> AvailabilityCheck<'a> {
    fn new(recording: &'a Recording, settle: SettleTime) -> Self {
        let kinds = [BREACHED_IN_MAINTENANCE, BREACHED_BY_FAILURES];
        Self {
            recording,
            settle,
            finding: FindingBuilder::new(Invariant::AvailabilityBudget, &kinds),
            pools: NameMap::default(),
            breaches: NameMap::default(),
            planned: 0,
            failed: 0,
        }
    }

    fn apply(&mut self, change: &PoolChange) {
        let pool = change.pool();
        let vms_before = self.vms(pool);
        self.pools.apply(change);
        let shrank = self.vms(pool) < vms_before;
        match change {
            PoolChange::Vm(row) if vms_before.is_some() => match row.state {
                VmState::Up => {}
                VmState::DownPlanned => self.planned += 1,
                VmState::DownFailed => self.failed += 1,
            },
            _ => {}
        }
        self.check_pool(pool, change.at_us(), shrank);
    }

    fn vms(&self, pool: Name) -> Option<u32> {
        let size = self.pools.get(pool).and_then(|state| state.size);
        size.map(|size| size.vms)
    }

    fn check_all_pools(&mut self, at_us: u64) {
        let pools: Vec<Name> = self.pools.iter().map(|(pool, _)| pool).collect();
        for pool in pools {
            self.check_pool(pool, at_us, false);
        }
    }

    /// Checks a pool at `at_us`. `shrank` says that VMs were just moved out of it; moves are
    /// planned, so a breach by one counts as maintenance.
    fn check_pool(&mut self, pool: Name, at_us: u64, shrank: bool) {
        let Some(state) = self.pools.get(pool) else {
            return;
        };
        let from_us = self.settle.begin_us(at_us);
        let budget = state.min_available.in_force(from_us, at_us).min();
        let (Some(available), Some(budget)) = (state.available(), budget) else {
            return;
        };
        let now = match available < budget {
            false => Breach::None,
            true if shrank || state.in_maintenance() => Breach::InMaintenance,
            true => Breach::ByFailures,
        };
        let breach = self.breaches.entry(pool);
        let kind = match now {
            Breach::None => {
                *breach = Breach::None;
                return;
            }
            // A continuing breach is reported again only if maintenance adds to one by failures.
            now if now <= *breach => return,
            Breach::ByFailures => BREACHED_BY_FAILURES,
            Breach::InMaintenance => BREACHED_IN_MAINTENANCE,
        };
        *breach = now;
        let pool = self.recording.name_text(pool);
        let id = format_args!("{pool} with {available} of {budget} at {at_us}us");
        self.finding.add_violation(kind, id);
    }

    fn finish(mut self) -> Finding {
        self.finding.add_count("pools", self.breaches.len() as u64);
        self.finding.add_count("down_planned", self.planned);
        self.finding.add_count("down_failed", self.failed);
        self.finding.finish(self.planned + self.failed)
    }
}
