//! Checks that a request refused with the outcome `not-run` was started neither before nor after.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::Recording;
use crate::audit::{Finding, Invariant};
use crate::trace::ReceivedOutcome;

const RAN: &str = "ran";

pub(super) fn check(recording: &Recording) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::NotRunTrue, &[RAN]);
    let mut refusals = 0;
    let mut ambiguous = 0;
    for request in recording.requests.iter() {
        let received = recording.received_of(request).iter();
        let refused = received
            .filter(|row| row.outcome == ReceivedOutcome::NotRun)
            .count();
        let ran = !recording.starts_of(request).is_empty();
        refusals += refused as u64;
        match refused {
            0 => {}
            _ if !ran => {}
            // Another send of the same id that was not refused may have caused the start.
            _ if refused < recording.sent_of(request).len() => ambiguous += refused as u64,
            _ => finding.add_violation(RAN, recording.request_text(request)),
        }
    }
    finding.add_count("refusals", refusals);
    finding.add_count("ambiguous", ambiguous);
    finding.finish(refusals - ambiguous)
}
