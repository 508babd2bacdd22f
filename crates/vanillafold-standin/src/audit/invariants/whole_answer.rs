//! Checks that each request ends exactly once, and that each answer is complete and belongs to its
//! request.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{ProcessState, ReceivedRow, Recording, Request};
use crate::audit::{Finding, Invariant};
use crate::trace::ReceivedOutcome;

const NOT_WHOLE: &str = "not_whole";
const OTHER_REQUEST: &str = "other_request";
const DOUBLED: &str = "doubled";
const LOST: &str = "lost";

pub(super) fn check(recording: &Recording) -> Finding {
    let kinds = [NOT_WHOLE, OTHER_REQUEST, DOUBLED, LOST];
    let mut finding = FindingBuilder::new(Invariant::WholeAnswer, &kinds);
    let mut answers = 0;
    let mut lost_by_killed_load = 0;
    for request in recording.requests.iter() {
        let id = recording.request_text(request);
        let received = recording.received_of(request);
        let sends = recording.sent_of(request).len();
        for row in received {
            answers += u64::from(row.outcome == ReceivedOutcome::Answer);
            check_end(&mut finding, row, id);
        }
        match received.len() {
            ends if ends > sends => finding.add_violation(DOUBLED, id),
            ends if ends == sends => {}
            _ if load_was_killed(recording, request) => lost_by_killed_load += 1,
            _ => finding.add_violation(LOST, id),
        }
    }
    finding.add_count("sent", recording.rows.sent.len() as u64);
    finding.add_count("answers", answers);
    finding.add_count("lost_by_killed_load", lost_by_killed_load);
    finding.finish(answers)
}

fn check_end(finding: &mut FindingBuilder, row: &ReceivedRow, id: &str) {
    let is_answer = row.outcome == ReceivedOutcome::Answer;
    match row.answered_request {
        Some(answered) if answered != row.request => finding.add_violation(OTHER_REQUEST, id),
        None if is_answer => finding.add_violation(OTHER_REQUEST, id),
        _ if is_answer && !row.whole => finding.add_violation(NOT_WHOLE, id),
        _ => {}
    }
}

fn load_was_killed(recording: &Recording, request: Request) -> bool {
    let killed = ProcessState::Killed;
    recording
        .sent_of(request)
        .iter()
        .any(|sent| recording.process_changed(sent.process, killed, sent.at_us, u64::MAX))
}
