//! Checks that a non-idempotent request is started at most once.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{Recording, Request};
use crate::audit::{Finding, Invariant};

const REPEATED: &str = "repeated";

pub(super) fn check(recording: &Recording) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::AtMostOnce, &[REPEATED]);
    let mut requests = 0;
    let mut starts = 0;
    for request in recording.requests.iter() {
        let runs = recording.starts_of(request).len() as u64;
        if runs == 0 || is_idempotent(recording, request) {
            continue;
        }
        requests += 1;
        starts += runs;
        if runs > 1 {
            finding.add_violation(REPEATED, recording.request_text(request));
        }
    }
    finding.add_count("requests", requests);
    finding.add_count("starts", starts);
    finding.finish(requests)
}

/// A request is idempotent only if its load generator and all its runners recorded it as such.
fn is_idempotent(recording: &Recording, request: Request) -> bool {
    let sent = recording.sent_of(request).iter().all(|row| row.idempotent);
    sent && recording
        .starts_of(request)
        .iter()
        .all(|row| row.idempotent)
}
