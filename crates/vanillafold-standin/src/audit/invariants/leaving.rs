//! Checks that a leaving VM is given no new work after the settle time.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{Name, NameMap, Recording, StartRow, Timeline, VmRow, VmState};
use crate::audit::{Finding, Invariant, SettleTime};

const LATE: &str = "late";

pub(super) fn check(recording: &Recording, settle: SettleTime) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::Leaving, &[LATE]);
    let vm_timelines = VmTimelines::of(recording);
    let mut leaving_vms: Vec<Name> = vm_timelines.drained_vms().collect();
    let mut starts = 0;
    for start in &recording.rows.starts {
        let Some(since_us) = vm_timelines.leaving_since(start) else {
            continue;
        };
        starts += 1;
        leaving_vms.push(start.vm);
        if start.at_us > settle.end_us(since_us) {
            let vm = recording.name_text(start.vm);
            let request = recording.request_text(start.request);
            finding.add_violation(LATE, format_args!("{request} on {vm}"));
        }
    }
    leaving_vms.sort();
    leaving_vms.dedup();
    finding.add_count("leaving_vms", leaving_vms.len() as u64);
    finding.add_count("starts_while_leaving", starts);
    finding.finish(leaving_vms.len() as u64)
}

/// The states of each VM over time.
#[derive(Debug, Default)]
struct VmTimelines {
    by_vm: NameMap<Timeline<VmRow>>,
}

impl VmTimelines {
    fn of(recording: &Recording) -> Self {
        let mut vm_timelines = Self::default();
        for row in &recording.rows.vms {
            vm_timelines.by_vm.entry(row.vm).push(row.at_us, *row);
        }
        vm_timelines
    }

    fn drained_vms(&self) -> impl Iterator<Item = Name> + '_ {
        let drained = |states: &Timeline<VmRow>| {
            let mut rows = states.in_force(0, u64::MAX);
            rows.any(|row| row.state == VmState::DownPlanned)
        };
        let by_vm = self.by_vm.iter();
        by_vm
            .filter(move |(_, states)| drained(states))
            .map(|(vm, _)| vm)
    }

    /// Returns the time since which the VM of a start was leaving, as recorded by the runner or by
    /// the script that drained it, whichever is earlier; `None` if it was not leaving.
    fn leaving_since(&self, start: &StartRow) -> Option<u64> {
        let drain = self.by_vm.get(start.vm);
        let drain = drain.and_then(|states| states.at(start.at_us));
        let drain = drain.filter(|row| row.state == VmState::DownPlanned);
        let drained_us = drain.map(|row| row.at_us);
        drained_us.into_iter().chain(start.leaving_since_us).min()
    }
}
