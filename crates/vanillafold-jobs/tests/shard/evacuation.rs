//! Evacuation of zones: what is placed, moved and refused meanwhile, and the return of the zone.

use vanillafold_jobs::{
    EndKind, Epoch, EvacuationCounts, Order, OrderAnswer, Record, RunNumber, Shard, StepSpec,
    SubmitOutcome, TaskId, VmOperation, WorkerEntry,
};

use crate::fixture::{
    accept_start, answer_start, at, catalogue, job, job_id, listed_end, listed_run, poll, report,
    schedule_starts, settings, step, stop_run, store_batches, task, unix, vm, worker, worker_entry,
};

/// Workers with their zones.
type Zones<'a> = &'a [(&'a str, &'a str)];

fn entry_in(name: &str, zone: &str) -> WorkerEntry {
    WorkerEntry {
        zone: zone.to_owned(),
        ..worker_entry(name)
    }
}

fn zone(name: &str) -> Vec<String> {
    vec![name.to_owned()]
}

/// Lists workers and their VMs, which have all responded.
fn add_workers(shard: &mut Shard, zones: Zones<'_>) {
    let entries = zones.iter().map(|row| entry_in(row.0, row.1)).collect();
    shard.set_workers(entries, at(0));
    let vms = zones.iter().map(|row| vanillafold_jobs::Vm {
        zone: row.1.to_owned(),
        ..vm(row.0, row.0)
    });
    shard.set_vms(vms.collect(), at(0));
    for (name, _) in zones {
        poll(shard, name, &report(1), 0);
    }
}

/// Returns a shard that does not know yet which zones are evacuated.
fn uninformed_shard(zones: Zones<'_>) -> Shard {
    let mut shard = Shard::load(settings(), Epoch::new(5), Vec::new(), at(0), unix(0));
    shard.set_catalogue(catalogue());
    add_workers(&mut shard, zones);
    shard
}

fn shard_in_zones(zones: Zones<'_>) -> Shard {
    let mut shard = uninformed_shard(zones);
    shard.set_evacuated_zones(&[], at(0));
    shard
}

fn submit(shard: &mut Shard, number: u64, steps: Vec<StepSpec>, ms: u64) -> SubmitOutcome {
    let outcome = shard.submit(job_id(number), job(steps), at(ms), unix(ms));
    store_batches(shard);
    outcome
}

fn names(starts: &[(TaskId, u64, String)]) -> Vec<&str> {
    let mut names: Vec<&str> = starts.iter().map(|start| start.2.as_str()).collect();
    names.sort_unstable();
    names
}

/// Starts the tasks of a job at `ms` and has their workers list them as fully running.
fn start_job(shard: &mut Shard, steps: Vec<StepSpec>, ms: u64) -> Vec<(TaskId, u64, String)> {
    submit(shard, 1, steps, ms);
    let started = schedule_starts(shard, ms);
    for (task, run, on) in &started {
        accept_start(shard, on, *task, *run, ms + 10);
    }
    list_runs(shard, &started, ms + 20);
    started
}

fn list_runs(shard: &mut Shard, runs: &[(TaskId, u64, String)], ms: u64) {
    for name in ["w1", "w2", "w3", "w4"] {
        let on_worker = runs.iter().filter(|run| run.2 == name);
        let mut listed = report(ms);
        listed.running = on_worker.map(|run| listed_run(run.0, run.1)).collect();
        poll(shard, name, &listed, ms);
    }
}

/// Runs a pass at `ms` and returns the tasks of its stop orders.
fn schedule_stops(shard: &mut Shard, ms: u64) -> Vec<TaskId> {
    shard.schedule(at(ms), unix(ms));
    let stop = |order: Order| match order {
        Order::Stop { task, .. } => Some(task),
        _ => None,
    };
    let orders = shard.take_orders().into_iter();
    orders.filter_map(|row| stop(row.1)).collect()
}

fn persistent(count: u32, max_unavailable: Option<u32>) -> StepSpec {
    StepSpec {
        persistent: true,
        anti_affinity: 1,
        max_unavailable,
        ..step(count)
    }
}

/// Every start in the zone went on while it was to be emptied.
#[test]
fn a_burst_starts_nothing_in_an_evacuated_zone() {
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "b"), ("w3", "a"), ("w4", "b")]);
    shard.set_evacuated_zones(&zone("a"), at(10));

    submit(&mut shard, 1, vec![step(16)], 100);
    let starts = schedule_starts(&mut shard, 110);

    assert_eq!(
        names(&starts),
        ["w2", "w2", "w2", "w2", "w4", "w4", "w4", "w4"]
    );
}

/// An owner that has not read the operator's requests can't vouch for any zone.
#[test]
fn an_owner_that_does_not_know_the_requests_starts_nothing_and_moves_no_vm() {
    let mut shard = uninformed_shard(&[("w1", "a"), ("w2", "b")]);
    submit(&mut shard, 1, vec![step(2)], 100);

    let uninformed = schedule_starts(&mut shard, 1_000);
    let moves = shard.take_vm_operations();
    shard.set_evacuated_zones(&zone("a"), at(1_100));
    let informed = schedule_starts(&mut shard, 1_100);

    assert_eq!(uninformed, vec![]);
    assert_eq!(moves, vec![]);
    assert_eq!(names(&informed), ["w2", "w2"]);
}

/// A repeated start order is a start, too.
#[test]
fn an_unanswered_start_is_not_repeated_in_a_zone_that_is_evacuated_meanwhile() {
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "b")]);
    submit(&mut shard, 1, vec![step(8)], 100);
    let starts = schedule_starts(&mut shard, 110);
    let (lost, run, on) = starts
        .iter()
        .find(|start| start.2 == "w1")
        .expect("a start");
    answer_start(&mut shard, on, (*lost, *run), OrderAnswer::Unknown, 600);

    shard.set_evacuated_zones(&zone("a"), at(700));
    poll(&mut shard, "w1", &report(800), 800);
    shard.schedule(at(810), unix(810));

    let orders = shard.take_orders();
    let of_lost = orders.iter().filter_map(|row| match &row.1 {
        Order::Start { task, .. } if task == lost => Some("start"),
        Order::Stop { task, .. } if task == lost => Some("stop"),
        _ => None,
    });
    assert_eq!(of_lost.collect::<Vec<_>>(), ["stop"]);
}

/// A worker that registers, or moves to the zone, after the request must not get work either.
#[test]
fn workers_that_appear_in_an_evacuated_zone_get_no_tasks() {
    let mut shard = shard_in_zones(&[("w2", "b")]);
    shard.set_evacuated_zones(&["a".to_owned(), "nowhere".to_owned()], at(10));
    shard.update_worker(entry_in("w1", "a"), at(20));
    poll(&mut shard, "w1", &report(30), 30);

    submit(&mut shard, 1, vec![step(8)], 100);
    let starts = schedule_starts(&mut shard, 110);

    assert_eq!(names(&starts), ["w2"; 4]);
}

/// Persistent tasks leave the zone one after the other, as their step may miss only one.
#[test]
fn persistent_tasks_are_replaced_elsewhere_within_the_limit_of_their_step() {
    // Arrange
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "a"), ("w3", "b"), ("w4", "b")]);
    shard.set_evacuated_zones(&zone("b"), at(10));
    let started = start_job(&mut shard, vec![persistent(2, Some(1))], 5_000);
    shard.set_evacuated_zones(&zone("a"), at(5_100));

    // Act
    let first = schedule_stops(&mut shard, 5_200);
    let second = schedule_stops(&mut shard, 5_450);
    let (stopped, run, on) = started.iter().find(|row| row.0 == first[0]).expect("a run");
    stop_run(&mut shard, on, *stopped, *run, 5_600);
    let replaced = schedule_starts(&mut shard, 5_700);
    let (task, run, replacement) = &replaced[0];
    accept_start(&mut shard, replacement, *task, *run, 5_710);
    let mut runs = vec![replaced[0].clone()];
    runs.extend(started.iter().filter(|row| row.0 != first[0]).cloned());
    list_runs(&mut shard, &runs, 5_800);
    let third = schedule_stops(&mut shard, 6_000);

    // Assert
    assert_eq!(names(&started), ["w1", "w2"]);
    assert_eq!(first.len(), 1);
    assert_eq!(second, vec![]);
    assert_eq!(replaced.len(), 1);
    assert!(["w3", "w4"].contains(&replacement.as_str()));
    assert_eq!(third.len(), 1);
    assert_ne!(third, first);
}

/// A stopped task without room elsewhere would not run at all.
#[test]
fn persistent_tasks_stay_while_no_other_zone_has_room() {
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "a")]);
    start_job(&mut shard, vec![persistent(2, Some(2))], 5_000);

    shard.set_evacuated_zones(&zone("a"), at(5_100));

    assert_eq!(schedule_stops(&mut shard, 5_200), vec![]);
    assert_eq!(schedule_stops(&mut shard, 9_000), vec![]);
}

/// Long tasks that can resume from a checkpoint leave; short ones, others and gangs end where they run.
#[test]
fn only_long_checkpointing_tasks_are_resumed_elsewhere() {
    let long = StepSpec {
        estimate_ms: 60_000,
        ..step(1)
    };
    let cases = [
        (
            StepSpec {
                checkpointing: true,
                ..long.clone()
            },
            1,
        ),
        (
            StepSpec {
                checkpointing: true,
                ..step(1)
            },
            0,
        ),
        (long.clone(), 0),
        (
            StepSpec {
                checkpointing: true,
                gang: true,
                ..long
            },
            0,
        ),
    ];
    for (spec, stops) in cases {
        let mut shard = shard_in_zones(&[("w1", "a")]);
        submit(&mut shard, 1, vec![spec.clone()], 5_000);
        let started = schedule_starts(&mut shard, 5_000);
        let (task, run, on) = started[0].clone();
        accept_start(&mut shard, &on, task, run, 5_010);
        let mut listed = report(5_020);
        listed.running = vec![vanillafold_jobs::ListedRun {
            percent: 5,
            ..listed_run(task, run)
        }];
        poll(&mut shard, &on, &listed, 5_020);
        shard.update_worker(entry_in("w3", "b"), at(5_030));
        poll(&mut shard, "w3", &report(5_030), 5_030);

        shard.set_evacuated_zones(&zone("a"), at(5_100));
        let stopped = schedule_stops(&mut shard, 5_200);

        assert_eq!(stopped.len(), stops, "{spec:?}");
        let resumed = shard.evacuation_counts().resumed;
        assert_eq!(resumed, stops as u64, "{spec:?}");
    }
}

/// Jobs that only the evacuated zones could run were accepted, and their callers waited in vain.
#[test]
fn jobs_that_only_evacuated_zones_could_run_are_refused_at_once() {
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "b")]);
    shard.update_worker(
        WorkerEntry {
            labels: vec!["gpu".to_owned(), "r1".to_owned()],
            ..entry_in("w1", "a")
        },
        at(5),
    );
    let labelled = StepSpec {
        required_label: "gpu".to_owned(),
        ..step(1)
    };
    shard.set_evacuated_zones(&zone("a"), at(10));

    let possible = submit(&mut shard, 1, vec![step(1)], 100);
    let impossible = submit(&mut shard, 2, vec![labelled.clone()], 100);
    shard.set_evacuated_zones(&["b".to_owned(), "a".to_owned()], at(110));
    let nowhere = submit(&mut shard, 3, vec![step(1)], 120);
    let lasting = submit(&mut shard, 4, vec![persistent(1, None)], 120);
    shard.set_evacuated_zones(&[], at(130));
    let again = submit(&mut shard, 2, vec![labelled], 140);

    let refused = SubmitOutcome::Refused {
        retry_after_ms: 5_000,
    };
    assert_eq!(possible, SubmitOutcome::Storing);
    assert_eq!(impossible, refused);
    assert_eq!(nowhere, refused);
    assert_eq!(lasting, SubmitOutcome::Storing);
    assert_eq!(again, SubmitOutcome::Storing);
}

/// Admission counted the room of the evacuated zone, and callers were served late.
#[test]
fn admission_counts_only_the_rest_of_the_fleet() {
    let accepted = |evacuated: &[String]| {
        let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "b"), ("w3", "a"), ("w4", "b")]);
        shard.set_evacuated_zones(evacuated, at(10));
        let jobs = 1..=40;
        let outcomes = jobs.map(|number| submit(&mut shard, number, vec![step(4)], 100 + number));
        outcomes
            .filter(|outcome| *outcome == SubmitOutcome::Storing)
            .count()
    };

    let (all, half) = (accepted(&[]), accepted(&zone("a")));

    assert!(half * 3 <= all * 2, "{half} of {all}");
    assert!(half > 0);
}

/// VMs of the zone are brought to no pool that is short, but idle ones may be switched off.
#[test]
fn vms_of_an_evacuated_zone_move_to_the_spare_pool_only() {
    let spare = |name: &str, zone: &str| vanillafold_jobs::Vm {
        pool: "spare".to_owned(),
        worker: None,
        zone: zone.to_owned(),
        ..vm(name, name)
    };
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "b")]);
    let vms = vec![
        vanillafold_jobs::Vm {
            zone: "a".to_owned(),
            ..vm("w1", "w1")
        },
        vanillafold_jobs::Vm {
            zone: "b".to_owned(),
            ..vm("w2", "w2")
        },
        spare("v1", "a"),
        spare("v2", "b"),
        spare("v3", ""),
    ];
    shard.set_vms(vms, at(0));
    shard.set_evacuated_zones(&zone("a"), at(10));
    submit(&mut shard, 1, vec![step(12)], 5_000);

    schedule_starts(&mut shard, 5_010);
    schedule_starts(&mut shard, 5_120);

    let moved = shard.take_vm_operations();
    let moved: Vec<(&str, &str)> = moved
        .iter()
        .map(|operation| match operation {
            VmOperation::Move { machine, pool } => (machine.as_str(), pool.as_str()),
            VmOperation::Upkeep { .. } => ("", ""),
        })
        .collect();
    assert_eq!(moved, [("v2", "pool-a"), ("w1", "spare")]);
}

/// All waiting work started at once on workers that may be cold.
#[test]
fn work_returns_step_by_step_after_the_withdrawal() {
    let mut shard = shard_in_zones(&[("w1", "a")]);
    shard.set_evacuated_zones(&zone("a"), at(10));
    shard.set_evacuated_zones(&zone("b"), at(5_000));
    submit(&mut shard, 1, vec![step(4)], 5_000);

    let at_once = schedule_starts(&mut shard, 5_010).len();
    let later = schedule_starts(&mut shard, 6_400).len();
    let at_last = schedule_starts(&mut shard, 7_100).len();

    assert_eq!((at_once, later, at_last), (1, 2, 1));
}

/// A worker that says that it is cold bears less for longer.
#[test]
fn a_cold_worker_gets_a_part_of_its_load_until_it_is_warm() {
    let mut shard = shard_in_zones(&[("w1", "a")]);
    let cold = WorkerEntry {
        cold_remaining_ms: 9_000,
        ..entry_in("w1", "a")
    };
    shard.set_evacuated_zones(&zone("a"), at(10));
    shard.update_worker(cold, at(20));
    shard.set_evacuated_zones(&[], at(5_000));
    submit(&mut shard, 1, vec![step(4)], 5_000);

    let cold = schedule_starts(&mut shard, 9_000).len();
    shard.update_worker(entry_in("w1", "a"), at(9_100));
    let warm = schedule_starts(&mut shard, 9_200).len();

    assert_eq!((cold, warm), (1, 3));
}

/// Runs in a zone that is cut off while it is evacuated start elsewhere once their leases have ended.
#[test]
fn runs_in_an_evacuated_zone_that_is_cut_off_start_elsewhere() {
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "b")]);
    shard.set_evacuated_zones(&zone("b"), at(10));
    let started = start_job(&mut shard, vec![step(2)], 1_000);
    shard.set_evacuated_zones(&zone("a"), at(1_100));

    shard.poll_failed(&worker("w1"), OrderAnswer::Unknown, at(1_500), unix(1_500));
    let before = schedule_starts(&mut shard, 3_000);
    poll(&mut shard, "w2", &report(9_000), 9_000);
    let after = schedule_starts(&mut shard, 9_010);

    assert_eq!(names(&started), ["w1", "w1"]);
    assert_eq!(before, vec![]);
    assert_eq!(names(&after), ["w2", "w2"]);
}

/// The next owner finds the job's runs in the zone and leaves them there, but starts the rest elsewhere.
#[test]
fn a_new_owner_adopts_runs_in_the_zone_and_starts_none_there() {
    let records = vec![Record::Spec(job_id(1), Box::new(job(vec![step(3)])))];
    let mut shard = Shard::load(settings(), Epoch::new(6), records, at(0), unix(0));
    shard.set_catalogue(catalogue());
    let zones = [("w1", "a"), ("w2", "b")];
    let entries = zones.iter().map(|row| entry_in(row.0, row.1)).collect();
    shard.set_workers(entries, at(0));
    shard.set_vms(vec![vm("w1", "w1"), vm("w2", "w2")], at(0));
    shard.set_evacuated_zones(&zone("a"), at(0));
    let mut listed = report(100);
    listed.running = vec![listed_run(task(job_id(1), 0), 1)];
    poll(&mut shard, "w1", &listed, 100);
    poll(&mut shard, "w2", &report(100), 100);

    let starts = schedule_starts(&mut shard, 200);

    assert_eq!(names(&starts), ["w2", "w2"]);
    // Before, runs that workers have not reported yet would be missing.
    assert_eq!(shard.evacuation_counts().runs, 0);
    schedule_starts(&mut shard, 2_500);
    let counts = shard.evacuation_counts();
    let expected = EvacuationCounts {
        zones: 1,
        runs: 1,
        ..EvacuationCounts::default()
    };
    assert_eq!(counts, expected);
}

/// A run that was treated as lost had completed; its end came while a second run was in progress, and was
/// ignored. The next step waited for the second run, which may never end.
#[test]
fn the_late_end_of_a_run_that_was_treated_as_lost_completes_its_task() {
    let mut shard = shard_in_zones(&[("w1", "a"), ("w2", "b")]);
    shard.set_evacuated_zones(&zone("b"), at(10));
    let next = StepSpec {
        after: vec![0],
        ..step(1)
    };
    let started = start_job(&mut shard, vec![step(1), next], 1_000);
    let (first, run, _) = started[0].clone();
    shard.set_evacuated_zones(&[], at(1_100));
    shard.poll_failed(&worker("w1"), OrderAnswer::Unknown, at(1_500), unix(1_500));
    poll(&mut shard, "w2", &report(9_000), 9_000);
    let again = schedule_starts(&mut shard, 9_010);
    accept_start(&mut shard, "w2", again[0].0, again[0].1, 9_020);

    let mut back = report(9_100);
    back.ended = vec![listed_end(1, first, run, EndKind::Done)];
    poll(&mut shard, "w1", &back, 9_100);
    shard.schedule(at(9_200), unix(9_200));

    let orders = shard.take_orders();
    let stops = orders.iter().any(|row| {
        let number = RunNumber::new(again[0].1);
        matches!(row.1, Order::Stop { task, run } if task == first && run == number)
    });
    let starts = orders
        .iter()
        .any(|row| matches!(row.1, Order::Start { task, .. } if task.step == 1));
    assert_eq!(again[0].0, first);
    assert!(stops, "the second run is not stopped");
    assert!(starts, "the next step does not start");
}
