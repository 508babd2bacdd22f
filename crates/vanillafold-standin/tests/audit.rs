//! The audit passes clean runs and finds each planted fault, and only that.
//!
//! Times are in milliseconds; the settle time is one second.

use std::fs;
use std::path::{Path, PathBuf};

use quickcheck::{Arbitrary, Gen};
use vanillafold_standin::audit::{Point, Report, SettleTime, Verdict, audit_dir};
use vanillafold_standin::trace::{
    Config, End, Limit, OpenQueue, PoolOf, PoolSize, ProcessChange, ProcessName, Published,
    Received, ReceivedOutcome, Sent, Start, TraceEvent, TraceWriter, VmChange, Withdrawn,
};

const SETTLE: SettleTime = SettleTime::from_ms(1_000);
const DEADLINE_MS: u64 = 2_000;
const US_PER_MS: u64 = 1_000;

// Fixtures.

fn us(at_ms: u64) -> u64 {
    at_ms * US_PER_MS
}

/// A request as its load saw it: `key` is `key:team`, or empty.
#[derive(Debug, Clone, Copy)]
struct Call {
    id: &'static str,
    queue: &'static str,
    key: &'static str,
    idempotent: bool,
}

fn call(id: &'static str, key: &'static str) -> Call {
    Call {
        id,
        queue: "quotes",
        key,
        idempotent: true,
    }
}

impl Call {
    fn team(&self) -> Option<&'static str> {
        self.key.split_once(':').map(|(_, team)| team)
    }

    fn sent(&self, at_ms: u64) -> TraceEvent {
        TraceEvent::Sent(Sent {
            at_us: us(at_ms),
            process: "load-1".into(),
            request: self.id.into(),
            queue: self.queue.into(),
            team: self.team().map(Into::into),
            key: self.key.split_once(':').map(|(key, _)| key.into()),
            idempotent: self.idempotent,
            deadline_ms: Some(DEADLINE_MS),
        })
    }

    fn start(&self, at_ms: u64, vm: &str) -> TraceEvent {
        TraceEvent::Start(Start {
            at_us: us(at_ms),
            process: format!("runner-{vm}").as_str().into(),
            vm: vm.into(),
            pool: "quotes".into(),
            request: self.id.into(),
            attempt: 1,
            team: self.team().map(Into::into),
            idempotent: self.idempotent,
            leaving_since_us: None,
        })
    }

    fn end(&self, at_ms: u64, vm: &str) -> TraceEvent {
        TraceEvent::End(End {
            at_us: us(at_ms),
            process: format!("runner-{vm}").as_str().into(),
            vm: vm.into(),
            request: self.id.into(),
            attempt: 1,
            cut: false,
        })
    }

    fn received(&self, at_ms: u64, outcome: ReceivedOutcome, code: Option<u16>) -> TraceEvent {
        let is_answer = outcome == ReceivedOutcome::Answer;
        TraceEvent::Received(Received {
            at_us: us(at_ms),
            process: "load-1".into(),
            request: self.id.into(),
            outcome,
            code,
            status: None,
            whole: is_answer,
            answered_request: code.map(|_| self.id.into()),
            daemon: code.map(|_| "d2".into()),
        })
    }

    /// From send to answer in 20 ms, with 10 ms of work.
    fn answered(&self, at_ms: u64, vm: &str) -> Vec<TraceEvent> {
        vec![
            self.sent(at_ms),
            self.start(at_ms + 5, vm),
            self.end(at_ms + 15, vm),
            self.received(at_ms + 20, ReceivedOutcome::Answer, Some(0)),
        ]
    }

    fn refused(&self, at_ms: u64, code: u16) -> Vec<TraceEvent> {
        vec![
            self.sent(at_ms),
            self.received(at_ms + 1, ReceivedOutcome::NotRun, Some(code)),
        ]
    }
}

fn pool_size(at_ms: u64, vms: u32, min_available: u32) -> TraceEvent {
    TraceEvent::PoolSize(PoolSize {
        at_us: us(at_ms),
        pool: "quotes".into(),
        vms,
        min_available,
        slots_per_vm: Some(1),
    })
}

fn vm_change(at_ms: u64, vm: &str, planned: bool) -> VmChange {
    VmChange {
        at_us: us(at_ms),
        vm: vm.into(),
        pool: "quotes".into(),
        planned,
    }
}

fn drain(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmDown(vm_change(at_ms, vm, true))
}

fn vm_failure(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmDown(vm_change(at_ms, vm, false))
}

fn vm_up(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmUp(vm_change(at_ms, vm, false))
}

fn limit(at_ms: u64, team: &str, limit: u32) -> TraceEvent {
    TraceEvent::Limit(Limit {
        at_us: us(at_ms),
        team: team.into(),
        limit,
    })
}

fn view(at_ms: u64, daemon: &str, vm: &str, pool: Option<&str>) -> TraceEvent {
    TraceEvent::PoolOf(PoolOf {
        at_us: us(at_ms),
        process: daemon.into(),
        vm: vm.into(),
        pool: pool.map(Into::into),
    })
}

fn process(at_ms: u64, process: &str) -> ProcessChange {
    ProcessChange {
        at_us: us(at_ms),
        process: process.into(),
    }
}

fn config(at_ms: u64, daemon: &str, offset: u64) -> TraceEvent {
    TraceEvent::Config(Config {
        at_us: us(at_ms),
        process: daemon.into(),
        offset,
    })
}

fn published(at_ms: u64, offset: u64) -> TraceEvent {
    TraceEvent::Published(Published {
        at_us: us(at_ms),
        offset,
    })
}

fn withdrawn(at_ms: u64, key: &str) -> TraceEvent {
    TraceEvent::Withdrawn(Withdrawn {
        at_us: us(at_ms),
        key: key.into(),
    })
}

fn open_queue(at_ms: u64, queue: &str) -> TraceEvent {
    TraceEvent::OpenQueue(OpenQueue {
        at_us: us(at_ms),
        queue: queue.into(),
    })
}

fn leaving_start(call: Call, at_ms: u64, vm: &str, since_ms: u64) -> TraceEvent {
    match call.start(at_ms, vm) {
        TraceEvent::Start(start) => TraceEvent::Start(Start {
            leaving_since_us: Some(us(since_ms)),
            ..start
        }),
        event => event,
    }
}

fn answered_while_leaving(call: Call, at_ms: u64, vm: &str, since_ms: u64) -> Vec<TraceEvent> {
    let mut events = call.answered(at_ms, vm);
    events[1] = leaving_start(call, at_ms + 5, vm, since_ms);
    events
}

/// A run with something to see of every point, each time as close to a fault as allowed.
fn clean_run() -> Vec<TraceEvent> {
    let setting = vec![
        pool_size(0, 4, 2),
        limit(0, "a", 2),
        limit(0, "b", 1),
        open_queue(0, "public"),
    ];
    [
        setting,
        clean_configuration(),
        clean_requests(),
        clean_faults_and_maintenance(),
    ]
    .concat()
}

fn clean_configuration() -> Vec<TraceEvent> {
    vec![
        published(10, 5),
        config(500, "d1", 5),
        config(600, "d2", 5),
        view(700, "d1", "v1", Some("quotes")),
        view(700, "d1", "v2", Some("quotes")),
        view(700, "d2", "v1", Some("quotes")),
        // A VM that moves between two views is in one pool in each of them.
        view(900, "d2", "v1", Some("proofs")),
        published(4_000, 6),
        config(4_900, "d1", 5),
        config(6_000, "d1", 6),
        config(6_000, "d2", 6),
        // A restarted daemon may begin anew, and an isolated one falls behind.
        TraceEvent::Started(process(6_050, "d1")),
        config(6_060, "d1", 6),
        TraceEvent::Isolated(process(6_100, "d2")),
        published(6_200, 7),
        config(7_500, "d2", 6),
        TraceEvent::Rejoined(process(7_600, "d2")),
        config(8_000, "d2", 6),
        config(9_000, "d1", 7),
        config(9_000, "d2", 7),
    ]
}

fn clean_requests() -> Vec<TraceEvent> {
    let non_idempotent = Call {
        idempotent: false,
        ..call("r01", "ka:a")
    };
    let open = Call {
        queue: "public",
        ..call("r03", "")
    };
    [
        non_idempotent.answered(1_000, "v1"),
        call("r02", "kb:b").refused(1_100, 300),
        open.answered(1_200, "v2"),
        call("r05", "kw:a").answered(2_100, "v1"),
        vec![withdrawn(2_200, "kw")],
        call("r06", "kw:a").answered(2_300, "v1"),
        call("r07", "kw:a").refused(4_000, 202),
        // The limit of b is lowered: a start of the settle time still counts against the old one.
        vec![limit(6_000, "b", 0)],
        call("r10", "kb:b").answered(6_500, "v1"),
        // Two at one time are as many as a may have.
        call("r11", "ka:a").answered(7_000, "v1"),
        call("r12", "ka:a").answered(7_000, "v2"),
    ]
    .concat()
}

fn clean_faults_and_maintenance() -> Vec<TraceEvent> {
    let lost = call("r04", "ka:a");
    let stopped = call("r09", "ka:a");
    vec![
        lost.sent(2_000),
        lost.start(2_005, "v3"),
        vm_failure(2_050, "v3"),
        lost.received(2_060, ReceivedOutcome::MayHaveRun, Some(402)),
        vm_up(2_400, "v3"),
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

const CLEAN_REPORT: &str = "\
trace files=1 events=74 torn_lines=0
PASS availability-budget pools=1 down_planned=1 down_failed=1 breached_in_maintenance=0 breached_by_failures=0
PASS one-pool views=3 vms=4 in_several=0 in_none=0
PASS team-key starts=10 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=0 without_key=0 unsent=0
PASS team-limit teams=2 starts=9 over_limit=0
PASS whole-answer sent=12 answers=9 lost_by_killed_load=0 not_whole=0 other_request=0 doubled=0 lost=0
PASS not-run-true refusals=2 ambiguous=0 ran=0
PASS at-most-once requests=1 starts=1 repeated=0
PASS leaving leaving_vms=1 starts_while_leaving=1 late=0
PASS graceful-stop stops=1 open_requests=1 excused=0 cut_off=0
PASS config-monotonic daemons=2 shown=10 went_back=0
PASS config-in-force published=3 unchecked=0 shown=6 excused=2 late=0
requests sent=12 answers=9 cut=0 no_answer=0 lost=0
not-run 202=1 300=1
may-have-run 402=1
answer-latency p50_us=20000 p99_us=20000
team a most_running=2 limit=2
team b most_running=1 limit=1
";

// Acts.

fn fresh_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("audit-{name}"));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

fn write(dir: &Path, process: &str, events: &[TraceEvent]) {
    let mut writer = TraceWriter::create(dir, &ProcessName::from(process)).unwrap();
    events.iter().for_each(|event| writer.write(event).unwrap());
    writer.close().unwrap();
}

fn audit(name: &str, events: &[TraceEvent]) -> Report {
    let dir = fresh_dir(name);
    write(&dir, "all", events);
    audit_dir(&dir, SETTLE).unwrap()
}

fn failures(report: &Report) -> Vec<String> {
    let findings = report.findings.iter();
    let failed = findings.filter(|finding| finding.verdict == Verdict::Fail);
    failed.map(ToString::to_string).collect()
}

// Planted faults.

#[derive(Debug)]
struct Fault {
    /// Changes a clean run.
    plant: fn(&mut Vec<TraceEvent>),
    /// The one line that then fails.
    line: &'static str,
}

fn change_received(events: &mut [TraceEvent], id: &str, change: fn(&mut Received)) {
    let mut received = events.iter_mut().filter_map(|event| match event {
        TraceEvent::Received(received) if received.request.as_str() == id => Some(received),
        _ => None,
    });
    change(received.next().unwrap());
}

fn drop_received(events: &mut Vec<TraceEvent>, id: &str) {
    events.retain(|event| match event {
        TraceEvent::Received(received) => received.request.as_str() != id,
        _ => true,
    });
}

fn drop_vm_up(events: &mut Vec<TraceEvent>, vm: &str) {
    events.retain(|event| match event {
        TraceEvent::VmUp(change) => change.vm.as_str() != vm,
        _ => true,
    });
}

fn start_of_other_team(events: &mut Vec<TraceEvent>) {
    let asked = call("x1", "kb:b");
    let worked = call("x1", "ka:a");
    events.extend(asked.answered(3_000, "v1"));
    events.retain(
        |event| !matches!(event, TraceEvent::Start(start) if start.request.as_str() == "x1"),
    );
    events.push(worked.start(3_005, "v1"));
}

fn hanging_work_fills_limit(events: &mut Vec<TraceEvent>) {
    let hanging = call("x1", "ka:a");
    events.extend([
        hanging.sent(6_800),
        hanging.start(6_805, "v3"),
        hanging.received(6_900, ReceivedOutcome::MayHaveRun, Some(403)),
    ]);
}

fn raised_budget_is_not_met(events: &mut Vec<TraceEvent>) {
    drop_vm_up(events, "v4");
    events.push(pool_size(2_600, 4, 4));
}

fn cut_at_stop(events: &mut [TraceEvent]) {
    change_received(events, "r09", |received| {
        received.outcome = ReceivedOutcome::Cut;
        received.whole = false;
    });
}

fn no_answer_at_stop(events: &mut [TraceEvent]) {
    change_received(events, "r09", |received| {
        received.outcome = ReceivedOutcome::NoAnswer;
        received.answered_request = None;
        received.daemon = None;
    });
}

const FAULTS: &[Fault] = &[
    Fault {
        plant: |events| events.extend(["v1", "v2", "v3"].map(|vm| drain(9_500, vm))),
        line: "FAIL availability-budget pools=1 down_planned=4 down_failed=1 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 1 of 2 at 9500000us",
    },
    Fault {
        plant: |events| events.extend(["v1", "v2", "v3"].map(|vm| vm_failure(9_500, vm))),
        line: "FAIL availability-budget pools=1 down_planned=1 down_failed=4 breached_in_maintenance=0 breached_by_failures=1 first: breached_by_failures quotes with 1 of 2 at 9500000us",
    },
    Fault {
        plant: |events| events.push(pool_size(9_500, 1, 2)),
        line: "FAIL availability-budget pools=1 down_planned=1 down_failed=1 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 1 of 2 at 9500000us",
    },
    Fault {
        plant: raised_budget_is_not_met,
        line: "FAIL availability-budget pools=1 down_planned=1 down_failed=1 breached_in_maintenance=1 breached_by_failures=0 first: breached_in_maintenance quotes with 3 of 4 at 9000000us",
    },
    Fault {
        plant: |events| events.push(view(900, "d2", "v1", Some("quotes"))),
        line: "FAIL one-pool views=3 vms=4 in_several=1 in_none=0 first: in_several v1 at d2",
    },
    Fault {
        plant: |events| events.push(view(700, "d2", "v2", None)),
        line: "FAIL one-pool views=3 vms=5 in_several=0 in_none=1 first: in_none v2 at d2",
    },
    Fault {
        plant: start_of_other_team,
        line: "FAIL team-key starts=11 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=1 after_withdrawal=0 without_key=0 unsent=0 first: other_team x1",
    },
    Fault {
        plant: |events| events.extend(call("x1", "kw:a").answered(3_200, "v1")),
        line: "FAIL team-key starts=11 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=1 without_key=0 unsent=0 first: after_withdrawal x1",
    },
    Fault {
        plant: |events| events.extend(call("x1", "").answered(3_200, "v1")),
        line: "FAIL team-key starts=11 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=0 without_key=1 unsent=0 first: without_key x1",
    },
    Fault {
        plant: |events| events.push(call("x1", "ka:a").start(9_000, "v1")),
        line: "FAIL team-key starts=11 on_open_queues=1 withdrawn_keys=1 unsent_by_killed_load=0 other_team=0 after_withdrawal=0 without_key=0 unsent=1 first: unsent x1",
    },
    Fault {
        plant: |events| events.extend(call("x1", "ka:a").answered(7_001, "v3")),
        line: "FAIL team-limit teams=2 starts=10 over_limit=1 first: over_limit x1",
    },
    Fault {
        plant: hanging_work_fills_limit,
        line: "FAIL team-limit teams=2 starts=10 over_limit=1 first: over_limit r12",
    },
    Fault {
        plant: |events| events.extend(call("x1", "kb:b").answered(7_000, "v3")),
        line: "FAIL team-limit teams=2 starts=10 over_limit=1 first: over_limit x1",
    },
    Fault {
        plant: |events| change_received(events, "r01", |received| received.whole = false),
        line: "FAIL whole-answer sent=12 answers=9 lost_by_killed_load=0 not_whole=1 other_request=0 doubled=0 lost=0 first: not_whole r01",
    },
    Fault {
        plant: |events| {
            change_received(events, "r01", |received| {
                received.answered_request = Some("r03".into());
            });
        },
        line: "FAIL whole-answer sent=12 answers=9 lost_by_killed_load=0 not_whole=0 other_request=1 doubled=0 lost=0 first: other_request r01",
    },
    Fault {
        plant: |events| {
            events.push(call("r01", "ka:a").received(1_030, ReceivedOutcome::Answer, Some(0)));
        },
        line: "FAIL whole-answer sent=12 answers=10 lost_by_killed_load=0 not_whole=0 other_request=0 doubled=1 lost=0 first: doubled r01",
    },
    Fault {
        plant: |events| drop_received(events, "r01"),
        line: "FAIL whole-answer sent=12 answers=8 lost_by_killed_load=0 not_whole=0 other_request=0 doubled=0 lost=1 first: lost r01",
    },
    Fault {
        plant: |events| {
            let refused = call("r02", "kb:b");
            events.extend([refused.start(5_500, "v2"), refused.end(5_510, "v2")]);
        },
        line: "FAIL not-run-true refusals=2 ambiguous=0 ran=1 first: ran r02",
    },
    Fault {
        plant: |events| {
            let twice = call("r01", "ka:a");
            events.extend([twice.start(1_030, "v2"), twice.end(1_040, "v2")]);
        },
        line: "FAIL at-most-once requests=1 starts=2 repeated=1 first: repeated r01",
    },
    Fault {
        plant: |events| {
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
        plant: |events| events.extend(call("x1", "ka:a").answered(3_500, "v4")),
        line: "FAIL leaving leaving_vms=1 starts_while_leaving=2 late=1 first: late x1 on v4",
    },
    Fault {
        plant: |events| cut_at_stop(events),
        line: "FAIL graceful-stop stops=1 open_requests=1 excused=0 cut_off=1 first: cut_off r09 at d2",
    },
    Fault {
        plant: |events| no_answer_at_stop(events),
        line: "FAIL graceful-stop stops=1 open_requests=1 excused=0 cut_off=1 first: cut_off r09 at d2",
    },
    Fault {
        plant: |events| events.extend([config(9_100, "d1", 8), config(9_200, "d1", 7)]),
        line: "FAIL config-monotonic daemons=2 shown=12 went_back=1 first: went_back d1 from 8 to 7",
    },
    Fault {
        plant: |events| events.push(config(5_100, "d1", 5)),
        line: "FAIL config-in-force published=3 unchecked=0 shown=7 excused=2 late=1 first: late d1 for 6",
    },
];

// Clean and faulty runs.

#[test]
fn a_clean_run_passes_every_point() {
    let events = clean_run();

    let report = audit("clean", &events);

    assert_eq!(report.to_string(), CLEAN_REPORT);
    assert!(!report.has_failed());
}

#[test]
fn each_planted_fault_fails_exactly_its_point() {
    for (index, fault) in FAULTS.iter().enumerate() {
        let mut events = clean_run();
        (fault.plant)(&mut events);

        let report = audit(&format!("fault-{index}"), &events);

        assert_eq!(failures(&report), [fault.line]);
    }
}

#[test]
fn every_point_has_a_planted_fault() {
    let report = audit("points", &clean_run());

    for finding in report.findings {
        let beginning = format!("FAIL {} ", finding.point);
        let mut faults = FAULTS.iter();
        assert!(
            faults.any(|fault| fault.line.starts_with(&beginning)),
            "{beginning}"
        );
    }
}

#[test]
fn an_empty_directory_shows_nothing() {
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
NOT OBSERVED graceful-stop
NOT OBSERVED config-monotonic
NOT OBSERVED config-in-force
requests sent=0 answers=0 cut=0 no_answer=0 lost=0
";
    assert_eq!(report.to_string(), expected);
}

#[test]
fn cases_that_prove_nothing_are_no_observation() {
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

    for point in [Point::NotRunTrue, Point::GracefulStop] {
        let mut findings = report.findings.iter();
        let finding = findings.find(|finding| finding.point == point).unwrap();
        assert_eq!(finding.to_string(), format!("NOT OBSERVED {point}"));
    }
}

#[test]
fn a_report_in_json_names_the_same() {
    let mut events = clean_run();
    drop_received(&mut events, "r01");

    let report = serde_json::to_value(audit("json", &events)).unwrap();

    let findings = report["findings"].as_array().unwrap();
    let finding = findings.iter().find(|it| it["point"] == "whole-answer");
    let expected = serde_json::json!({
        "point": "whole-answer",
        "verdict": "FAIL",
        "counts": [
            {"name": "sent", "value": 12},
            {"name": "answers", "value": 8},
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

// What is not held against the system.

#[test]
fn a_killed_load_may_lose_its_ends() {
    let mut events = clean_run();
    drop_received(&mut events, "r12");
    events.push(call("x1", "ka:a").start(7_100, "v1"));
    events.push(TraceEvent::Killed(process(7_200, "load-1")));

    let report = audit("killed-load", &events);

    assert_eq!(failures(&report), [""; 0]);
    assert_eq!(report.summary.lost, 1);
}

#[test]
fn work_of_a_killed_runner_is_over() {
    let mut events = clean_run();
    hanging_work_fills_limit(&mut events);
    events.push(TraceEvent::Killed(process(6_850, "runner-v3")));

    let report = audit("killed-runner", &events);

    assert_eq!(failures(&report), [""; 0]);
}

#[test]
fn a_request_cut_by_another_fault_is_no_matter_of_the_stop() {
    let faults = [
        TraceEvent::Killed(process(5_001, "d2")),
        TraceEvent::Killed(process(5_001, "runner-v1")),
        vm_failure(5_001, "v1"),
    ];
    for fault in faults {
        let mut events = clean_run();
        cut_at_stop(&mut events);
        events.push(fault);

        let report = audit("excused-cut", &events);

        assert_eq!(failures(&report), [""; 0]);
    }
}

#[test]
fn a_refused_repeat_of_a_request_that_ran_is_ambiguous() {
    let mut events = clean_run();
    events.extend(call("r01", "ka:a").refused(1_030, 113));

    let report = audit("repeat", &events);

    assert_eq!(failures(&report), [""; 0]);
    let line = "PASS not-run-true refusals=3 ambiguous=1 ran=0";
    let lines: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    assert!(lines.contains(&line.to_owned()), "{lines:?}");
}

#[test]
fn work_that_goes_on_under_a_lowered_limit_is_no_breach() {
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

#[test]
fn shares_are_those_of_slot_time_in_full_pools() {
    let (long, short) = (call("x1", "ka:a"), call("x2", "kb:b"));
    let events = [
        pool_size(0, 2, 0),
        long.start(100, "v1"),
        short.start(100, "v2"),
        short.end(200, "v2"),
        // Half of the slots: not full.
        long.end(900, "v1"),
        short.start(1_000, "v1"),
        long.start(1_000, "v2"),
        long.end(1_200, "v2"),
        short.end(1_200, "v1"),
        call("x3", "ka:a").start(2_000, "v1"),
        call("x4", "ka:a").start(2_000, "v2"),
        call("x3", "ka:a").end(2_200, "v1"),
        call("x4", "ka:a").end(2_200, "v2"),
    ];

    let report = audit("shares", &events);

    let teams: Vec<String> = report
        .summary
        .teams
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        teams,
        [
            "team a most_running=2 share_when_full=70.0%",
            "team b most_running=1 share_when_full=30.0%",
        ]
    );
}

// Random runs.

/// A request of a random run that nothing is wrong with.
#[derive(Debug, Clone, Copy)]
enum Shape {
    Answered,
    Refused,
}

#[derive(Debug)]
struct RandomRequest {
    id: String,
    shape: Shape,
    at_ms: u64,
}

fn below(random: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(random) % bound
}

fn random_requests(random: &mut Gen) -> Vec<RandomRequest> {
    let count = 1 + below(random, 40);
    let requests = (0..count).map(|index| RandomRequest {
        id: format!("q{index}"),
        shape: *random.choose(&[Shape::Answered, Shape::Refused]).unwrap(),
        at_ms: 1_000 + 30 * index,
    });
    requests.collect()
}

fn renamed(event: TraceEvent, id: &str) -> TraceEvent {
    match event {
        TraceEvent::Sent(sent) => TraceEvent::Sent(Sent {
            request: id.into(),
            ..sent
        }),
        TraceEvent::Received(received) => TraceEvent::Received(Received {
            request: id.into(),
            answered_request: Some(id.into()),
            ..received
        }),
        TraceEvent::Start(start) => TraceEvent::Start(Start {
            request: id.into(),
            ..start
        }),
        TraceEvent::End(end) => TraceEvent::End(End {
            request: id.into(),
            ..end
        }),
        event => event,
    }
}

fn events_of(request: &RandomRequest) -> Vec<TraceEvent> {
    let call = Call {
        idempotent: false,
        ..call("", "kc:c")
    };
    let events = match request.shape {
        Shape::Answered => call.answered(request.at_ms, "v9"),
        Shape::Refused => call.refused(request.at_ms, 301),
    };
    let events = events.into_iter();
    events.map(|event| renamed(event, &request.id)).collect()
}

/// Breaks one random request, and says which points that must fail.
fn break_request(
    random: &mut Gen,
    events: &mut Vec<TraceEvent>,
    request: &RandomRequest,
) -> Vec<Point> {
    let again = |event| renamed(event, &request.id);
    let call = call("", "kc:c");
    match (request.shape, below(random, 3)) {
        (_, 0) => {
            drop_received(events, &request.id);
            vec![Point::WholeAnswer]
        }
        (Shape::Answered, 1) => {
            change_received(events, &request.id, |received| received.whole = false);
            vec![Point::WholeAnswer]
        }
        (Shape::Answered, _) => {
            let at_ms = request.at_ms + 1 + below(random, 5_000);
            events.push(again(call.start(at_ms, "v8")));
            events.push(again(call.end(at_ms + 1, "v8")));
            vec![Point::AtMostOnce]
        }
        (Shape::Refused, _) => {
            let at_ms = request.at_ms + below(random, 5_000);
            events.push(again(call.start(at_ms, "v8")));
            events.push(again(call.end(at_ms + 1, "v8")));
            vec![Point::NotRunTrue]
        }
    }
}

/// Deals the events to up to five files, in any order.
fn audit_shuffled(random: &mut Gen, name: &str, mut events: Vec<TraceEvent>) -> Report {
    let dir = fresh_dir(name);
    let files = 1 + below(random, 5);
    let mut parts: Vec<Vec<TraceEvent>> = vec![Vec::new(); files as usize];
    while !events.is_empty() {
        let index = below(random, events.len() as u64) as usize;
        let part = below(random, files) as usize;
        parts[part].push(events.swap_remove(index));
    }
    for (index, part) in parts.iter().enumerate() {
        write(&dir, &format!("part-{index}"), part);
    }
    audit_dir(&dir, SETTLE).unwrap()
}

fn failed_points(report: &Report) -> Vec<Point> {
    let findings = report.findings.iter();
    let failed = findings.filter(|finding| finding.verdict == Verdict::Fail);
    failed.map(|finding| finding.point).collect()
}

#[test]
fn random_runs_pass_and_one_random_fault_is_found() {
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(100, seed);
        let requests = random_requests(&mut random);
        let extra = requests.iter().flat_map(events_of);
        let clean: Vec<TraceEvent> = clean_run().into_iter().chain(extra).collect();
        let mut broken = clean.clone();
        let mut faulty = clean.clone();
        let fault = random.choose(FAULTS).unwrap();
        let victim = random.choose(&requests).unwrap();

        (fault.plant)(&mut faulty);
        let expected = break_request(&mut random, &mut broken, victim);
        let clean = audit_shuffled(&mut random, "random-clean", clean);
        let faulty = audit_shuffled(&mut random, "random-fault", faulty);
        let broken = audit_shuffled(&mut random, "random-broken", broken);

        assert_eq!(failed_points(&clean), [], "seed {seed}");
        let failed = failures(&faulty);
        let point = fault.line.split(' ').nth(1).unwrap();
        assert_eq!(failed.len(), 1, "seed {seed}: {failed:?}");
        assert!(failed[0].contains(point), "seed {seed}: {failed:?}");
        assert_eq!(failed_points(&broken), expected, "seed {seed}: {victim:?}");
    }
}
