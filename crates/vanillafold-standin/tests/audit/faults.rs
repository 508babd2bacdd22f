//! Faults that can be injected into a clean run, each of which violates one invariant.

use vanillafold_standin::trace::{Received, ReceivedOutcome, TraceEvent};

use crate::events::{
    Call, answered_while_leaving, call, config, drain, non_idempotent, pool_size, process,
    public_call, view, vm_failure,
};

#[derive(Debug)]
pub(crate) struct Fault {
    /// Changes the events of a clean run so that they violate one invariant.
    pub(crate) inject: fn(&mut Vec<TraceEvent>),
    /// The only line of the report that then fails.
    pub(crate) line: &'static str,
}

pub(crate) fn change_received(events: &mut [TraceEvent], id: &str, change: fn(&mut Received)) {
    let mut received = events.iter_mut().filter_map(|event| match event {
        TraceEvent::Received(received) if received.request.as_str() == id => Some(received),
        _ => None,
    });
    change(received.next().unwrap());
}

pub(crate) fn drop_received(events: &mut Vec<TraceEvent>, id: &str) {
    events.retain(|event| match event {
        TraceEvent::Received(received) => received.request.as_str() != id,
        _ => true,
    });
}

pub(crate) fn drop_vm_up(events: &mut Vec<TraceEvent>, vm: &str) {
    events.retain(|event| match event {
        TraceEvent::VmUp(change) => change.vm.as_str() != vm,
        _ => true,
    });
}

/// Adds the request `asked`, whose work is recorded as that of `worked`.
pub(crate) fn work_for(events: &mut Vec<TraceEvent>, asked: Call, worked: Call) {
    let mut answered = asked.answered(3_000, "v1");
    answered[1] = worked.start(3_005, "v1");
    events.extend(answered);
}

/// Adds work without an end, which takes up one of the two requests that team a may have running.
pub(crate) fn hanging_work_fills_limit(events: &mut Vec<TraceEvent>) {
    let hanging = call("x1", "ka:a");
    events.extend([
        hanging.sent(6_800),
        hanging.start(6_805, "v3"),
        hanging.received(6_900, ReceivedOutcome::MayHaveRun, Some(403)),
    ]);
}

/// Adds a request that runs twice; `asked` and `worked` may differ in whether it is idempotent.
pub(crate) fn started_twice(events: &mut Vec<TraceEvent>, asked: Call, worked: Call) {
    events.extend([
        asked.sent(3_000),
        worked.start(3_005, "v1"),
        worked.end(3_010, "v1"),
        worked.start(3_015, "v2"),
        worked.end(3_020, "v2"),
        asked.received(3_025, ReceivedOutcome::Answer, Some(0)),
    ]);
}

pub(crate) fn raised_budget_is_not_met(events: &mut Vec<TraceEvent>) {
    drop_vm_up(events, "v4");
    events.push(pool_size(2_600, 4, 4));
}

pub(crate) fn cut_at_stop(events: &mut [TraceEvent]) {
    change_received(events, "r09", |received| {
        received.outcome = ReceivedOutcome::Cut;
        received.whole = false;
    });
}

pub(crate) fn no_answer_at_stop(events: &mut [TraceEvent]) {
    change_received(events, "r09", |received| {
        received.outcome = ReceivedOutcome::NoAnswer;
        received.answered_request = None;
        received.daemon = None;
    });
}

pub(crate) const FAULTS: &[Fault] = &[
    Fault {
        inject: |events| events.extend(["v1", "v2", "v3"].map(|vm| drain(9_500, vm))),
        line: "FAIL availability-budget pools=1 down_planned=4 down_failed=1 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 1 of 2 at 9500000us",
    },
    Fault {
        inject: |events| events.extend(["v1", "v2", "v3"].map(|vm| vm_failure(9_500, vm))),
        line: "FAIL availability-budget pools=1 down_planned=1 down_failed=4 breached_in_maintenance=0 breached_by_failures=1 first: breached_by_failures quotes with 1 of 2 at 9500000us",
    },
    Fault {
        inject: |events| events.push(pool_size(9_500, 1, 2)),
        line: "FAIL availability-budget pools=1 down_planned=1 down_failed=1 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 1 of 2 at 9500000us",
    },
    Fault {
        inject: raised_budget_is_not_met,
        line: "FAIL availability-budget pools=1 down_planned=1 down_failed=1 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 3 of 4 at 9000000us",
    },
    Fault {
        inject: |events| events.push(pool_size(2_550, 4, 4)),
        line: "FAIL availability-budget pools=1 down_planned=1 down_failed=1 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 3 of 4 at 3600000us",
    },
    Fault {
        inject: |events| {
            events.push(drain(9_400, "v1"));
            events.extend(["v1", "v2", "v3"].map(|vm| vm_failure(9_500, vm)));
        },
        line: "FAIL availability-budget pools=1 down_planned=2 down_failed=4 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 1 of 2 at 9500000us",
    },
    Fault {
        inject: |events| events.push(view(900, "d2", "v1", Some("quotes"))),
        line: "FAIL one-pool views=3 vms=4 in_several=1 in_none=0 first: in_several v1 at d2",
    },
    Fault {
        inject: |events| events.push(view(700, "d2", "v2", None)),
        line: "FAIL one-pool views=3 vms=5 in_several=0 in_none=1 first: in_none v2 at d2",
    },
    Fault {
        inject: |events| work_for(events, call("x1", "kb:b"), call("x1", "ka:a")),
        line: "FAIL team-key starts=13 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=1 after_withdrawal=0 without_key=0 unsent=0 first: other_team x1",
    },
    Fault {
        inject: |events| work_for(events, call("x1", "kb:b"), call("x1", "")),
        line: "FAIL team-key starts=13 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=1 after_withdrawal=0 without_key=0 unsent=0 first: other_team x1",
    },
    Fault {
        inject: |events| work_for(events, public_call("x1"), call("x1", "ka:a")),
        line: "FAIL team-key starts=13 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=1 after_withdrawal=0 without_key=0 unsent=0 first: other_team x1",
    },
    Fault {
        inject: |events| events.extend(public_call("x1").answered(1_050, "v2")),
        line: "FAIL team-key starts=13 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=0 without_key=1 unsent=0 first: without_key x1",
    },
    Fault {
        inject: |events| events.extend(call("x1", "kw:a").answered(3_200, "v1")),
        line: "FAIL team-key starts=13 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=1 without_key=0 unsent=0 first: after_withdrawal x1",
    },
    Fault {
        inject: |events| events.extend(call("x1", "").answered(3_200, "v1")),
        line: "FAIL team-key starts=13 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=0 without_key=1 unsent=0 first: without_key x1",
    },
    Fault {
        inject: |events| events.push(call("x1", "ka:a").start(9_000, "v1")),
        line: "FAIL team-key starts=13 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=0 without_key=0 unsent=1 first: unsent x1",
    },
    Fault {
        inject: |events| events.extend(call("x1", "ka:a").answered(7_001, "v3")),
        line: "FAIL team-limit teams=2 starts=12 over_limit=1 first: over_limit x1",
    },
    Fault {
        inject: hanging_work_fills_limit,
        line: "FAIL team-limit teams=2 starts=12 over_limit=1 first: over_limit r12",
    },
    Fault {
        inject: |events| {
            // A draining VM continues its work.
            hanging_work_fills_limit(events);
            events.push(drain(6_850, "v3"));
        },
        line: "FAIL team-limit teams=2 starts=12 over_limit=1 first: over_limit r12",
    },
    Fault {
        inject: |events| events.extend(call("x1", "kb:b").answered(7_000, "v3")),
        line: "FAIL team-limit teams=2 starts=12 over_limit=1 first: over_limit x1",
    },
    Fault {
        inject: |events| change_received(events, "r01", |received| received.whole = false),
        line: "FAIL whole-answer sent=15 answers=11 lost_by_killed_load=0 not_whole=1 other_request=0 doubled=0 lost=0 first: not_whole r01",
    },
    Fault {
        inject: |events| {
            change_received(events, "r01", |received| {
                received.answered_request = Some("r03".into());
            });
        },
        line: "FAIL whole-answer sent=15 answers=11 lost_by_killed_load=0 not_whole=0 other_request=1 doubled=0 lost=0 first: other_request r01",
    },
    Fault {
        inject: |events| {
            change_received(events, "r01", |received| received.answered_request = None);
        },
        line: "FAIL whole-answer sent=15 answers=11 lost_by_killed_load=0 not_whole=0 other_request=1 doubled=0 lost=0 first: other_request r01",
    },
    Fault {
        inject: |events| {
            events.push(call("x1", "ka:a").received(1_030, ReceivedOutcome::Answer, Some(0)));
        },
        line: "FAIL whole-answer sent=15 answers=12 lost_by_killed_load=0 not_whole=0 other_request=0 doubled=1 lost=0 first: doubled x1",
    },
    Fault {
        inject: |events| {
            events.push(call("r01", "ka:a").received(1_030, ReceivedOutcome::Answer, Some(0)));
        },
        line: "FAIL whole-answer sent=15 answers=12 lost_by_killed_load=0 not_whole=0 other_request=0 doubled=1 lost=0 first: doubled r01",
    },
    Fault {
        inject: |events| drop_received(events, "r01"),
        line: "FAIL whole-answer sent=15 answers=10 lost_by_killed_load=0 not_whole=0 other_request=0 doubled=0 lost=1 first: lost r01",
    },
    Fault {
        inject: |events| {
            let refused = call("r02", "kb:b");
            events.extend([refused.start(5_500, "v2"), refused.end(5_510, "v2")]);
        },
        line: "FAIL not-run-true refusals=3 ambiguous=1 ran=1 first: ran r02",
    },
    Fault {
        inject: |events| started_twice(events, non_idempotent("x1", "ka:a"), call("x1", "ka:a")),
        line: "FAIL at-most-once requests=2 starts=3 repeated=1 first: repeated x1",
    },
    Fault {
        inject: |events| started_twice(events, call("x1", "ka:a"), non_idempotent("x1", "ka:a")),
        line: "FAIL at-most-once requests=2 starts=3 repeated=1 first: repeated x1",
    },
    Fault {
        inject: |events| {
            events.extend(answered_while_leaving(
                call("x1", "ka:a"),
                3_000,
                "v2",
                1_900,
            ));
        },
        line: "FAIL leaving leaving_vms=2 starts_while_leaving=2 late=1 first: late x1 on v2",
    },
    Fault {
        inject: |events| events.extend(call("x1", "ka:a").answered(3_500, "v4")),
        line: "FAIL leaving leaving_vms=1 starts_while_leaving=2 late=1 first: late x1 on v4",
    },
    Fault {
        inject: |events| events.extend(call("x1", "ka:a").answered(3_500, "v3")),
        line: "FAIL evacuated-zone evacuated_vms=1 starts_while_evacuated=2 late=1 first: late x1 on v3",
    },
    Fault {
        inject: |events| cut_at_stop(events),
        line: "FAIL graceful-stop stops=1 open_requests=1 excused=0 cut_off=1 first: cut_off r09 at d2",
    },
    Fault {
        inject: |events| {
            // The kill of another daemon does not excuse the interruption.
            cut_at_stop(events);
            events.push(TraceEvent::Killed(process(5_001, "d1")));
        },
        line: "FAIL graceful-stop stops=1 open_requests=1 excused=0 cut_off=1 first: cut_off r09 at d2",
    },
    Fault {
        inject: |events| no_answer_at_stop(events),
        line: "FAIL graceful-stop stops=1 open_requests=1 excused=0 cut_off=1 first: cut_off r09 at d2",
    },
    Fault {
        inject: |events| events.extend([config(9_100, "d1", 8), config(9_200, "d1", 7)]),
        line: "FAIL config-monotonic daemons=2 shown=13 went_back=1 first: went_back d1 from 8 to 7",
    },
    Fault {
        inject: |events| events.push(config(5_100, "d1", 5)),
        line: "FAIL config-in-force published=4 unchecked=0 shown=8 excused=2 late=1 first: late d1 for 6",
    },
];
