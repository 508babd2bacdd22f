//! Writes events as traces, audits them and returns the failed invariants.

use std::fs;
use std::path::{Path, PathBuf};

use vanillafold_standin::audit::{Invariant, Report, SettleTime, Verdict, audit_dir};
use vanillafold_standin::trace::{ProcessName, TraceEvent, TraceWriter};

/// The settle time of these tests, 1 s.
pub(crate) const SETTLE: SettleTime = SettleTime::from_ms(1_000);

pub(crate) fn fresh_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("audit-{name}"));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

pub(crate) fn write(dir: &Path, process: &str, events: &[TraceEvent]) {
    let mut writer = TraceWriter::create(dir, &ProcessName::from(process)).unwrap();
    events.iter().for_each(|event| writer.write(event).unwrap());
    writer.close().unwrap();
}

pub(crate) fn audit(name: &str, events: &[TraceEvent]) -> Report {
    let dir = fresh_dir(name);
    write(&dir, "all", events);
    audit_dir(&dir, SETTLE).unwrap()
}

pub(crate) fn failures(report: &Report) -> Vec<String> {
    let findings = report.findings.iter();
    let failed = findings.filter(|finding| finding.verdict == Verdict::Fail);
    failed.map(ToString::to_string).collect()
}

pub(crate) fn failed_invariants(report: &Report) -> Vec<Invariant> {
    let findings = report.findings.iter();
    let failed = findings.filter(|finding| finding.verdict == Verdict::Fail);
    failed.map(|finding| finding.invariant).collect()
}
