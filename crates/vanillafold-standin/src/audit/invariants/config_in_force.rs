//! Checks that an accepted configuration edit is in force at each daemon within the settle time.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{ConfigRow, NameMap, ProcessState, PublishedRow, Recording};
use crate::audit::{Finding, Invariant, SettleTime};

const LATE: &str = "late";

pub(super) fn check(recording: &Recording, settle: SettleTime) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::ConfigInForce, &[LATE]);
    let required = RequiredOffsets::of(recording, settle);
    let mut late: NameMap<Vec<u64>> = NameMap::default();
    let mut checked = 0;
    let mut excused = 0;
    for row in &recording.rows.configs {
        match required.offset_at(row.at_us) {
            None => {}
            Some(_) if is_isolated(recording, row, settle) => excused += 1,
            Some(offset) if row.offset >= offset => checked += 1,
            Some(offset) => {
                checked += 1;
                let missed = late.entry(row.process);
                if !missed.contains(&offset) {
                    missed.push(offset);
                    let daemon = recording.name_text(row.process);
                    finding.add_violation(LATE, format_args!("{daemon} for {offset}"));
                }
            }
        }
    }
    let last_us = recording.rows.configs.last().map_or(0, |row| row.at_us);
    let unchecked = recording
        .rows
        .published
        .iter()
        .filter(|row| settle.end_us(row.at_us) >= last_us)
        .count();
    finding.add_count("published", recording.rows.published.len() as u64);
    finding.add_count("unchecked", unchecked as u64);
    finding.add_count("shown", checked);
    finding.add_count("excused", excused);
    finding.finish(checked)
}

/// The lowest offset that each daemon must show, over time.
#[derive(Debug)]
struct RequiredOffsets {
    steps: Vec<PublishedRow>,
}

impl RequiredOffsets {
    fn of(recording: &Recording, settle: SettleTime) -> Self {
        let mut latest = 0;
        let steps = recording.rows.published.iter().map(|row| {
            latest = latest.max(row.offset);
            PublishedRow {
                at_us: settle.end_us(row.at_us),
                offset: latest,
            }
        });
        Self {
            steps: steps.collect(),
        }
    }

    fn offset_at(&self, at_us: u64) -> Option<u64> {
        let count = self.steps.partition_point(|step| step.at_us < at_us);
        count.checked_sub(1).map(|last| self.steps[last].offset)
    }
}

/// Returns whether the daemon was isolated, or rejoined no longer ago than the settle time.
fn is_isolated(recording: &Recording, row: &ConfigRow, settle: SettleTime) -> bool {
    let changes = recording.rows.processes.iter();
    let last = changes
        .take_while(|change| change.at_us <= row.at_us)
        .filter(|change| change.process == row.process)
        .filter(|change| {
            matches!(
                change.state,
                ProcessState::Isolated | ProcessState::Rejoined
            )
        })
        .last();
    match last {
        Some(change) if change.state == ProcessState::Isolated => true,
        Some(change) => settle.end_us(change.at_us) >= row.at_us,
        None => false,
    }
}
