//! What was refused as not run did not run, and never will.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::Recording;
use crate::audit::{Finding, Point};
use crate::trace::ReceivedOutcome;

const RAN: &str = "ran";

pub(super) fn judge(recording: &Recording) -> Finding {
    let mut finding = FindingBuilder::new(Point::NotRunTrue, &[RAN]);
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
            // Another send of the same id, not refused, may be the one that ran.
            _ if refused < recording.sent_of(request).len() => ambiguous += refused as u64,
            _ => finding.offence(RAN, recording.request_text(request)),
        }
    }
    finding.seen("refusals", refusals);
    finding.seen("ambiguous", ambiguous);
    finding.judge(refusals - ambiguous)
}
