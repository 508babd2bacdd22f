//! Placement near data and on one rack, and waiting for it.

use vanillafold_jobs::{
    EndKind, Epoch, NearWaitCounts, OrderAnswer, QueueInfo, Settings, Shard, StepSpec,
    SubmitOutcome, TaskId, WorkerEntry,
};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_end, listed_run, poll, report,
    schedule_starts, settings, step, store_batches, unix, with_entries, worker, worker_entry,
};

type Starts = Vec<(TaskId, u64, String)>;

/// When the tasks that fill the workers have started.
const FILLED_MS: u64 = 20;
/// When the job under test is submitted: the filling tasks have 400 ms left.
const SUBMITTED_MS: u64 = 620;

fn on_rack(name: &str, rack: &str) -> WorkerEntry {
    WorkerEntry {
        labels: vec!["a".to_owned(), rack.to_owned()],
        ..worker_entry(name)
    }
}

/// Returns a shard where remote runs take `factor_permille` thousandths of near ones. Its workers w1
/// and w2 are on rack A, w3 and w4 on rack B.
fn shard_with_racks(factor_permille: u64) -> Shard {
    let settings = Settings {
        remote_factor_permille: factor_permille,
        ..settings()
    };
    let shard = Shard::load(settings, Epoch::new(5), Vec::new(), at(0), unix(0));
    let racks = [("w1", "A"), ("w2", "A"), ("w3", "B"), ("w4", "B")];
    let entries = racks.map(|(name, rack)| on_rack(name, rack));
    with_entries(shard, entries.to_vec())
}

fn submit(shard: &mut Shard, number: u64, step: StepSpec, ms: u64) {
    let outcome = shard.submit(job_id(number), job(vec![step]), at(ms), unix(ms));
    assert_eq!(outcome, SubmitOutcome::Storing);
    store_batches(shard);
}

fn near(rack: &str, step: StepSpec) -> StepSpec {
    StepSpec {
        data_rack: rack.to_owned(),
        ..step
    }
}

fn together(count: u32, gang: bool) -> StepSpec {
    StepSpec {
        same_rack: true,
        gang,
        ..step(count)
    }
}

/// Starts tasks of one core that are expected to take `estimate_ms` on a rack.
fn fill(shard: &mut Shard, number: u64, (rack, count): (&str, u32), estimate_ms: u64) -> Starts {
    let filling = StepSpec {
        estimate_ms,
        ..near(rack, step(count))
    };
    submit(shard, number, filling, FILLED_MS);
    let starts = schedule_starts(shard, FILLED_MS);
    for (task, run, on) in &starts {
        accept_start(shard, on, *task, *run, FILLED_MS);
    }
    assert_eq!(starts.len(), count as usize);
    starts
}

/// Reports that all these runs are done, at `ms`.
fn finish(shard: &mut Shard, runs: &Starts, ms: u64) {
    for name in ["w1", "w2", "w3", "w4"] {
        let mut ended = report(ms);
        let here = runs.iter().filter(|row| row.2 == name);
        for (number, (task, run, _)) in here.enumerate() {
            let number = 100 + number as u64;
            ended
                .ended
                .push(listed_end(number, *task, *run, EndKind::Done));
        }
        if !ended.ended.is_empty() {
            poll(shard, name, &ended, ms);
        }
    }
    store_batches(shard);
}

/// Returns the workers of these starts, sorted.
fn workers(starts: &Starts) -> Vec<&str> {
    let mut workers: Vec<&str> = starts.iter().map(|row| row.2.as_str()).collect();
    workers.sort_unstable();
    workers
}

const fn counts(begun: u64, ended_near: u64, ended_remote: u64) -> NearWaitCounts {
    NearWaitCounts {
        begun,
        ended_near,
        ended_remote,
    }
}

/// Returns a shard where a task waits for rack A, and the runs there.
fn shard_with_waiting_task() -> (Shard, Starts) {
    let mut shard = shard_with_racks(3_000);
    let filling = fill(&mut shard, 100, ("A", 8), 1_000);
    submit(&mut shard, 1, near("A", step(1)), SUBMITTED_MS);
    let starts = schedule_starts(&mut shard, SUBMITTED_MS);
    assert_eq!(starts, vec![]);
    (shard, filling)
}

/// On another rack the task would take 3 s at once; on its own it takes 1 s after 0.4 s.
#[test]
fn a_task_waits_for_the_rack_of_its_data_and_starts_there() {
    let (mut shard, filling) = shard_with_waiting_task();

    finish(&mut shard, &filling, 1_020);
    let starts = schedule_starts(&mut shard, 1_030);

    assert_eq!(starts.len(), 1);
    assert!(["w1", "w2"].contains(&starts[0].2.as_str()));
    assert_eq!(shard.near_wait_counts(), counts(1, 1, 0));
}

/// The capacity that a waiting task could have used remotely must not stay idle.
#[test]
fn a_waiting_task_does_not_keep_others_from_starting() {
    let (mut shard, _) = shard_with_waiting_task();
    submit(&mut shard, 2, step(8), 630);

    let starts = schedule_starts(&mut shard, 640);

    assert_eq!(workers(&starts)[..4], ["w3"; 4]);
    assert_eq!(workers(&starts)[4..], ["w4"; 4]);
}

/// Two tasks can't both count on the same run to end.
#[test]
fn tasks_wait_only_for_as_much_room_as_is_expected_in_time() {
    let mut shard = shard_with_racks(1_300);
    fill(&mut shard, 100, ("A", 7), 10_000);
    fill(&mut shard, 101, ("A", 1), 800);

    submit(&mut shard, 1, near("A", step(3)), SUBMITTED_MS);
    let starts = schedule_starts(&mut shard, SUBMITTED_MS);

    assert_eq!(workers(&starts), ["w3", "w3"]);
    assert_eq!(shard.near_wait_counts(), counts(1, 0, 0));
}

/// Waiting as long as a remote run takes gains nothing, a job must not become late by it, and a
/// persistent task serves users meanwhile. Without a factor nothing changes.
#[test]
fn a_task_starts_remotely_at_once_if_waiting_does_not_pay() {
    let persistent = StepSpec {
        persistent: true,
        ..near("A", step(1))
    };
    let cases = [
        (3_000, 10_000, 600, near("A", step(1))),
        (3_000, 1_000, 0, near("A", step(1))),
        (3_000, 1_000, 600, persistent),
        (1_000, 1_000, 600, near("A", step(1))),
    ];
    for (factor_permille, filling_ms, target_latency_ms, waiting) in cases {
        let mut shard = shard_with_racks(factor_permille);
        let mut tight = catalogue();
        tight.version = 2;
        tight.queues[0].stretch_permille = 1_200;
        tight.queues[0].target_latency_ms = target_latency_ms;
        shard.set_catalogue(tight);
        fill(&mut shard, 100, ("A", 8), filling_ms);

        submit(&mut shard, 1, waiting, SUBMITTED_MS);
        let starts = schedule_starts(&mut shard, SUBMITTED_MS);

        assert_eq!(workers(&starts), ["w3"]);
        assert_eq!(shard.near_wait_counts(), counts(0, 0, 0));
    }
}

/// Workers that are lost, or cut off with their zone, free no room.
#[test]
fn the_wait_ends_when_the_near_workers_are_lost() {
    let (mut shard, _) = shard_with_waiting_task();
    let failed = |shard: &mut Shard, name: &str| {
        shard.poll_failed(&worker(name), OrderAnswer::Unknown, at(700), unix(700));
    };

    failed(&mut shard, "w1");
    let with_one_left = schedule_starts(&mut shard, 700);
    failed(&mut shard, "w2");
    let with_none = schedule_starts(&mut shard, 710);

    assert_eq!(with_one_left, vec![]);
    assert_eq!(workers(&with_none), ["w3"]);
    assert_eq!(shard.near_wait_counts(), counts(1, 0, 1));
}

/// Runs that hang are always expected to end soon. The wait of 2 s at most must hold all the same.
#[test]
fn the_wait_is_bounded_if_the_near_runs_do_not_end() {
    let mut shard = shard_with_racks(3_000);
    let mut relaxed = catalogue();
    relaxed.version = 2;
    relaxed.queues[0].target_latency_ms = 60_000;
    shard.set_catalogue(relaxed);
    let filling = fill(&mut shard, 100, ("A", 8), 1_000);
    submit(&mut shard, 1, near("A", step(1)), SUBMITTED_MS);

    let mut ms = SUBMITTED_MS;
    let mut starts = schedule_starts(&mut shard, ms);
    while starts.is_empty() && ms < 10_000 {
        ms += 50;
        for name in ["w1", "w2", "w3", "w4"] {
            let mut listed = report(ms);
            let here = filling.iter().filter(|row| row.2 == name);
            listed.running = here.map(|row| listed_run(row.0, row.1)).collect();
            poll(&mut shard, name, &listed, ms);
        }
        starts = schedule_starts(&mut shard, ms);
    }

    assert_eq!(workers(&starts), ["w3"]);
    assert!((1_500..=SUBMITTED_MS + 2_000).contains(&ms), "{ms}");
    assert_eq!(shard.near_wait_counts(), counts(1, 0, 1));
}

/// A VM that has joined the near rack is no part of the racks that were known when the wait began.
#[test]
fn a_worker_that_joins_the_near_rack_ends_the_wait() {
    let (mut shard, _) = shard_with_waiting_task();

    shard.update_worker(on_rack("w0", "A"), at(650));
    poll(&mut shard, "w0", &report(1), 660);
    let starts = schedule_starts(&mut shard, 670);

    assert_eq!(workers(&starts), ["w0"]);
}

/// A remote run of 3 s would otherwise count as a task of 3 s, which might wait for 6 s.
#[test]
fn remote_runs_do_not_raise_the_expected_duration_of_near_ones() {
    let mut shard = shard_with_racks(3_000);
    let mut two_queues = catalogue();
    two_queues.version = 2;
    two_queues.queues[0].target_latency_ms = 60_000;
    let other = QueueInfo {
        name: "reports".to_owned(),
        ..two_queues.queues[0].clone()
    };
    two_queues.queues.push(other);
    shard.set_catalogue(two_queues);
    let mut filling = job(vec![StepSpec {
        estimate_ms: 20_000,
        ..near("A", step(8))
    }]);
    filling.queue = "reports".to_owned();
    shard.submit(job_id(100), filling, at(20), unix(20));
    store_batches(&mut shard);
    schedule_starts(&mut shard, 20);
    submit(&mut shard, 1, near("A", step(1)), 20);
    let remote = schedule_starts(&mut shard, 20);
    accept_start(&mut shard, "w3", remote[0].0, remote[0].1, 20);
    finish(&mut shard, &remote, 3_020);

    submit(&mut shard, 2, near("A", step(1)), 17_000);
    let starts = schedule_starts(&mut shard, 17_000);

    assert_eq!(workers(&remote), ["w3"]);
    assert_eq!(workers(&starts), ["w3"]);
}

/// The fullest worker is on a rack that can't hold the group. Members on two racks are all slow.
#[test]
fn a_group_that_fits_on_one_rack_is_placed_there() {
    for (gang, factor_permille) in [(true, 1_000), (false, 1_000), (true, 3_000), (false, 3_000)] {
        let mut shard = shard_with_racks(factor_permille);
        fill(&mut shard, 100, ("A", 5), 1_000);

        submit(&mut shard, 1, together(6, gang), SUBMITTED_MS);
        let starts = schedule_starts(&mut shard, SUBMITTED_MS);

        assert_eq!(workers(&starts), ["w3", "w3", "w3", "w3", "w4", "w4"]);
        assert_eq!(shard.near_wait_counts(), counts(0, 0, 0));
    }
}

/// A gang needs the room of several runs at once. Others would take each bit as it becomes free.
#[test]
fn a_gang_waits_for_a_rack_which_is_kept_free_for_it() {
    let mut shard = shard_with_racks(3_000);
    let on_a = fill(&mut shard, 100, ("A", 3), 1_000);
    fill(&mut shard, 101, ("B", 4), 1_200);
    submit(&mut shard, 1, together(6, true), SUBMITTED_MS);
    // This job has more work, so that it is placed after the gang.
    let others = StepSpec {
        estimate_ms: 30_000,
        ..step(3)
    };
    submit(&mut shard, 2, others, SUBMITTED_MS);

    let before = schedule_starts(&mut shard, SUBMITTED_MS);
    finish(&mut shard, &on_a, 1_020);
    let after = schedule_starts(&mut shard, 1_030);

    assert!(before.iter().all(|row| row.0.job == job_id(2)));
    assert_eq!(workers(&before), ["w4", "w4", "w4"]);
    assert!(after.iter().all(|row| row.0.job == job_id(1)));
    assert_eq!(workers(&after), ["w1", "w1", "w1", "w1", "w2", "w2"]);
    assert_eq!(shard.near_wait_counts(), counts(1, 1, 0));
}

/// Waiting for longer than the remote runs take, or for a rack that is too small, helps nobody.
#[test]
fn a_gang_starts_on_two_racks_at_once_if_waiting_does_not_pay() {
    for (count, filling_ms) in [(6, 10_000), (9, 1_000)] {
        let mut shard = shard_with_racks(3_000);
        fill(&mut shard, 100, ("A", 3), filling_ms);
        fill(&mut shard, 101, ("B", 3), filling_ms);

        submit(&mut shard, 1, together(count, true), SUBMITTED_MS);
        let starts = schedule_starts(&mut shard, SUBMITTED_MS);

        assert_eq!(starts.len(), count as usize);
        assert_eq!(shard.near_wait_counts(), counts(0, 0, 0));
    }
}

/// Tasks that need not start together use the room that their rack has, and the others follow there.
#[test]
fn the_tasks_of_a_step_follow_each_other_on_one_rack() {
    let mut shard = shard_with_racks(3_000);
    let on_a = fill(&mut shard, 100, ("A", 3), 1_000);
    fill(&mut shard, 101, ("B", 4), 1_000);
    submit(&mut shard, 1, together(6, false), SUBMITTED_MS);

    let first = schedule_starts(&mut shard, SUBMITTED_MS);
    finish(&mut shard, &on_a, 1_020);
    let rest = schedule_starts(&mut shard, 1_030);

    assert_eq!((first.len(), rest.len()), (5, 1));
    let mut all = workers(&first);
    all.extend(workers(&rest));
    assert!(all.iter().all(|name| ["w1", "w2"].contains(name)));
    assert_eq!(shard.near_wait_counts(), counts(1, 1, 0));
}

/// A part of the group already runs on another rack, so that all its tasks are slow: the rest must not
/// wait as well.
#[test]
fn a_step_that_runs_on_two_racks_does_not_wait() {
    let mut shard = shard_with_racks(1_500);
    fill(&mut shard, 100, ("A", 4), 6_000);
    fill(&mut shard, 101, ("B", 6), 6_000);
    submit(&mut shard, 1, together(8, false), SUBMITTED_MS);
    let first = schedule_starts(&mut shard, SUBMITTED_MS);
    for (task, run, on) in &first {
        accept_start(&mut shard, on, *task, *run, 630);
    }

    shard.update_worker(on_rack("w5", "C"), at(650));
    poll(&mut shard, "w5", &report(1), 660);
    let rest = schedule_starts(&mut shard, 670);

    assert_eq!(first.len(), 6);
    assert_eq!(workers(&rest), ["w5", "w5"]);
    assert_eq!(shard.near_wait_counts(), counts(0, 0, 0));
}
