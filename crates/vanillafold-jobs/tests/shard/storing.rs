//! Contents of the store, and what a new owner loads from it.

use vanillafold_jobs::{EndKind, Epoch, Order, Record, Shard, SubmitOutcome, TaskId};

use crate::fixture::{
    at, catalogue, job, job_id, listed_end, listed_run, poll, report, schedule_starts, settings,
    shard_with_workers, step, store_in, stored_records, task, unix, vm, worker_entry,
};

/// Applies all batches to the rows of a store and returns the resulting rows, sorted by key.
fn stored_over(mut rows: Vec<(String, Vec<u8>)>, shard: &mut Shard) -> Vec<(String, Vec<u8>)> {
    store_in(&mut rows, shard);
    rows.sort();
    rows
}

fn stored_rows(shard: &mut Shard) -> Vec<(String, Vec<u8>)> {
    stored_over(Vec::new(), shard)
}

/// Returns the stored rows after a job of one task was submitted, run and completed.
fn rows_of_a_completed_job() -> Vec<(String, Vec<u8>)> {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    let rows = stored_rows(&mut shard);
    let run = schedule_starts(&mut shard, 1_000)[0].1;
    let mut poll_report = report(2_000);
    poll_report
        .ended
        .push(listed_end(1, task(job_id(1), 0), run, EndKind::Done));
    poll(&mut shard, "w1", &poll_report, 2_000);
    stored_over(rows, &mut shard)
}

fn next_owner(rows: &[(String, Vec<u8>)]) -> Shard {
    let mut shard = Shard::load(
        settings(),
        Epoch::new(9),
        stored_records(rows),
        at(3_000),
        unix(3_000),
    );
    shard.set_evacuated_zones(&[], at(0));
    shard.set_catalogue(catalogue());
    shard.set_workers(vec![worker_entry("w1")], at(3_000));
    shard.set_vms(vec![vm("w1", "w1")], at(3_000));
    shard
}

/// If the descriptions of finished jobs stayed, each takeover would read all of these jobs in full.
#[test]
fn the_description_of_a_completed_job_is_deleted_from_the_store() {
    let rows = rows_of_a_completed_job();

    let kinds: Vec<bool> = stored_records(&rows)
        .iter()
        .filter(|record| !matches!(record, Record::AttemptLimit(..)))
        .map(|record| matches!(record, Record::Progress(..)))
        .collect();

    assert_eq!(kinds, vec![true]);
}

/// If a new owner ignored progress without a description, a completed job that is submitted again
/// would run again.
#[test]
fn a_new_owner_loads_a_completed_job_without_its_description() {
    let mut shard = next_owner(&rows_of_a_completed_job());

    let state = shard.state(job_id(1)).map(|state| state.to_string());
    let again = shard.submit(job_id(1), job(vec![step(1)]), at(3_010), unix(3_010));
    poll(&mut shard, "w1", &report(3_020), 3_020);
    let started = schedule_starts(&mut shard, 3_030);

    assert_eq!(state, Some("completed".to_owned()));
    assert_eq!(again, SubmitOutcome::Stored);
    assert_eq!(started, vec![]);
}

/// A new owner needs the description to account for the resources of runs that are being stopped.
#[test]
fn the_description_of_a_cancelled_job_stays_until_its_runs_have_ended() {
    // Arrange: a job is cancelled while its task runs.
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    stored_rows(&mut shard);
    let run = schedule_starts(&mut shard, 1_000)[0].1;
    let mut poll_report = report(1_100);
    poll_report
        .running
        .push(listed_run(task(job_id(1), 0), run));
    poll(&mut shard, "w1", &poll_report, 1_100);
    shard.cancel(job_id(1), at(1_200), unix(1_200));

    // Act
    let running = stored_rows(&mut shard);
    let mut poll_report = report(1_500);
    poll_report
        .ended
        .push(listed_end(1, task(job_id(1), 0), run, EndKind::Stopped));
    poll(&mut shard, "w1", &poll_report, 1_500);
    shard.submit(job_id(2), job(vec![step(1)]), at(1_600), unix(1_600));
    let batch = shard.take_batch().expect("a batch");

    // Assert
    assert_eq!(running.len(), 1);
    let dropped = |row: &&(String, Vec<u8>)| row.1.is_empty();
    let dropped: Vec<&str> = batch
        .records
        .iter()
        .filter(dropped)
        .map(|row| row.0.as_str())
        .collect();
    assert_eq!(dropped, vec![format!("j{}", job_id(1))]);
}

/// How much a run uses is unknown if the description of its job is deleted, and a task placed
/// beside it could exceed the worker's capacity.
#[test]
fn a_run_without_a_description_reserves_all_of_its_workers_capacity() {
    let mut shard = next_owner(&rows_of_a_completed_job());
    let mut poll_report = report(3_100);
    poll_report.running.push(listed_run(task(job_id(1), 0), 1));
    poll(&mut shard, "w1", &poll_report, 3_100);
    shard.submit(job_id(2), job(vec![step(1)]), at(3_200), unix(3_200));
    stored_rows(&mut shard);

    let beside = schedule_starts(&mut shard, 3_300);

    assert_eq!(beside, vec![]);
}

/// The store is deleting the description of a completed job when a worker lists a run of it, started
/// by an order that was carried out late. The run then ends without a description.
#[test]
fn a_late_run_of_a_completed_job_may_end_after_the_description_is_deleted() {
    // Arrange: the batch that deletes the description is on its way.
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    stored_rows(&mut shard);
    let run = schedule_starts(&mut shard, 1_000)[0].1;
    let mut done = report(2_000);
    done.ended
        .push(listed_end(1, task(job_id(1), 0), run, EndKind::Done));
    poll(&mut shard, "w1", &done, 2_000);
    let batch = shard.take_batch().expect("the outcome is to be stored");
    let mut late = report(2_100);
    late.running.push(listed_run(task(job_id(1), 0), run + 1));
    poll(&mut shard, "w1", &late, 2_100);
    shard.batch_stored(&batch);

    // Act
    let mut ended = report(2_900);
    ended
        .ended
        .push(listed_end(2, task(job_id(1), 0), run + 1, EndKind::Done));
    poll(&mut shard, "w1", &ended, 2_900);

    // Assert
    assert_eq!(shard.run_count(), 0);
}

/// A worker that reports runs of steps and tasks that a job does not have must not stop the owner.
#[test]
fn a_run_of_an_unknown_step_is_stopped() {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    stored_rows(&mut shard);
    let unknown = TaskId {
        step: 99,
        index: 99,
        ..task(job_id(1), 0)
    };
    let mut listed = report(2_000);
    listed.running.push(listed_run(unknown, 7));
    poll(&mut shard, "w1", &listed, 2_000);
    shard.schedule(at(2_010), unix(2_010));
    let orders = shard.take_orders();

    let mut ended = report(2_900);
    ended.ended.push(listed_end(1, unknown, 7, EndKind::Done));
    ended.ended.push(listed_end(2, unknown, 8, EndKind::Failed));
    poll(&mut shard, "w1", &ended, 2_900);

    let is_stop = |row: &(_, Order)| matches!(row.1, Order::Stop { task, .. } if task == unknown);
    assert!(orders.iter().any(is_stop));
    assert_eq!(shard.run_count(), 0);
}
