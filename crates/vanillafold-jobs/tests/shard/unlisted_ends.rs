//! Workers that hold more ends than they list at a time.

use vanillafold_jobs::{EndKind, ListedEnd, OrderAnswer, PollReport, Shard};

use crate::fixture::{
    acknowledged_end, at, job, job_id, listed_end, poll, report, schedule_starts,
    shard_after_takeover, shard_with_two_runs, step, store_batches, task, unix, worker,
};

/// Returns a report that lists these ends and leaves out others.
fn cut_report(clock_ms: u64, ended: Vec<ListedEnd>) -> PollReport {
    PollReport {
        ended,
        has_more_ends: true,
        ..report(clock_ms)
    }
}

fn state(shard: &Shard, number: u64) -> Option<String> {
    let state = shard.state(job_id(number));
    state.map(|state| state.to_string())
}

/// A run that has ended beyond the listed ends counted as lost, and its task ran again.
#[test]
fn a_run_that_ended_beyond_the_listed_ends_is_not_started_again() {
    let (mut shard, runs) = shard_with_two_runs();
    let done = |number: usize| {
        let (task, run) = runs[number - 1];
        listed_end(number as u64, task, run, EndKind::Done)
    };

    // Both are done; w1 lists the first end only until it is acknowledged.
    poll(&mut shard, "w1", &cut_report(1_100, vec![done(1)]), 1_100);
    let restarted = schedule_starts(&mut shard, 1_101);
    let mut rest = report(1_200);
    rest.ended.push(done(2));
    poll(&mut shard, "w1", &rest, 1_200);
    store_batches(&mut shard);

    assert_eq!(restarted, vec![]);
    assert_eq!(state(&shard, 1), Some("completed".to_owned()));
}

/// A new owner took the first answer of a worker as complete. Nor do the leases of the earlier
/// owner show what has completed on a worker that answers.
#[test]
fn a_task_that_completed_beyond_the_listed_ends_is_not_started_again_after_a_takeover() {
    for listed_at_ms in [50, 7_000] {
        // Arrange
        let mut shard = shard_after_takeover(job(vec![step(2)]), &["w1"]);
        let first = listed_end(1, task(job_id(1), 0), 7, EndKind::Done);
        let second = listed_end(2, task(job_id(1), 1), 8, EndKind::Done);

        // Act
        poll(&mut shard, "w1", &cut_report(10_000, vec![first]), 10);
        let early = schedule_starts(&mut shard, 11);
        let late = schedule_starts(&mut shard, listed_at_ms);
        let mut rest = report(10_000 + listed_at_ms);
        rest.ended.push(second);
        poll(&mut shard, "w1", &rest, listed_at_ms);
        let afterwards = schedule_starts(&mut shard, listed_at_ms + 1);
        store_batches(&mut shard);

        // Assert
        assert_eq!((early, late, afterwards), (vec![], vec![], vec![]));
        assert_eq!(state(&shard, 1), Some("completed".to_owned()));
    }
}

/// A new owner waits for the rest of a worker's ends, which the worker lists only once the first are
/// acknowledged. These wait until the worker is accounted for unless the list is cut.
#[test]
fn ends_that_wait_for_a_takeover_do_not_hold_up_the_ends_behind_them() {
    // Arrange: the listed ends say nothing about newer runs of their tasks.
    let mut shard = shard_after_takeover(job(vec![step(3)]), &["w1", "w2"]);
    let ended = vec![
        listed_end(1, task(job_id(1), 0), 7, EndKind::Stopped),
        listed_end(2, task(job_id(1), 1), 7, EndKind::Failed),
    ];

    // Act
    poll(&mut shard, "w1", &cut_report(10_000, ended), 10);
    let unstored = acknowledged_end(&mut shard, "w1", 200);
    store_batches(&mut shard);
    let stored = acknowledged_end(&mut shard, "w1", 400);
    let mut rest = report(10_400);
    rest.ended
        .push(listed_end(3, task(job_id(1), 2), 7, EndKind::Done));
    poll(&mut shard, "w1", &rest, 400);
    poll(&mut shard, "w2", &report(10_400), 400);
    let started = schedule_starts(&mut shard, 401);

    // Assert
    assert_eq!(unstored, Some(1));
    assert_eq!(stored, Some(2));
    assert_eq!(started.len(), 2);
}

/// Three failed runs are all that the queue allows. The ends of two were acknowledged before the
/// owner knew of the third.
#[test]
fn failed_runs_in_a_cut_list_count_before_their_ends_are_acknowledged() {
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1"]);
    let failed = |number| listed_end(number, task(job_id(1), 0), number, EndKind::Failed);

    let cut = cut_report(10_000, vec![failed(1), failed(2)]);
    poll(&mut shard, "w1", &cut, 10);
    store_batches(&mut shard);
    let acknowledged = acknowledged_end(&mut shard, "w1", 200);
    let mut rest = report(10_200);
    rest.ended.push(failed(3));
    poll(&mut shard, "w1", &rest, 200);
    let started = schedule_starts(&mut shard, 201);
    store_batches(&mut shard);

    assert_eq!(acknowledged, Some(2));
    assert_eq!(started, vec![]);
    assert_eq!(state(&shard, 1), Some("failed".to_owned()));
}

/// Nothing waits for the ends of a worker whose leases have expired.
#[test]
fn a_worker_that_is_lost_with_unlisted_ends_holds_up_no_task() {
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    poll(&mut shard, "w2", &report(10_000), 10);
    poll(&mut shard, "w1", &cut_report(10_000, Vec::new()), 10);
    let mut started = Vec::new();
    for ms in [200, 5_000, 8_000] {
        poll(&mut shard, "w2", &report(10_000 + ms), ms);
        shard.poll_failed(&worker("w1"), OrderAnswer::Unknown, at(ms), unix(ms));
        started.push(schedule_starts(&mut shard, ms + 1).len());
    }

    assert_eq!(started, vec![0, 0, 1]);
}
