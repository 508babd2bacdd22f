//! A leaving VM gets no new work after the settle time.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{Name, NameMap, Recording, StartRow, Timeline, VmRow, VmState};
use crate::audit::{Finding, Point, SettleTime};

const LATE: &str = "late";

pub(super) fn judge(recording: &Recording, settle: SettleTime) -> Finding {
    let mut finding = FindingBuilder::new(Point::Leaving, &[LATE]);
    let drains = Drains::of(recording);
    let mut leaving_vms: Vec<Name> = drains.vms().collect();
    let mut starts = 0;
    for start in &recording.rows.starts {
        let Some(since_us) = drains.leaving_since(start) else {
            continue;
        };
        starts += 1;
        leaving_vms.push(start.vm);
        if start.at_us > settle.end_us(since_us) {
            let vm = recording.name_text(start.vm);
            let request = recording.request_text(start.request);
            finding.offence(LATE, format_args!("{request} on {vm}"));
        }
    }
    leaving_vms.sort();
    leaving_vms.dedup();
    finding.seen("leaving_vms", leaving_vms.len() as u64);
    finding.seen("starts_while_leaving", starts);
    finding.judge(leaving_vms.len() as u64)
}

/// The state of each VM over time.
#[derive(Debug, Default)]
struct Drains {
    states: NameMap<Timeline<VmRow>>,
}

impl Drains {
    fn of(recording: &Recording) -> Self {
        let mut drains = Self::default();
        for row in &recording.rows.vms {
            drains.states.entry(row.vm).push(row.at_us, *row);
        }
        drains
    }

    fn vms(&self) -> impl Iterator<Item = Name> + '_ {
        let drained = |states: &Timeline<VmRow>| {
            let mut rows = states.in_force(0, u64::MAX);
            rows.any(|row| row.state == VmState::DownPlanned)
        };
        let states = self.states.iter();
        states
            .filter(move |(_, states)| drained(states))
            .map(|(vm, _)| vm)
    }

    /// Since when the VM was leaving by the runner's or the script's word, whichever is earlier.
    fn leaving_since(&self, start: &StartRow) -> Option<u64> {
        let drain = self.states.get(start.vm);
        let drain = drain.and_then(|states| states.at(start.at_us));
        let drain = drain.filter(|row| row.state == VmState::DownPlanned);
        let drained_us = drain.map(|row| row.at_us);
        drained_us.into_iter().chain(start.leaving_since_us).min()
    }
}
