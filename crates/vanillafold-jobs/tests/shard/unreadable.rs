//! Answers of workers of which a part can't be read.

use vanillafold_jobs::{PollReport, TaskId, Wave};

use crate::fixture::{
    accept_start, at, job, job_id, listed_run, poll, report, schedule_starts, shard_after_takeover,
    shard_with_two_runs, shard_with_workers, step, store_batches, task, unix, vm,
};

/// Returns a report that lists these runs and others that can't be read.
fn unreadable_report(clock_ms: u64, runs: &[(TaskId, u64)]) -> PollReport {
    PollReport {
        running: runs.iter().map(|run| listed_run(run.0, run.1)).collect(),
        has_unreadable_runs: true,
        ..report(clock_ms)
    }
}

/// If the run counted as ended, its task would run twice.
#[test]
fn a_run_whose_row_cannot_be_read_goes_on() {
    let (mut shard, runs) = shard_with_two_runs();

    let mut restarted = Vec::new();
    for ms in [1_100, 1_300, 1_500] {
        poll(&mut shard, "w1", &unreadable_report(ms, &runs[..1]), ms);
        restarted.extend(schedule_starts(&mut shard, ms + 1));
    }

    assert_eq!(restarted, vec![]);
    assert_eq!(shard.run_count(), 2);
}

#[test]
fn a_run_that_a_readable_answer_does_not_list_is_lost() {
    let (mut shard, runs) = shard_with_two_runs();

    poll(
        &mut shard,
        "w1",
        &unreadable_report(1_100, &runs[..1]),
        1_100,
    );
    let mut readable = report(1_300);
    readable.running.push(listed_run(runs[0].0, runs[0].1));
    poll(&mut shard, "w1", &readable, 1_300);
    let restarted = schedule_starts(&mut shard, 1_301);

    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].0, runs[1].0);
}

/// The unreadable run may be the task's, which an earlier owner started.
#[test]
fn a_task_that_may_be_an_unreadable_run_waits_for_the_leases_of_the_earlier_owner() {
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    poll(&mut shard, "w2", &report(10_000), 10);

    let mut early = Vec::new();
    for ms in (20..6_500).step_by(500) {
        poll(&mut shard, "w1", &unreadable_report(10_000 + ms, &[]), ms);
        early.extend(schedule_starts(&mut shard, ms + 1));
    }
    let late = schedule_starts(&mut shard, 6_700);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task(job_id(1), 0));
}

/// The worker has restarted: the task of the lost run would never be started again.
#[test]
fn a_poll_without_a_start_time_whose_clock_went_back_ends_the_runs_of_its_worker() {
    let mut shard = shard_with_workers(&["w1"]);
    poll(&mut shard, "w1", &report(500_000), 900);
    shard.submit(job_id(1), job(vec![step(2)]), at(900), unix(900));
    store_batches(&mut shard);
    let started = schedule_starts(&mut shard, 1_000);
    for (task, run, _) in &started {
        accept_start(&mut shard, "w1", *task, *run, 1_010);
    }
    let without_start_time = |clock_ms| PollReport {
        started_unix_ms: None,
        running: started.iter().map(|row| listed_run(row.0, row.1)).collect(),
        ..report(clock_ms)
    };

    poll(&mut shard, "w1", &without_start_time(500_000), 1_020);
    let unchanged = schedule_starts(&mut shard, 1_030);
    let restarted = PollReport {
        running: Vec::new(),
        ..without_start_time(499_999)
    };
    poll(&mut shard, "w1", &restarted, 1_040);
    let started_again = schedule_starts(&mut shard, 1_050);

    assert_eq!(unchanged, vec![]);
    assert_eq!(started_again.len(), 2);
}

/// The worker of the VM whose row can't be read may run the task for an earlier owner.
#[test]
fn a_takeover_with_an_unreadable_vm_waits_for_the_leases_of_the_earlier_owner() {
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    shard.set_readable_vms(vec![vm("w1", "w1")], at(1));
    poll(&mut shard, "w1", &report(10_000), 10);
    poll(&mut shard, "w2", &report(10_000), 10);

    let early = schedule_starts(&mut shard, 6_000);
    let late = schedule_starts(&mut shard, 6_700);

    assert_eq!((early.len(), late.len()), (0, 1));
}

/// A VM whose row can't be read for a moment has not had its maintenance.
#[test]
fn a_wave_waits_for_a_vm_whose_row_cannot_be_read() {
    let mut shard = shard_with_workers(&["w1", "w2"]);
    let wave = Wave {
        number: 3,
        vms: vec!["w2".to_owned()],
        duration_ms: 60_000,
        max_unavailable: 1,
    };
    shard.add_wave(wave, at(1_000));

    shard.set_readable_vms(vec![vm("w1", "w1")], at(5_000));
    shard.schedule(at(5_100), unix(5_100));

    let status = shard.next_wave_status().expect("a status");
    assert!(!status.completed);
    assert_eq!(shard.take_vm_operations().len(), 1);
}
