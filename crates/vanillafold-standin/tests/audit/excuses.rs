//! Cases that look like violations but are not the system's fault.

use vanillafold_standin::trace::{ReceivedOutcome, TraceEvent};

use crate::clean::clean_run;
use crate::events::{DEADLINE_MS, call, drain, limit, process, us, vm_failure, vm_up};
use crate::faults::{change_received, cut_at_stop, drop_received, hanging_work_fills_limit};
use crate::run::{audit, failures};

#[test]
fn a_killed_load_generator_may_lose_lines_of_its_trace() {
    let mut events = clean_run();
    drop_received(&mut events, "r12");
    events.push(call("x1", "ka:a").start(7_100, "v1"));
    events.push(TraceEvent::Killed(process(7_200, "load-1")));

    let report = audit("killed-load", &events);

    assert_eq!(failures(&report), [""; 0]);
    assert_eq!(report.summary.lost, 1);
}

#[test]
fn lost_work_no_longer_counts_as_running() {
    let losses = [
        vec![TraceEvent::Killed(process(6_850, "runner-v3"))],
        vec![TraceEvent::Started(process(6_850, "runner-v3"))],
        vec![vm_failure(6_850, "v3")],
        vec![drain(6_820, "v3"), vm_up(6_850, "v3")],
    ];
    for loss in losses {
        let mut events = clean_run();
        hanging_work_fills_limit(&mut events);
        let retried = call("x1", "ka:a");
        events.extend([retried.start(6_830, "v2"), retried.end(6_840, "v2")]);
        events.extend(loss);

        let report = audit("lost-work", &events);

        assert_eq!(failures(&report), [""; 0]);
    }
}

#[test]
fn requests_interrupted_by_other_faults_do_not_violate_the_graceful_stop() {
    let faults: [fn(&mut Vec<TraceEvent>); 6] = [
        |events| events.push(TraceEvent::Killed(process(5_001, "d2"))),
        |events| events.push(TraceEvent::Killed(process(5_001, "runner-v1"))),
        |events| events.push(vm_failure(5_001, "v1")),
        |events| events.iter_mut().for_each(mark_cut),
        |events| change_received(events, "r09", |it| it.at_us = us(4_990 + DEADLINE_MS)),
        |events| {
            change_received(events, "r09", |it| it.daemon = None);
            events.push(TraceEvent::Killed(process(5_001, "d7")));
        },
    ];
    for fault in faults {
        let mut events = clean_run();
        cut_at_stop(&mut events);
        fault(&mut events);

        let report = audit("excused-cut", &events);

        assert_eq!(failures(&report), [""; 0]);
    }
}

fn mark_cut(event: &mut TraceEvent) {
    match event {
        TraceEvent::End(end) if end.request.as_str() == "r09" => end.cut = true,
        _ => {}
    }
}

#[test]
fn a_refused_repeat_of_a_request_that_ran_is_ambiguous() {
    let mut events = clean_run();
    events.extend(call("r01", "ka:a").refused(1_030, 113));

    let report = audit("repeat", &events);

    assert_eq!(failures(&report), [""; 0]);
    let line = "PASS not-run-true refusals=4 ambiguous=2 ran=0";
    let lines: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    assert!(lines.contains(&line.to_owned()), "{lines:?}");
}

#[test]
fn work_that_continues_under_a_lowered_limit_is_no_violation() {
    let mut events = clean_run();
    let long = call("x1", "ka:a");
    events.extend([
        long.sent(7_100),
        long.start(7_105, "v1"),
        limit(7_200, "a", 0),
        long.end(8_900, "v1"),
        long.received(8_905, ReceivedOutcome::Answer, Some(0)),
    ]);

    let report = audit("lowered", &events);

    assert_eq!(failures(&report), [""; 0]);
}
