//! The result of one seed.

use std::fmt;
use std::path::PathBuf;

use super::SoakOptions;
use super::evacuation::starts_in_evacuated_zones;
use super::history::{History, JobHistory};
use super::judge::Violation;
use super::plan::PlannedFault;
use crate::fleet::journal::{CallerRequest, Event, EventKind, Outcome};

/// The result of one seed. Its text is one line.
#[derive(Debug)]
pub struct SoakReport {
    seed: u64,
    /// Where the logs and the journal are, if a promise was broken.
    pub directory: PathBuf,
    /// The broken promises.
    pub violations: Vec<Violation>,
    /// What was seen how often, in the order of the line.
    counts: Vec<(String, usize)>,
}

impl SoakReport {
    pub(super) fn new(options: &SoakOptions, violations: Vec<Violation>, events: &[Event]) -> Self {
        let mut report = Self {
            seed: options.seed,
            directory: options.world.directory.clone(),
            violations,
            counts: Vec::new(),
        };
        report.count_requests(events);
        report.count_evacuations(events);
        report
    }

    pub(super) fn count_faults(&mut self, faults: &[PlannedFault], overdue_exits: u32) {
        let mut names: Vec<&str> = faults.iter().map(|fault| fault.kind.name()).collect();
        names.sort_unstable();
        for kind in names.chunk_by(|left, right| left == right) {
            self.add(kind[0], kind.len());
        }
        self.add("overdue-exits", usize::try_from(overdue_exits).unwrap_or(0));
    }

    fn count_evacuations(&mut self, events: &[Event]) {
        let is_request =
            |event: &&Event| matches!(event.kind, EventKind::EvacuationRequested { .. });
        self.add("evacuations", events.iter().filter(is_request).count());
        let starts = starts_in_evacuated_zones(events);
        self.add("starts-in-evacuated-zones", starts.len());
        let after_ms = starts
            .iter()
            .map(|start| events[start.at].at_ms - start.requested_ms);
        let latest_ms = after_ms.max().unwrap_or(0);
        self.add(
            "latest-start-after-ms",
            usize::try_from(latest_ms).unwrap_or(0),
        );
    }

    fn add(&mut self, name: impl Into<String>, count: usize) {
        self.counts.push((name.into(), count));
    }

    fn count_requests(&mut self, events: &[Event]) {
        let mut submissions = Vec::new();
        let mut starts = 0;
        let mut outcomes = Vec::new();
        for event in events {
            match &event.kind {
                EventKind::Sent {
                    attempt,
                    request: CallerRequest::Submit(_),
                    ..
                } => submissions.push(*attempt),
                EventKind::Over { attempt, outcome }
                    if submissions.binary_search(attempt).is_ok() =>
                {
                    outcomes.push(match outcome {
                        Outcome::Answered(200..=299, _) => "accepted".to_owned(),
                        Outcome::Answered(status, _) => status.to_string(),
                        Outcome::NotSent => "not-sent".to_owned(),
                        Outcome::Unanswered => "unanswered".to_owned(),
                    });
                }
                EventKind::Started { .. } => starts += 1,
                _ => {}
            }
        }
        self.add("submissions", submissions.len());
        outcomes.sort_unstable();
        for outcome in outcomes.chunk_by(|left, right| left == right) {
            self.add(outcome[0].clone(), outcome.len());
        }
        self.add("starts", starts);
        let history = History::new(events);
        let attempts = history.jobs.iter().flat_map(JobHistory::submissions);
        let without = attempts.filter(|attempt| attempt.is_rejected() && !attempt.is_refused());
        self.add("503-without-configuration", without.count());
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        let mut kinds: Vec<_> = self.violations.iter().map(|found| found.kind).collect();
        kinds.sort_unstable();
        if kinds.is_empty() {
            f.write_str(" ok")?;
        }
        for kind in kinds.chunk_by(|left, right| left == right) {
            write!(f, " {} {}", kind[0].name(), kind.len())?;
        }
        f.write_str(" |")?;
        for (name, count) in &self.counts {
            write!(f, " {name} {count}")?;
        }
        Ok(())
    }
}
