//! Checks that the configuration offset that a daemon process shows never decreases.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{ConfigRow, NameMap, ProcessState, Recording};
use crate::audit::{Finding, Invariant};

const WENT_BACK: &str = "went_back";

/// The offset that a daemon showed last.
#[derive(Debug, Default)]
struct Shown {
    at_us: u64,
    offset: u64,
}

pub(super) fn check(recording: &Recording) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::ConfigMonotonic, &[WENT_BACK]);
    let mut daemons: NameMap<Option<Shown>> = NameMap::default();
    let mut compared = 0;
    for row in &recording.rows.configs {
        let shown = daemons.entry(row.process);
        let before = shown.replace(Shown {
            at_us: row.at_us,
            offset: row.offset,
        });
        let before = before.filter(|before| !restarted(recording, row, before.at_us));
        let Some(before) = before else { continue };
        compared += 1;
        if row.offset < before.offset {
            let daemon = recording.name_text(row.process);
            let (from, to) = (before.offset, row.offset);
            finding.add_violation(WENT_BACK, format_args!("{daemon} from {from} to {to}"));
        }
    }
    finding.add_count("daemons", daemons.len() as u64);
    finding.add_count("shown", recording.rows.configs.len() as u64);
    finding.finish(compared)
}

fn restarted(recording: &Recording, row: &ConfigRow, since_us: u64) -> bool {
    let started = ProcessState::Started;
    recording.process_changed(row.process, started, since_us, row.at_us)
}
