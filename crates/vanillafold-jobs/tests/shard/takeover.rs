//! A new owner learns from the workers which runs are in progress.

use vanillafold_jobs::{
    Catalogue, EndKind, Epoch, JobProgress, OccurrenceProgress, Record, RunNumber, Shard,
    StepProgress,
};

use crate::fixture::{
    acknowledged_end, at, catalogue, job, job_id, listed_end, listed_run, poll, report,
    schedule_starts, settings, shard_after_takeover, step, store_batches, task, unix, vm,
    worker_entry,
};

/// The first worker to respond lists the end of an old run. If that end restarted the task, the
/// task would run twice, because a newer run is in progress on the other worker.
#[test]
fn an_old_end_does_not_restart_a_task_that_runs_on_a_worker_without_a_response_yet() {
    // Arrange: the lease of run 3 expired on w1; run 7 is in progress on w2.
    let task = task(job_id(1), 0);
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    let mut first = report(10_000);
    first
        .ended
        .push(listed_end(1, task, 3, EndKind::LeaseExpired));
    let mut second = report(10_000);
    second.running.push(listed_run(task, 7));

    // Act
    poll(&mut shard, "w1", &first, 10);
    let before = schedule_starts(&mut shard, 11);
    poll(&mut shard, "w2", &second, 20);
    let after = schedule_starts(&mut shard, 21);

    // Assert
    assert_eq!(before, vec![]);
    assert_eq!(after, vec![]);
    assert_eq!(shard.run_count(), 1);
}

/// Ends of several runs of one task arrive in any order. If an older end decided, a completed task
/// would be restarted. If the newest end were acknowledged before it is stored, it could be lost.
#[test]
fn the_newest_end_decides_once_all_workers_have_responded() {
    let task = task(job_id(1), 0);
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    let mut first = report(10_000);
    first
        .ended
        .push(listed_end(1, task, 3, EndKind::LeaseExpired));
    let mut second = report(10_000);
    second.ended.push(listed_end(1, task, 7, EndKind::Done));

    poll(&mut shard, "w1", &first, 10);
    poll(&mut shard, "w2", &second, 20);
    let started = schedule_starts(&mut shard, 21);
    let unstored = acknowledged_end(&mut shard, "w2", 200);
    store_batches(&mut shard);
    let stored = acknowledged_end(&mut shard, "w2", 400);

    assert_eq!(started, vec![]);
    assert_eq!(unstored, Some(0));
    assert_eq!(stored, Some(1));
    assert_eq!(
        shard.state(job_id(1)).map(|state| state.to_string()),
        Some("completed".to_owned())
    );
}

/// Until all leases of earlier owners have expired, 6,600 ms after the takeover, the task may be
/// running on the worker that does not respond; if it were started elsewhere, it could run twice.
#[test]
fn tasks_wait_for_a_worker_without_a_response_until_its_leases_have_expired() {
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);

    poll(&mut shard, "w1", &report(10_000), 10);
    let early = schedule_starts(&mut shard, 6_500);
    poll(&mut shard, "w1", &report(16_000), 6_590);
    let late = schedule_starts(&mut shard, 6_601);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Failed runs of one task on several workers together reach the queue's limit of three, so the job
/// must fail and not start another run.
#[test]
fn failures_of_old_runs_are_counted_when_all_workers_are_accounted_for() {
    let task = task(job_id(1), 0);
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    let mut first = report(10_000);
    first.ended.push(listed_end(1, task, 3, EndKind::Failed));
    first.ended.push(listed_end(2, task, 4, EndKind::Failed));
    let mut second = report(10_000);
    second.ended.push(listed_end(1, task, 5, EndKind::Failed));

    poll(&mut shard, "w1", &first, 10);
    poll(&mut shard, "w2", &second, 20);
    let started = schedule_starts(&mut shard, 21);
    store_batches(&mut shard);

    assert_eq!(started, vec![]);
    assert_eq!(
        shard.state(job_id(1)).map(|state| state.to_string()),
        Some("failed".to_owned())
    );
}

/// A worker lists an end again to the next owner until it is acknowledged. Counting the stored runs
/// twice would fail the job although it has an attempt left.
#[test]
fn a_failed_run_that_is_stored_does_not_count_again_when_its_worker_still_lists_it() {
    // Arrange: two failed runs of at most three are stored; their ends are not acknowledged.
    let task = task(job_id(1), 0);
    let mut progress = StepProgress::default();
    progress.add_failed_run(0, RunNumber::new(3));
    progress.add_failed_run(0, RunNumber::new(4));
    let progress = JobProgress {
        occurrences: vec![OccurrenceProgress {
            number: 0,
            steps: vec![progress],
        }],
        ..JobProgress::default()
    };
    let records = vec![
        Record::Spec(job_id(1), Box::new(job(vec![step(1)]))),
        Record::Progress(job_id(1), progress),
    ];
    let mut shard = Shard::load(settings(), Epoch::new(5), records, at(0), unix(0));
    shard.set_evacuated_zones(&[], at(0));
    shard.set_catalogue(catalogue());
    shard.set_workers(vec![worker_entry("w1")], at(0));
    shard.set_vms(vec![vm("w1", "w1")], at(0));
    let mut first = report(10_000);
    first.ended.push(listed_end(1, task, 3, EndKind::Failed));
    first.ended.push(listed_end(2, task, 4, EndKind::Failed));

    // Act
    poll(&mut shard, "w1", &first, 10);
    let started = schedule_starts(&mut shard, 11);

    // Assert
    assert_eq!(started.len(), 1);
}

/// A zone is cut off together with the owner, and its workers do not respond to the new owner for
/// seconds. A job whose task has completed elsewhere must not wait for them.
#[test]
fn a_completed_task_does_not_wait_for_workers_without_a_response() {
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    let mut done = report(10_000);
    done.ended
        .push(listed_end(1, task(job_id(1), 0), 7, EndKind::Done));

    poll(&mut shard, "w1", &done, 10);
    let started = schedule_starts(&mut shard, 11);
    store_batches(&mut shard);

    assert_eq!(started, vec![]);
    assert_eq!(
        shard.state(job_id(1)).map(|state| state.to_string()),
        Some("completed".to_owned())
    );
}

/// The new owner takes over a run that is in progress, and the run fails before the other worker has
/// responded. That worker holds two more failed runs of the task, so that no attempt is left.
#[test]
fn a_task_whose_run_was_taken_over_is_not_restarted_before_all_workers_have_responded() {
    let task = task(job_id(1), 0);
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    let mut running = report(10_000);
    running.running.push(listed_run(task, 7));
    let mut failed = report(10_100);
    failed.ended.push(listed_end(1, task, 7, EndKind::Failed));
    let mut earlier = report(10_000);
    earlier.ended.push(listed_end(1, task, 5, EndKind::Failed));
    earlier.ended.push(listed_end(2, task, 6, EndKind::Failed));

    poll(&mut shard, "w1", &running, 10);
    poll(&mut shard, "w1", &failed, 110);
    let before = schedule_starts(&mut shard, 120);
    poll(&mut shard, "w2", &earlier, 130);
    let after = schedule_starts(&mut shard, 140);
    store_batches(&mut shard);

    assert_eq!(before, vec![]);
    assert_eq!(after, vec![]);
    assert_eq!(
        shard.state(job_id(1)).map(|state| state.to_string()),
        Some("failed".to_owned())
    );
}

/// A run that the earlier owner had treated as lost has completed on a worker that responds late.
/// The newer run was taken over and has failed: its task must not start again.
#[test]
fn an_older_run_that_completed_keeps_its_task_from_starting_again() {
    let task = task(job_id(1), 0);
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    let mut running = report(10_000);
    running.running.push(listed_run(task, 7));
    let mut failed = report(10_100);
    failed.ended.push(listed_end(1, task, 7, EndKind::Failed));
    let mut done = report(10_000);
    done.ended.push(listed_end(1, task, 5, EndKind::Done));

    poll(&mut shard, "w1", &running, 10);
    poll(&mut shard, "w1", &failed, 110);
    poll(&mut shard, "w2", &done, 130);
    let started = schedule_starts(&mut shard, 140);
    store_batches(&mut shard);

    assert_eq!(started, vec![]);
    assert_eq!(
        shard.state(job_id(1)).map(|state| state.to_string()),
        Some("completed".to_owned())
    );
}

/// Returns the configuration with a limit of CPU, in thousandths of a core, for the organisation.
fn with_limit(cpu_millis: u64) -> Catalogue {
    let mut catalogue = catalogue();
    catalogue.organisations[0].limit.cpu_millis = cpu_millis;
    catalogue
}

/// Runs of the earlier owner went on on a worker that was cut off, and the new owner started as many
/// beside them as the organisation may have in all.
#[test]
fn runs_that_a_new_owner_cannot_see_count_against_the_limit_of_their_organisation() {
    let mut shard = shard_after_takeover(job(vec![step(4)]), &["w1", "w2"]);
    shard.set_catalogue(with_limit(4_000));
    poll(&mut shard, "w2", &report(10_000), 10);
    shard.submit(job_id(2), job(vec![step(4)]), at(20), unix(20));
    store_batches(&mut shard);

    let unseen = schedule_starts(&mut shard, 30);
    let outwaited = schedule_starts(&mut shard, 6_700);

    assert_eq!(unseen, vec![]);
    assert_eq!(outwaited.len(), 4);
}

/// Tasks that wait for a worker may not be running anywhere: what they need in all would leave nothing
/// of the limit.
#[test]
fn runs_that_a_new_owner_cannot_see_count_only_as_far_as_they_fit_on_their_workers() {
    let mut shard = shard_after_takeover(job(vec![step(12)]), &["w1", "w2"]);
    shard.set_catalogue(with_limit(6_000));
    poll(&mut shard, "w2", &report(10_000), 10);
    shard.submit(job_id(2), job(vec![step(4)]), at(20), unix(20));
    store_batches(&mut shard);

    let unseen = schedule_starts(&mut shard, 30);

    assert_eq!(unseen.len(), 2);
    assert!(unseen.iter().all(|start| start.0.job == job_id(2)));
}
