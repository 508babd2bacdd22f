//! A run without violations.

use vanillafold_standin::trace::{ReceivedOutcome, TraceEvent};

use crate::events::{
    answered_while_leaving, call, config, drain, evacuated, limit, non_idempotent, open_queue,
    pool_size, process, public_call, published, restored, view, vm_failure, vm_up, withdrawn,
};

/// Returns a run with observations for every invariant, each as close to a violation as is allowed.
pub(crate) fn clean_run() -> Vec<TraceEvent> {
    let setting = vec![
        pool_size(0, 4, 2),
        limit(0, "a", 2),
        limit(0, "b", 1),
        open_queue(1_100, "public"),
    ];
    [
        setting,
        clean_configuration(),
        clean_requests(),
        clean_faults_and_maintenance(),
    ]
    .concat()
}

pub(crate) fn clean_configuration() -> Vec<TraceEvent> {
    vec![
        published(10, 5),
        config(500, "d1", 5),
        config(600, "d2", 5),
        view(700, "d1", "v1", Some("quotes")),
        view(700, "d1", "v2", Some("quotes")),
        view(700, "d1", "v2", Some("quotes")),
        view(700, "d2", "v1", Some("quotes")),
        // A VM that was moved between two views is in one pool in each of them.
        view(900, "d2", "v1", Some("proofs")),
        published(4_000, 6),
        // The acknowledgement of an older edit came late.
        published(4_010, 4),
        config(4_900, "d1", 5),
        config(6_000, "d1", 6),
        config(6_000, "d2", 6),
        // A restarted daemon may start from an older offset, and an isolated one falls behind.
        published(6_020, 7),
        config(6_030, "d1", 7),
        TraceEvent::Started(process(6_050, "d1")),
        config(6_060, "d1", 6),
        TraceEvent::Isolated(process(6_100, "d2")),
        config(7_500, "d2", 6),
        TraceEvent::Rejoined(process(7_600, "d2")),
        config(8_000, "d2", 6),
        config(9_000, "d1", 7),
        config(9_000, "d2", 7),
    ]
}

pub(crate) fn clean_requests() -> Vec<TraceEvent> {
    [
        non_idempotent("r01", "ka:a").answered(1_000, "v1"),
        call("r02", "kb:b").refused(1_100, 300),
        public_call("r03").answered(1_200, "v2"),
        call("r05", "kw:a").answered(2_100, "v1"),
        vec![withdrawn(2_200, "kw")],
        call("r06", "kw:a").answered(2_300, "v1"),
        call("r07", "kw:a").refused(4_000, 202),
        // The repeat with the withdrawn key was refused; the first send was not.
        call("r13", "ka:a").answered(4_200, "v1"),
        call("r13", "kw:a").refused(4_250, 202),
        // After the limit of b was lowered, a start within the settle time is still compared with
        // the old limit.
        vec![limit(6_000, "b", 0)],
        call("r10", "kb:b").answered(6_500, "v1"),
        // Two requests at a time are the limit of a.
        call("r11", "ka:a").answered(7_000, "v1"),
        call("r12", "ka:a").answered(7_000, "v2"),
        // The work starts at the moment when the slot becomes free.
        call("r14", "ka:a").answered(7_010, "v1"),
    ]
    .concat()
}

pub(crate) fn clean_faults_and_maintenance() -> Vec<TraceEvent> {
    let lost = call("r04", "ka:a");
    let stopped = call("r09", "ka:a");
    vec![
        lost.sent(2_000),
        lost.start(2_005, "v3"),
        vm_failure(2_050, "v3"),
        lost.received(2_060, ReceivedOutcome::MayHaveRun, Some(402)),
        vm_up(2_400, "v3"),
        // The lost request started within the settle time.
        evacuated(1_200, "v3"),
        restored(6_000, "v3"),
        drain(2_500, "v4"),
        vm_up(3_600, "v4"),
        TraceEvent::Stopping(process(5_000, "d2")),
    ]
    .into_iter()
    .chain(answered_while_leaving(
        call("r08", "ka:a"),
        2_600,
        "v4",
        2_500,
    ))
    .chain(stopped.answered(4_990, "v1"))
    .collect()
}

pub(crate) const CLEAN_REPORT: &str = "\
trace files=1 events=89 torn_lines=0
PASS availability-budget pools=1 down_planned=1 down_failed=1 breached_in_maintenance=0 breached_by_failures=0
PASS one-pool views=3 vms=4 in_several=0 in_none=0
PASS team-key starts=12 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=0 without_key=0 unsent=0
PASS team-limit teams=2 starts=11 over_limit=0
PASS whole-answer sent=15 answers=11 lost_by_killed_load=0 not_whole=0 other_request=0 doubled=0 lost=0
PASS not-run-true refusals=3 ambiguous=1 ran=0
PASS at-most-once requests=1 starts=1 repeated=0
PASS leaving leaving_vms=1 starts_while_leaving=1 late=0
PASS evacuated-zone evacuated_vms=1 starts_while_evacuated=1 late=0
PASS graceful-stop stops=1 open_requests=1 excused=0 cut_off=0
PASS config-monotonic daemons=2 shown=11 went_back=0
PASS config-in-force published=4 unchecked=0 shown=7 excused=2 late=0
requests sent=15 answers=11 cut=0 no_answer=0 lost=0
not-run 202=2 300=1
may-have-run 402=1
answer-latency p50_us=20000 p99_us=20000
team a most_running=2 limit=2
team b most_running=1 limit=1
";
