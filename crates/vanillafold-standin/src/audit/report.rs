//! The audit's report on one run.

use std::fmt;
use std::path::Path;

use serde::Serialize;

use crate::trace::TraceError;

use super::recording::Recording;
use super::{Finding, SettleTime, Summary, Verdict, invariants};

/// The amount of trace data that was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TraceSize {
    /// The number of files.
    pub files: u64,
    /// The number of complete events.
    pub events: u64,
    /// The number of lines left incomplete by killed processes.
    pub torn_lines: u64,
}

impl fmt::Display for TraceSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "trace files={} events={}", self.files, self.events)?;
        write!(f, " torn_lines={}", self.torn_lines)
    }
}

/// The audit's report on one run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The amount of trace data that was read.
    pub trace: TraceSize,
    /// One finding for each invariant, always in the same order.
    pub findings: Vec<Finding>,
    /// Counts of outcomes, latencies and each team's use.
    pub summary: Summary,
}

impl Report {
    /// Returns whether an invariant was violated.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        let mut findings = self.findings.iter();
        findings.any(|finding| finding.verdict == Verdict::Fail)
    }

    /// Returns whether the traces contained no event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.trace.events == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.trace)?;
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{}", self.summary)
    }
}

/// Audits all `*.jsonl` files of a directory.
///
/// # Errors
///
/// Returns a [`TraceError`] if the directory or a file can't be read, or if a complete line is not
/// an event.
pub fn audit_dir(dir: &Path, settle: SettleTime) -> Result<Report, TraceError> {
    let recording = Recording::load(dir)?;
    Ok(Report {
        trace: recording.size,
        findings: invariants::check_all(&recording, settle),
        summary: Summary::of(&recording, settle),
    })
}
