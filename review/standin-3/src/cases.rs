//! The cases.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::cloud::CloudFault;
use crate::record::{Record, SeenRun};
use crate::runner::{OrderFault, RunnerOptions, Work};
use crate::world::{HOST, POOL, World};

/// Runs a case; returns whether the rule was broken, or `None` if there is no such case.
pub fn run(case: &str, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    match case {
        "upkeep" => Some(upkeep(record, trouble)),
        "late" => Some(late(record, trouble, Late::AfterFirstLook)),
        "first" => Some(late(record, trouble, Late::BeforeFirstLook)),
        "record" => Some(long_record(record, trouble)),
        "dark" => Some(dark(record, trouble)),
        "same" => Some(same(record, trouble)),
        "repeat" => Some(repeat(record, trouble)),
        "removed" => Some(removed(record, trouble)),
        _ => None,
    }
}

fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"q","host":"{HOST}","path_prefix":"/press/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"{POOL}","max_attempts":3,"stretch":1.6,"public":true}}],"services":[{{"name":"{POOL}","admission_check":false,"health_path":"/healthz","standby":false}}],"limits":{{"max_body_bytes":262144}},"tenants":[{{"name":"t1","api_keys":["k1"],"weight":1,"max_count":{{"cpu":0,"mem_mb":0,"gpu":0}}}}]}}"#
    )
}

/// Returns a configuration with a second queue, which allows four attempts.
fn config_with_second_queue(version: u64) -> String {
    let route = format!(
        r#"{{"name":"p","host":"{HOST}","path_prefix":"/proof/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"{POOL}","max_attempts":4,"stretch":1.6,"public":true}}"#
    );
    config(version).replacen("\"routes\":[", &format!("\"routes\":[{route},"), 1)
}

/// Names, zones and racks of the eight machines of a pool, as in the smallest pools of the site.
const MACHINES: [(&str, &str, &str); 8] = [
    ("m-a", "za", "r1-1"),
    ("m-b", "za", "r1-1"),
    ("m-c", "za", "r1-1"),
    ("m-d", "zb", "r1-1"),
    ("m-e", "zb", "r1-2"),
    ("m-f", "zb", "r1-2"),
    ("m-g", "zc", "r1-2"),
    ("m-h", "zc", "r1-2"),
];

/// Returns the eight machines; the first one has the label `b`, the others `a`.
fn machines() -> Vec<RunnerOptions<'static>> {
    let label = |at| if at == 0 { "b" } else { "a" };
    let rows = MACHINES.iter().enumerate();
    rows.map(|(at, (name, zone, rack))| machine(name, zone, rack, label(at), work))
        .collect()
}

fn machine<'a>(
    name: &'a str,
    zone: &'a str,
    rack: &'a str,
    label: &'a str,
    work: fn(&str) -> Work,
) -> RunnerOptions<'a> {
    RunnerOptions {
        machine: name,
        pool: POOL,
        zone,
        rack,
        label,
        cpu: 4_000,
        age_ms: 600_000,
        work,
    }
}

/// Tasks last, unless the text of the job is the time that they take in milliseconds; behind `fails`
/// it is the time after which they fail.
fn work(text: &str) -> Work {
    let time = |text: &str| text.parse().map(Duration::from_millis);
    match (time(text), text.strip_prefix("fails ").map(time)) {
        (Ok(time), _) => Work::Done(time),
        (_, Some(Ok(time))) => Work::Fails(time),
        _ => Work::Lasts,
    }
}

/// Returns pairs of runs of one task that were in progress at the same time on runners that were up,
/// and for how long.
fn overlaps(record: &Record) -> Vec<(SeenRun, SeenRun, u64)> {
    let runs = record.runs();
    let now_ms = record.now_ms();
    let mut found = Vec::new();
    for (at, a) in runs.iter().enumerate() {
        for b in &runs[at + 1..] {
            let from = a.started_ms.max(b.started_ms);
            let to = a
                .ended_ms
                .unwrap_or(now_ms)
                .min(b.ended_ms.unwrap_or(now_ms));
            if a.task == b.task && to > from {
                found.push((a.clone(), b.clone(), to - from));
            }
        }
    }
    found
}

/// A machine's upkeep is carried out while its answer is lost, and refused for some seconds after.
fn upkeep(record: &Arc<Record>, trouble: bool) -> bool {
    let (first, filler, guest) = ("0000000000000001", "00000000000000a1", "00000000000000b1");
    let world = World::start(record, &config(3), &machines());
    // A job of a moment, so that all is known to be at work.
    world.submit(first, r#"{"spec":"100","steps":[{"count":8,"cpu":1000,"mem_mb":256,"estimate_ms":100,"anti_affinity":1}]}"#);
    // An owner takes its time with waves that it may not be the first to see.
    sleep(Duration::from_millis(6_500));
    let lasting = |count: u64, cpu: u64| {
        format!(
            r#"{{"spec":"serve","steps":[{{"count":{count},"cpu":{cpu},"mem_mb":256,"estimate_ms":900,"anti_affinity":1,"persistent":true,"may_miss":1}}]}}"#
        )
    };
    // Its tasks fill all machines but one.
    world.submit(filler, &lasting(7, 4_000));
    let runs_of = |world: &World, job: &str| {
        let runs = world.record.runs();
        runs.into_iter()
            .filter(|run| run.task.starts_with(job))
            .collect::<Vec<_>>()
    };
    world.wait(
        "the first lasting job runs",
        Duration::from_secs(8),
        |world| runs_of(world, filler).len() == 7,
    );
    sleep(Duration::from_millis(1_500));
    let filled = runs_of(&world, filler);
    let is_idle = |name: &&str| !filled.iter().any(|run| run.runner.contains(*name));
    let idle = MACHINES
        .iter()
        .map(|row| row.0)
        .find(is_idle)
        .unwrap_or("m-a");
    if trouble {
        world.cloud.set_fault(CloudFault::LoseNextAnswer);
    }
    let wave = format!(r#"{{"wave":1,"machines":["{idle}"],"duration_s":20,"max_count":1}}"#);
    record.line(&format!("operator: op/wave/1 {wave}"));
    world.store.put("keyed.op", "wave/1", wave.as_bytes());
    let is_down = |world: &World| {
        let runner = world.runners.iter().find(|runner| runner.machine == idle);
        runner.is_some_and(|runner| !runner.is_up())
    };
    world.wait(
        "the idle machine is in upkeep",
        Duration::from_secs(8),
        is_down,
    );
    let began_ms = record.now_ms();
    sleep(Duration::from_millis(800));
    world.submit(guest, &lasting(1, 2_000));
    world.wait(
        "the second lasting job runs",
        Duration::from_secs(8),
        |world| !runs_of(world, guest).is_empty(),
    );
    // The trouble lasts for 4.5 s in all.
    let passed_ms = record.now_ms() - began_ms;
    sleep(Duration::from_millis(4_500_u64.saturating_sub(passed_ms)));
    world.cloud.set_fault(CloudFault::None);
    sleep(Duration::from_millis(1_000));
    world.request(1, "DELETE", &format!("/press/{filler}"), "");
    sleep(Duration::from_millis(9_000));
    let found = overlaps(record);
    for (a, b, ms) in &found {
        record.line(&format!(
            "BROKEN TWICE: {} ran as {} on {} and as {} on {} at the same time for {ms} ms",
            a.task, a.run, a.runner, b.run, b.runner
        ));
    }
    world.clean();
    !found.is_empty()
}

/// When the order that was left unanswered is carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Late {
    /// The runner crashes for 6.5 s; the order comes 1.5 s after its return.
    AfterFirstLook,
    /// The runner crashes for 1 s; the order comes at once on its return.
    BeforeFirstLook,
}

/// An order that is left unanswered and carried out after the runner has crashed and is back.
fn late(record: &Arc<Record>, trouble: bool, when: Late) -> bool {
    let (first, job) = ("0000000000000001", "00000000000000c1");
    let world = World::start(record, &config(3), &machines());
    world.submit(first, r#"{"spec":"100","steps":[{"count":24,"cpu":1000,"mem_mb":256,"estimate_ms":100,"anti_affinity":3}]}"#);
    sleep(Duration::from_millis(2_500));
    let runner = Arc::clone(&world.runners[0]);
    let seen_before = runner.last_seen();
    if trouble {
        runner.set_fault(OrderFault::LeaveNextStart);
    }
    world.submit(job, r#"{"spec":"500","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":500,"requires":"b"}]}"#);
    let ordered_ms = record.now_ms();
    let is_done = |world: &World| {
        let runs = world.record.runs();
        runs.iter()
            .any(|run| run.task.starts_with(job) && run.how == "done")
    };
    world.wait("the task is done", Duration::from_secs(6), is_done);
    world.wait("its end is taken note of", Duration::from_secs(3), |_| {
        runner.last_seen() > seen_before
    });
    let done_ms = record.now_ms();
    world.wait(
        "the job is shown as completed",
        Duration::from_secs(3),
        |world| world.state(job) == "completed",
    );
    if trouble {
        let id = "i-m-a-1";
        runner.end(false);
        match when {
            Late::AfterFirstLook => {
                sleep(Duration::from_millis(6_500));
                runner.begin(id, POOL, 0);
                sleep(Duration::from_millis(1_500));
            }
            Late::BeforeFirstLook => {
                sleep(Duration::from_millis(1_000));
                runner.begin(id, POOL, 0);
            }
        }
        record.line(&format!(
            "the order is {} ms old",
            record.now_ms() - ordered_ms
        ));
        runner.carry_out_late();
    }
    sleep(Duration::from_millis(4_000));
    let runs = record.runs();
    let after = runs
        .iter()
        .filter(|run| run.task.starts_with(job) && run.started_ms > done_ms);
    let after: Vec<&SeenRun> = after.collect();
    for run in &after {
        record.line(&format!("BROKEN TWICE: {} run {} was started on {} after the task had ended done and that was taken note of", run.task, run.run, run.runner));
    }
    world.state(job);
    world.clean();
    !after.is_empty()
}

/// A large job, all of whose tasks fail: it can never be done. Other jobs are cancelled meanwhile.
fn long_record(record: &Arc<Record>, trouble: bool) -> bool {
    let large = "00000000000000d1";
    let big = |name, zone, rack| RunnerOptions {
        cpu: 16_000,
        ..machine(name, zone, rack, "a", work)
    };
    let machines = [
        big("m-x", "za", "r1-1"),
        big("m-y", "zb", "r1-2"),
        big("m-z", "zc", "r1-3"),
    ];
    let world = World::start(record, &config(3), &machines);
    record.count_only(large);
    let lasting = r#"{"spec":"serve","steps":[{"count":1,"cpu":100,"mem_mb":256,"estimate_ms":900,"persistent":true}]}"#;
    let others: Vec<String> = (1..=4).map(|at| format!("00000000000000e{at}")).collect();
    for id in &others {
        world.submit(id, lasting);
    }
    // Jobs as they usually come: the hopeless one is less than a twentieth of all.
    for at in 0..20 {
        world.submit(
            &format!("000000000000{at:04x}"),
            r#"{"spec":"100","steps":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":100}]}"#,
        );
    }
    sleep(Duration::from_millis(1_000));
    let text = if trouble { "fails 8000" } else { "8000" };
    let step = r#"{"count":10000,"cpu":1,"mem_mb":1,"estimate_ms":8000}"#;
    world.submit(
        large,
        &format!(r#"{{"spec":"{text}","steps":[{step},{step},{step},{step}]}}"#),
    );
    for _ in 0..45 {
        sleep(Duration::from_millis(1_000));
        let runs = record.runs();
        let of_large: Vec<&SeenRun> = runs
            .iter()
            .filter(|run| run.task.starts_with(large))
            .collect();
        let ended = of_large.iter().filter(|run| run.ended_ms.is_some()).count();
        let rejected = world.store.too_long();
        record.line(&format!("large job: {} starts, {ended} ends; appends rejected as a record is too long: {rejected}", of_large.len()));
        let is_over = !trouble && ended >= 40_000;
        if rejected > 0 || is_over {
            break;
        }
    }
    sleep(Duration::from_millis(3_000));
    let mut unanswered = 0;
    for id in &others {
        let sent_ms = record.now_ms();
        let mut answered = false;
        for at in 0..3 {
            let answer = world.request(at, "DELETE", &format!("/press/{id}"), "");
            answered = answer.is_some_and(|answer| answer.0 / 100 == 2 || answer.0 == 410);
            if answered {
                break;
            }
        }
        record.line(&format!(
            "cancel of {id}: answered {answered} after {} ms",
            record.now_ms() - sent_ms
        ));
        let in_time = answered && record.now_ms() - sent_ms <= 4_000;
        unanswered += usize::from(!in_time);
    }
    let accepted = world.request(
        0,
        "POST",
        "/press/00000000000000f1",
        r#"{"spec":"100","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100}]}"#,
    );
    record.line(&format!(
        "a further job is accepted: {}",
        accepted.is_some_and(|answer| answer.0 == 200)
    ));
    let broken = unanswered >= 3;
    if broken {
        record.line(&format!("BROKEN Acks: {unanswered} of {} cancels of accepted jobs had no 2xx or 410 within ack_timeout_ms", others.len()));
    }
    world.clean();
    broken
}

/// A runner without runs is lost without a sign; a second later a lasting task fails and is ordered
/// there.
fn dark(record: &Arc<Record>, trouble: bool) -> bool {
    let (first, job) = ("0000000000000001", "00000000000000c1");
    let task = format!("{job}.0.0.0");
    let options = MACHINES.iter().enumerate().map(|(at, (name, zone, rack))| {
        machine(name, zone, rack, if at < 2 { "b" } else { "a" }, work)
    });
    let options: Vec<RunnerOptions> = options.collect();
    let world = World::start(record, &config(3), &options);
    // Work of a moment, so that all runners have had orders.
    world.submit(first, r#"{"spec":"100","steps":[{"count":16,"cpu":1000,"mem_mb":256,"estimate_ms":100,"anti_affinity":2}]}"#);
    sleep(Duration::from_millis(1_000));
    world.submit(job, r#"{"spec":"serve","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":900,"requires":"b","persistent":true}]}"#);
    let of_task = || -> Vec<SeenRun> {
        record
            .runs()
            .into_iter()
            .filter(|run| run.task == task)
            .collect()
    };
    world.wait("the lasting task runs", Duration::from_secs(5), |_| {
        !of_task().is_empty()
    });
    sleep(Duration::from_millis(4_000));
    let on_first = of_task()[0].runner.contains("m-a");
    let (busy, idle) = if on_first { (0, 1) } else { (1, 0) };
    if trouble {
        world.runners[idle].go_dark();
    }
    sleep(Duration::from_millis(1_000));
    world.runners[busy].fail_run(&task);
    let ended_ms = record.now_ms();
    sleep(Duration::from_millis(20_000));
    let next = of_task()
        .iter()
        .filter(|run| run.started_ms > ended_ms)
        .map(|run| run.started_ms - ended_ms)
        .min();
    record.line(&format!(
        "lasting task {task}: runs again after {next:?} ms"
    ));
    let broken = next.is_none_or(|ms| ms >= 9_000);
    if broken {
        record.line("BROKEN LOST: the lasting task was not running from 6 s to 9 s after its last run, all calm from 1 s before its end on");
    }
    world.clean();
    broken
}

/// The API for machines does not answer for some seconds; the runner is back from its machine's upkeep
/// under the id that it had.
fn same(record: &Arc<Record>, trouble: bool) -> bool {
    let (first, filler, guest) = ("0000000000000001", "00000000000000a1", "00000000000000b1");
    let world = World::start(record, &config(3), &machines());
    world.cloud.keep_ids();
    world.submit(first, r#"{"spec":"100","steps":[{"count":8,"cpu":1000,"mem_mb":256,"estimate_ms":100,"anti_affinity":1}]}"#);
    sleep(Duration::from_millis(1_500));
    // Work that fills all machines but one.
    world.submit(filler, r#"{"spec":"60000","steps":[{"count":7,"cpu":4000,"mem_mb":256,"estimate_ms":60000,"anti_affinity":1}]}"#);
    let runs_of = |job: &str| -> Vec<SeenRun> {
        record
            .runs()
            .into_iter()
            .filter(|run| run.task.starts_with(job))
            .collect()
    };
    world.wait("seven machines are full", Duration::from_secs(8), |_| {
        runs_of(filler).len() == 7
    });
    sleep(Duration::from_millis(1_500));
    let filled = runs_of(filler);
    let is_idle = |name: &&str| !filled.iter().any(|run| run.runner.contains(*name));
    let idle = MACHINES
        .iter()
        .map(|row| row.0)
        .find(is_idle)
        .unwrap_or("m-a");
    if trouble {
        world.cloud.set_fault(CloudFault::Unanswered);
    }
    let wave = format!(r#"{{"wave":1,"machines":["{idle}"],"duration_s":20,"max_count":1}}"#);
    record.line(&format!("operator: op/wave/1 {wave}"));
    world.store.put("keyed.op", "wave/1", wave.as_bytes());
    let is_down = |world: &World| {
        let runner = world.runners.iter().find(|runner| runner.machine == idle);
        runner.is_some_and(|runner| !runner.is_up())
    };
    world.wait(
        "the idle machine is in upkeep",
        Duration::from_secs(8),
        is_down,
    );
    let began_ms = record.now_ms();
    sleep(Duration::from_millis(1_000));
    world.submit(
        guest,
        r#"{"spec":"8000","steps":[{"count":4,"cpu":1000,"mem_mb":256,"estimate_ms":8000}]}"#,
    );
    world.wait("the job runs", Duration::from_secs(8), |_| {
        runs_of(guest).len() == 4
    });
    world.request(1, "DELETE", &format!("/press/{filler}"), "");
    // The trouble lasts for 4 s in all.
    let passed_ms = record.now_ms() - began_ms;
    sleep(Duration::from_millis(4_000_u64.saturating_sub(passed_ms)));
    world.cloud.set_fault(CloudFault::None);
    sleep(Duration::from_millis(12_000));
    let found = overlaps(record);
    for (a, b, ms) in &found {
        record.line(&format!(
            "BROKEN TWICE: {} ran as {} on {} and as {} on {} at the same time for {ms} ms",
            a.task, a.run, a.runner, b.run, b.runner
        ));
    }
    world.state(guest);
    world.clean();
    !found.is_empty()
}

/// The store turns the owner away while a repeated job with many due occurrences runs.
fn repeat(record: &Arc<Record>, trouble: bool) -> bool {
    let job = "00000000000000d1";
    let world = World::start(record, &config(3), &machines());
    record.count_only(job);
    sleep(Duration::from_millis(1_000));
    // Each second of the last hour: all occurrences are due at once.
    let body = format!(
        r#"{{"spec":"200","repeat_count":3600,"start_at_ms":{},"interval_ms":1000,"steps":[{{"count":1,"cpu":50,"mem_mb":16,"estimate_ms":200}}]}}"#,
        crate::record::unix_ms() - 3_600_000
    );
    world.submit(job, &body);
    sleep(Duration::from_millis(300));
    if trouble {
        let owner = world.owner().unwrap_or(0);
        world.set_store_silent(owner, true);
        sleep(Duration::from_millis(6_000));
        world.set_store_silent(owner, false);
    }
    for _ in 0..30 {
        sleep(Duration::from_millis(1_000));
        let runs = record.runs();
        let done = runs.iter().filter(|run| run.how == "done").count();
        let state = world.state(job);
        record.line(&format!(
            "{} starts, {done} done, the job is {state}",
            runs.len()
        ));
        if state == "completed" {
            break;
        }
    }
    let mut runs = record.runs();
    runs.sort_by(|a, b| a.task.cmp(&b.task).then(a.started_ms.cmp(&b.started_ms)));
    let mut again = 0;
    for pair in runs.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        let was_done = first.how == "done" && first.noted && !first.lapsed;
        let ended_ms = first.ended_ms.unwrap_or(u64::MAX);
        if first.task == second.task && was_done && second.started_ms > ended_ms {
            again += 1;
            if again <= 20 {
                record.line(&format!(
                    "BROKEN TWICE: {} run {} on {} ended done at {ended_ms} ms, taken note of; run {} started on {} at {} ms",
                    first.task, first.run, first.runner, second.run, second.runner, second.started_ms
                ));
            }
        }
    }
    record.line(&format!(
        "{again} tasks were started again after they had ended done and that was taken note of"
    ));
    world.clean();
    again > 0
}

/// A queue is removed while a job of it runs, and the daemons are stopped and started in turn. Then the
/// job's task fails three times, and the queue is there again.
fn removed(record: &Arc<Record>, trouble: bool) -> bool {
    let (first, job) = ("0000000000000001", "00000000000000c1");
    let task = format!("{job}.0.0.0");
    let mut world = World::start(record, &config_with_second_queue(3), &machines());
    world.submit(first, r#"{"spec":"100","steps":[{"count":8,"cpu":1000,"mem_mb":256,"estimate_ms":100,"anti_affinity":1}]}"#);
    world.submit_to(
        "/proof/",
        job,
        r#"{"spec":"60000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":60000,"requires":"b"}]}"#,
    );
    let of_task = || -> Vec<SeenRun> {
        record
            .runs()
            .into_iter()
            .filter(|run| run.task == task)
            .collect()
    };
    let is_running = || of_task().iter().any(|run| run.ended_ms.is_none());
    world.wait("the task runs", Duration::from_secs(6), |_| is_running());
    sleep(Duration::from_millis(1_000));
    record.line("operator: version 5, without the queue p");
    world.store.put("keyed.op", "config", config(5).as_bytes());
    sleep(Duration::from_millis(4_000));
    if trouble {
        for at in 0..3 {
            world.restart_daemon(at);
            sleep(Duration::from_millis(2_000));
        }
    }
    sleep(Duration::from_millis(3_000));
    let attempts_before = of_task().len();
    record.line(&format!(
        "runs of {task} so far: {attempts_before}, all without an end of their own"
    ));
    let runner = Arc::clone(&world.runners[0]);
    record.line("three runs of the task fail by its own fault, from now on");
    for _ in 0..3 {
        world.wait("the task runs", Duration::from_secs(6), |_| is_running());
        sleep(Duration::from_millis(500));
        runner.fail_run(&task);
    }
    record.line("no further run fails");
    sleep(Duration::from_millis(5_000));
    let failed = of_task().iter().filter(|run| run.how == "failed").count();
    record.line(&format!(
        "ends failed of {task}: {failed}; runs now: {}",
        is_running()
    ));
    record.line("operator: version 7, with the queue p again");
    let again = config_with_second_queue(7);
    world.store.put("keyed.op", "config", again.as_bytes());
    sleep(Duration::from_millis(4_000));
    let state = world.state_of("/proof/", job);
    let broken = state == "failed" && failed < 4;
    if broken {
        record.line(&format!("BROKEN LOST: job {job} is shown as failed, but its task has failed {failed} times, and max_attempts is 4"));
    }
    world.clean();
    if state.is_empty() {
        crate::world::finish(2);
    }
    broken
}
