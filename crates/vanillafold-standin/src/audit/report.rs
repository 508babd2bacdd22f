//! The audit's report on one run.

use std::fmt;
use std::path::Path;

use serde::Serialize;

use crate::trace::TraceError;

use super::recording::Recording;
use super::{Finding, SettleTime, Summary, Verdict, invariants};

/// How much was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TraceSize {
    /// Files.
    pub files: u64,
    /// Whole events.
    pub events: u64,
    /// Lines that a kill tore off.
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
    /// How much was read.
    pub trace: TraceSize,
    /// One finding for each point, always in the same order.
    pub findings: Vec<Finding>,
    /// What the run did.
    pub summary: Summary,
}

impl Report {
    /// Whether a point did not hold.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        let mut findings = self.findings.iter();
        findings.any(|finding| finding.verdict == Verdict::Fail)
    }

    /// Whether there was nothing to judge.
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
/// A [`TraceError`] if the directory or a file can't be read, or a whole line is no event.
pub fn audit_dir(dir: &Path, settle: SettleTime) -> Result<Report, TraceError> {
    let recording = Recording::load(dir)?;
    Ok(Report {
        trace: recording.size,
        findings: invariants::check_all(&recording, settle),
        summary: Summary::of(&recording, settle),
    })
}
