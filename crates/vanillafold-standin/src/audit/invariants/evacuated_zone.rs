//! Checks that a VM of an evacuated zone is given no new work after the settle time.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{EvacuationRow, NameMap, Recording, Timeline};
use crate::audit::{Finding, Invariant, SettleTime};

const LATE: &str = "late";

pub(super) fn check(recording: &Recording, settle: SettleTime) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::EvacuatedZone, &[LATE]);
    let mut by_vm: NameMap<Timeline<EvacuationRow>> = NameMap::default();
    for row in &recording.rows.evacuations {
        by_vm.entry(row.vm).push(row.at_us, *row);
    }
    let mut starts = 0;
    for start in &recording.rows.starts {
        let evacuation = by_vm.get(start.vm).and_then(|rows| rows.at(start.at_us));
        let Some(evacuation) = evacuation.filter(|row| row.is_evacuated) else {
            continue;
        };
        starts += 1;
        if start.at_us > settle.end_us(evacuation.at_us) {
            let vm = recording.name_text(start.vm);
            let request = recording.request_text(start.request);
            finding.add_violation(LATE, format_args!("{request} on {vm}"));
        }
    }
    finding.add_count("evacuated_vms", by_vm.len() as u64);
    finding.add_count("starts_while_evacuated", starts);
    finding.finish(by_vm.len() as u64)
}
