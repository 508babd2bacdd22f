//! Verdicts on traces without violations, with one violation, without events and with torn lines.

use std::fs;

use vanillafold_standin::audit::{Invariant, audit_dir};
use vanillafold_standin::trace::{ReceivedOutcome, TraceEvent};

use crate::clean::{CLEAN_REPORT, clean_run};
use crate::events::{call, process};
use crate::faults::{FAULTS, change_received, drop_received};
use crate::run::{SETTLE, audit, failures, fresh_dir, write};

#[test]
fn a_clean_run_passes_every_invariant() {
    let events = clean_run();

    let report = audit("clean", &events);

    assert_eq!(report.to_string(), CLEAN_REPORT);
    assert!(!report.has_failed());
}

#[test]
fn each_injected_fault_fails_exactly_its_invariant() {
    for (index, fault) in FAULTS.iter().enumerate() {
        let mut events = clean_run();
        (fault.inject)(&mut events);

        let report = audit(&format!("fault-{index}"), &events);

        assert_eq!(failures(&report), [fault.line]);
    }
}

#[test]
fn every_invariant_has_an_injected_fault() {
    let report = audit("points", &clean_run());

    for finding in report.findings {
        let beginning = format!("FAIL {} ", finding.invariant);
        let mut faults = FAULTS.iter();
        assert!(
            faults.any(|fault| fault.line.starts_with(&beginning)),
            "{beginning}"
        );
    }
}

#[test]
fn nothing_is_observed_in_an_empty_directory() {
    let dir = fresh_dir("empty");

    let report = audit_dir(&dir, SETTLE).unwrap();

    assert!(report.is_empty());
    let expected = "\
trace files=0 events=0 torn_lines=0
NOT OBSERVED availability-budget
NOT OBSERVED one-pool
NOT OBSERVED team-key
NOT OBSERVED team-limit
NOT OBSERVED whole-answer
NOT OBSERVED not-run-true
NOT OBSERVED at-most-once
NOT OBSERVED leaving
NOT OBSERVED evacuated-zone
NOT OBSERVED graceful-stop
NOT OBSERVED config-monotonic
NOT OBSERVED config-in-force
requests sent=0 answers=0 cut=0 no_answer=0 lost=0
";
    assert_eq!(report.to_string(), expected);
}

#[test]
fn ambiguous_and_excused_cases_are_not_observed() {
    let repeated = call("x1", "ka:a");
    let mut events = repeated.refused(1_050, 113);
    events.extend(repeated.answered(1_000, "v1"));
    let stopped = call("x2", "ka:a");
    events.extend(stopped.answered(2_000, "v1"));
    change_received(&mut events, "x2", |received| {
        received.outcome = ReceivedOutcome::Cut;
    });
    events.push(TraceEvent::Stopping(process(2_010, "d2")));
    events.push(TraceEvent::Killed(process(2_012, "d2")));

    let report = audit("no-observation", &events);

    for invariant in [Invariant::NotRunTrue, Invariant::GracefulStop] {
        let mut findings = report.findings.iter();
        let finding = findings
            .find(|finding| finding.invariant == invariant)
            .unwrap();
        assert_eq!(finding.to_string(), format!("NOT OBSERVED {invariant}"));
    }
}

#[test]
fn the_json_report_has_the_names_and_counts_of_the_text() {
    let mut events = clean_run();
    drop_received(&mut events, "r01");

    let report = serde_json::to_value(audit("json", &events)).unwrap();

    let findings = report["findings"].as_array().unwrap();
    let finding = findings.iter().find(|it| it["point"] == "whole-answer");
    let expected = serde_json::json!({
        "point": "whole-answer",
        "verdict": "FAIL",
        "counts": [
            {"name": "sent", "value": 15},
            {"name": "answers", "value": 10},
            {"name": "lost_by_killed_load", "value": 0},
            {"name": "not_whole", "value": 0},
            {"name": "other_request", "value": 0},
            {"name": "doubled", "value": 0},
            {"name": "lost", "value": 1},
        ],
        "first": [{"name": "lost", "id": "r01"}],
    });
    assert_eq!(finding, Some(&expected));
    assert_eq!(findings[0]["verdict"], "PASS");
}

#[test]
fn a_missing_directory_is_an_error() {
    let dir = fresh_dir("missing").join("none");

    let error = audit_dir(&dir, SETTLE).unwrap_err();

    assert_eq!(error.path(), dir);
}

#[test]
fn a_torn_last_line_is_counted() {
    let dir = fresh_dir("torn");
    write(&dir, "all", &clean_run());
    let torn = r#"{"kind":"start","at_us":9000000,"process":"runner-v1","v"#;
    fs::write(dir.join("killed.jsonl"), torn).unwrap();

    let report = audit_dir(&dir, SETTLE).unwrap();

    assert_eq!(failures(&report), [""; 0]);
    assert_eq!((report.trace.files, report.trace.torn_lines), (2, 1));
}
