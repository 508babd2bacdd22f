//! The cases.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::{EndKind, Record};
use crate::world::{HOST, KEY, World};

/// The world of the running case.
static WORLD: Mutex<Option<Arc<World>>> = Mutex::new(None);

pub fn end_daemons() {
    if let Some(world) = WORLD.lock().unwrap().take() {
        world.close();
    }
}

/// Runs a case. Returns how the rule was broken, or why the case couldn't run.
pub fn run(case: &str, record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let outcome = match case {
        "overtaken-answers" => overtaken_answers(record, trouble),
        "big-job-rack-crash" => big_job_rack_crash(record, trouble),
        "quota-zone-cut" => quota_zone_cut(record, trouble),
        "crashing-task" => crashing_task(record, trouble),
        "address-changed" => address_changed(record, trouble),
        _ => Err(format!("no case {case}")),
    };
    end_daemons();
    outcome
}

fn start(
    record: &Arc<Record>,
    runners: &[(usize, usize)],
    config: &str,
) -> Result<Arc<World>, String> {
    let world = World::start(Arc::clone(record), runners, 16_000, config);
    let world = Arc::new(world.map_err(|error| error.to_string())?);
    *WORLD.lock().unwrap() = Some(Arc::clone(&world));
    Ok(world)
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > limit {
            return false;
        }
        sleep_ms(5);
    }
    true
}

/// A configuration with the queues `/quick/` and `/batch/`, and what the tenant may use.
fn config(max_cpu: u64) -> String {
    let route = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"non_idempotent\",\
             \"timeout_ms\":3000,\"service\":\"workers\",\"priority\":0,\"max_attempts\":3,\"stretch\":20.0,\
             \"target_latency_ms\":600,\"public\":false,\"advice\":null}}"
        )
    };
    let routes = format!("{},{}", route("quick"), route("batch"));
    format!(
        "{{\"version\":1,\"routes\":[{routes}],\
         \"services\":[{{\"name\":\"workers\",\"admission_check\":false,\"standby\":false}}],\
         \"limits\":{{\"max_body_bytes\":262144}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"{KEY}\"],\"weight\":10,\
         \"max_count\":{{\"cpu\":{max_cpu},\"mem_mb\":0,\"gpu\":0}}}}]}}"
    )
}

fn job(spec: &str, tasks: usize, cpu: u64, estimate_ms: u64, requires: &str) -> String {
    let requires = match requires {
        "" => String::new(),
        label => format!(",\"requires\":\"{label}\""),
    };
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{tasks},\"cpu\":{cpu},\"mem_mb\":16,\
         \"estimate_ms\":{estimate_ms}{requires}}}]}}"
    )
}

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}

/// The longest delay of an answer to an order, in milliseconds.
const OVERTAKEN_BY_MS: u64 = 300;

/// TWICE: answers to orders are delayed a little, and answers to polls, which come on another
/// connection, overtake them.
fn overtaken_answers(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let places = [(0, 0), (1, 0), (2, 0), (0, 0)];
    let world = start(record, &places, &config(0))?;
    sleep_ms(1_000);
    if trouble {
        record.note("network: answers to orders take 0 to 300 ms from here on; answers to polls are not delayed");
        for runner in &world.runners {
            runner
                .answer_delay_ms
                .store(OVERTAKEN_BY_MS, Ordering::SeqCst);
        }
    }
    let mut clients = Vec::new();
    for number in 0..120 {
        let world = Arc::clone(&world);
        clients.push(thread::spawn(move || {
            let path = format!("/quick/{}", id(number));
            world.submit(number as usize, &path, &job("ms=800", 6, 880, 800, ""))
        }));
        sleep_ms(220);
    }
    let accepted = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .filter(|ok| *ok)
        .count();
    sleep_ms(8_000);
    let runs: usize = record.runs().values().map(Vec::len).sum();
    record.note(&format!(
        "{accepted} of 120 jobs accepted, {} tasks, {runs} runs",
        record.runs().len()
    ));
    match accepted {
        0..60 => Err(format!("only {accepted} of 120 jobs were accepted")),
        _ => Ok(record.find_twice()),
    }
}

/// Tasks of the large job, all on the runners of one rack.
const LARGE_JOB_TASKS: usize = 2_800;

/// Acks: the runners of a rack crash under a large job, and nothing is stored any more.
fn big_job_rack_crash(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let places = [
        (0, 0),
        (1, 0),
        (2, 0),
        (0, 0),
        (1, 1),
        (2, 1),
        (0, 1),
        (1, 1),
    ];
    let world = start(record, &places, &config(0))?;
    let small: Vec<String> = (1..=6)
        .map(|number| format!("/quick/{}", id(number)))
        .collect();
    for path in &small {
        if !world.submit(0, path, &job("ms=90000", 1, 100, 60_000, "")) {
            return Err("a small job was not accepted".to_owned());
        }
    }
    let large = format!("/batch/{}", id(100));
    if !world.submit(
        1,
        &large,
        &job("ms=40000", LARGE_JOB_TASKS, 20, 40_000, "r0"),
    ) {
        return Err("the large job was not accepted".to_owned());
    }
    let count = || {
        record
            .runs()
            .values()
            .filter(|rows| rows.iter().any(|run| run.ended.is_none()))
            .count()
    };
    if !wait_until(Duration::from_secs(20), || count() >= LARGE_JOB_TASKS) {
        return Err(format!(
            "only {} tasks of the large job have started",
            count()
        ));
    }
    record.note("all tasks of the large job are at work");
    if trouble {
        for runner in world.runners.iter().filter(|runner| runner.rack == 0) {
            runner.crash();
        }
        sleep_ms(5_000);
        for runner in world.runners.iter().filter(|runner| runner.rack == 0) {
            runner.start_again();
        }
    }
    // Steady state: well over contact_ms after the last disruption.
    sleep_ms(12_000);
    record.note("12 s after the last disruption");
    let mut broken = Vec::new();
    let asked: Vec<_> = small
        .iter()
        .cloned()
        .enumerate()
        .map(|(number, path)| {
            let world = Arc::clone(&world);
            thread::spawn(move || {
                let begun = Instant::now();
                // ack_timeout_ms is 4,000; a client repeats a cancel that got no answer.
                while begun.elapsed() < Duration::from_millis(4_000) {
                    if let Some((200..=299 | 410, _)) = world.call(number % 3, "DELETE", &path, "")
                    {
                        return true;
                    }
                    sleep_ms(100);
                }
                false
            })
        })
        .collect();
    let unanswered = asked
        .into_iter()
        .filter_map(|asked| asked.join().ok())
        .filter(|ok| !ok)
        .count();
    if unanswered * 10 > small.len() {
        broken.push(format!(
            "Acks: {unanswered} of {} cancels of accepted jobs had no 2xx or 410 after ack_timeout_ms of steady state",
            small.len()
        ));
    }
    // All tasks have ended by 60 s, so that nothing is left to do.
    sleep_ms(60_000_u64.saturating_sub(record.now().as_millis() as u64));
    let mut accepted = 0;
    for number in 200..204 {
        let path = format!("/quick/{}", id(number));
        let answer = world.call(
            number as usize % 3,
            "POST",
            &path,
            &job("ms=300", 1, 10, 300, ""),
        );
        accepted += usize::from(matches!(answer, Some((200..=299, _))));
    }
    record.note(&format!(
        "{accepted} of 4 new jobs accepted at the end, with all runners free"
    ));
    let runs = record.runs();
    let ends: Vec<_> = runs
        .values()
        .flatten()
        .filter(|run| matches!(run.ended, Some((_, EndKind::Done))))
        .collect();
    let unnoted = ends.iter().filter(|run| run.noted.is_none()).count();
    record.note(&format!(
        "{unnoted} of {} ends are not taken note of",
        ends.len()
    ));
    if unnoted * 5 > ends.len() {
        broken.push(format!(
            "Acks: {unnoted} of {} ends that runners list are not taken note of",
            ends.len()
        ));
    }
    record.note(&format!(
        "the store rejected {} appends for the size of a record",
        world.store.refused_records()
    ));
    if world.store.refused_records() == 0 && !broken.is_empty() {
        return Err("broken for another reason than the size of a record".to_owned());
    }
    Ok(broken)
}

/// QUOTA: the zone of the owner is cut off, and the next owner starts what the tenant may not have.
fn quota_zone_cut(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let places = [(0, 0), (1, 1), (2, 2)];
    // The tenant may have 8 tasks of one core.
    let world = start(record, &places, &config(8_000))?;
    let owner = world.owner().ok_or("no owner")?;
    let first = format!("/quick/{}", id(1));
    if !world.submit(
        owner,
        &first,
        &job("ms=30000", 8, 1_000, 30_000, &format!("zone-{owner}")),
    ) {
        return Err("the first job was not accepted".to_owned());
    }
    let running = || {
        record
            .runs()
            .values()
            .flatten()
            .filter(|run| run.ended.is_none())
            .count()
    };
    if !wait_until(Duration::from_secs(5), || running() == 8) {
        return Err("the first job did not start".to_owned());
    }
    sleep_ms(2_000);
    if trouble {
        record.note(&format!(
            "zone z{owner}, where the owner is, is cut off from the others and from the platform"
        ));
        world.links.set_cut(Some(owner));
    }
    let other = (owner + 1) % 3;
    let second = format!("/quick/{}", id(2));
    let body = job("ms=3000", 8, 1_000, 3_000, "");
    let begun = Instant::now();
    let mut accepted = false;
    while !accepted && begun.elapsed() < Duration::from_millis(5_000) {
        accepted = matches!(
            world.call(other, "POST", &second, &body),
            Some((200..=299, _))
        );
        sleep_ms(50);
    }
    sleep_ms(1_000);
    if trouble {
        sleep_ms(5_500_u64.saturating_sub(begun.elapsed().as_millis() as u64));
        world.links.set_cut(None);
        record.note("the cut is over");
    }
    sleep_ms(2_000);
    // A start may bring the tenant to max_count x 1.1 and one task more: 9.8 tasks of one core.
    let runs = record.runs();
    let all: Vec<_> = runs.values().flatten().collect();
    let mut broken = Vec::new();
    for run in &all {
        let at_work = all.iter().filter(|row| {
            row.started <= run.started && row.ended.is_none_or(|end| end.0 > run.started)
        });
        let at_work = at_work.count();
        if at_work * 1_000 > 9_800 {
            broken.push(format!(
                "QUOTA: a start at {:.3} s on {} brings the tenant to {at_work} cores; it may have 8, and 9.8 with the allowance",
                run.started.as_secs_f64(), run.runner
            ));
        }
    }
    match accepted {
        false => Err("the second job was not accepted".to_owned()),
        true => Ok(broken),
    }
}

/// How long the crashing task works before it crashes its runner, in milliseconds.
const CRASHES_AFTER_MS: u64 = 1_500;

/// BUDGET: a task crashes each runner that starts it, some time after the start.
fn crashing_task(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let places = [
        (0, 0),
        (1, 0),
        (2, 0),
        (0, 0),
        (1, 1),
        (2, 1),
        (0, 1),
        (1, 1),
    ];
    let world = start(record, &places, &config(0))?;
    // Other work, so that the runners aren't idle.
    for number in 1..=6 {
        let path = format!("/batch/{}", id(number));
        if !world.submit(0, &path, &job("ms=60000", 4, 1_000, 60_000, "")) {
            return Err("a job was not accepted".to_owned());
        }
    }
    sleep_ms(3_000);
    let spec = match trouble {
        true => format!("ms=4000 crashes={CRASHES_AFTER_MS}"),
        false => "ms=4000".to_owned(),
    };
    let path = format!("/quick/{}", id(100));
    if !world.submit(1, &path, &job(&spec, 1, 1_000, 4_000, "")) {
        return Err("the job was not accepted".to_owned());
    }
    sleep_ms(80_000);
    let mut broken = Vec::new();
    for (task, rows) in record.runs() {
        if !task.starts_with(&id(100)) {
            continue;
        }
        for (at, row) in rows.iter().enumerate() {
            let crashed = rows[..at]
                .iter()
                .filter(|run| matches!(run.ended, Some((_, EndKind::Lost))))
                .count();
            if crashed >= 5 {
                broken.push(format!(
                    "BUDGET: {task} run {} starts at {:.3} s, start {} after three runners have crashed under it",
                    row.run,
                    row.started.as_secs_f64(),
                    crashed - 2,
                ));
            }
        }
    }
    Ok(broken)
}

/// LOST: runners crash and start again under their ids at other addresses, while jobs come.
fn address_changed(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let places: Vec<(usize, usize)> = (0..8).map(|index| (index % 3, index)).collect();
    let world = start(record, &places, &config(0))?;
    let rounds = 20;
    for round in 0..rounds {
        let index = round % places.len();
        if trouble {
            world.runners[index].crash();
        }
        sleep_ms(3_000);
        let path = format!("/quick/{}", id(round as u64 + 1));
        if !world.submit(
            round,
            &path,
            &job("ms=500", 1, 1_000, 500, &format!("r{index}")),
        ) {
            return Err("a job was not accepted".to_owned());
        }
        if trouble {
            world
                .start_elsewhere(index)
                .map_err(|error| error.to_string())?;
        }
        sleep_ms(700);
    }
    // finish_s after the end of the traffic.
    sleep_ms(14_000);
    let mut broken = Vec::new();
    for round in 0..rounds {
        let path = format!("/quick/{}", id(round as u64 + 1));
        let state = world.call(round % 3, "GET", &path, "");
        let runs = record.runs();
        let started = runs
            .keys()
            .any(|task| task.starts_with(&id(round as u64 + 1)));
        let is_completed = state
            .as_ref()
            .is_some_and(|state| state.1.contains("completed"));
        if !is_completed && !started {
            broken.push(format!(
                "LOST: {path}, accepted at least 14 s ago, has never had anything running, with all runners up and idle; it is shown as {}",
                state.map_or("nothing".to_owned(), |state| state.1)
            ));
        }
    }
    Ok(broken)
}
