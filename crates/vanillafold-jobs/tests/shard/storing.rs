//! What stays in the store, and what a new owner makes of it.

use vanillafold_jobs::{EndKind, Epoch, Record, Shard, SubmitOutcome};

use crate::fixture::{
    at, catalogue, ended, entry, hold, job, job_id, machine, report, running, runs, settings,
    starts, step, task, unix,
};

/// Stores all batches over what a store holds; returns what it holds then, sorted by key.
fn stored_over(mut rows: Vec<(String, Vec<u8>)>, shard: &mut Shard) -> Vec<(String, Vec<u8>)> {
    while let Some(batch) = shard.take_batch() {
        for (key, value) in &batch.records {
            rows.retain(|row| row.0 != *key);
            if !value.is_empty() {
                rows.push((key.clone(), value.clone()));
            }
        }
        shard.batch_stored(&batch);
    }
    rows.sort();
    rows
}

fn stored_rows(shard: &mut Shard) -> Vec<(String, Vec<u8>)> {
    stored_over(Vec::new(), shard)
}

fn records(rows: &[(String, Vec<u8>)]) -> Vec<Record> {
    let decode = |row: &(String, Vec<u8>)| Record::decode(&row.0, &row.1).expect("a record");
    rows.iter().map(decode).collect()
}

/// The store's rows after a job of one task was handed in, run and completed.
fn rows_of_a_completed_job() -> Vec<(String, Vec<u8>)> {
    let mut shard = running(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    let rows = stored_rows(&mut shard);
    let run = starts(&mut shard, 1_000)[0].1;
    let mut shown = report(2_000);
    shown
        .ended
        .push(ended(1, task(job_id(1), 0), run, EndKind::Done));
    hold(&mut shard, "w1", &shown, 2_000);
    stored_over(rows, &mut shard)
}

fn next_owner(rows: &[(String, Vec<u8>)]) -> Shard {
    let mut shard = Shard::load(
        settings(),
        Epoch::new(9),
        records(rows),
        at(3_000),
        unix(3_000),
    );
    shard.set_catalogue(catalogue());
    shard.set_workers(vec![entry("w1")], at(3_000));
    shard.set_vms(vec![machine("w1", "w1")], at(3_000));
    shard
}

#[test]
fn the_description_of_a_completed_job_does_not_stay_in_the_store() {
    let rows = rows_of_a_completed_job();

    let kinds: Vec<bool> = records(&rows)
        .iter()
        .map(|record| matches!(record, Record::Progress(..)))
        .collect();

    assert_eq!(kinds, vec![true]);
}

#[test]
fn a_new_owner_knows_a_completed_job_without_its_description() {
    let mut shard = next_owner(&rows_of_a_completed_job());

    let state = shard.state(job_id(1)).map(|state| state.to_string());
    let again = shard.submit(job_id(1), job(vec![step(1)]), at(3_010), unix(3_010));
    hold(&mut shard, "w1", &report(3_020), 3_020);
    let started = starts(&mut shard, 3_030);

    assert_eq!(state, Some("completed".to_owned()));
    assert_eq!(again, SubmitOutcome::Stored);
    assert_eq!(started, vec![]);
}

#[test]
fn the_description_of_a_cancelled_job_stays_until_its_runs_have_ended() {
    // Arrange: a job whose task runs is cancelled.
    let mut shard = running(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    stored_rows(&mut shard);
    let run = starts(&mut shard, 1_000)[0].1;
    let mut shown = report(1_100);
    shown.running.push(runs(task(job_id(1), 0), run));
    hold(&mut shard, "w1", &shown, 1_100);
    shard.cancel(job_id(1), at(1_200), unix(1_200));

    // Act
    let running = stored_rows(&mut shard);
    let mut shown = report(1_500);
    shown
        .ended
        .push(ended(1, task(job_id(1), 0), run, EndKind::Stopped));
    hold(&mut shard, "w1", &shown, 1_500);
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

#[test]
fn a_run_whose_description_is_gone_counts_as_all_that_its_worker_has() {
    let mut shard = next_owner(&rows_of_a_completed_job());
    let mut shown = report(3_100);
    shown.running.push(runs(task(job_id(1), 0), 1));
    hold(&mut shard, "w1", &shown, 3_100);
    shard.submit(job_id(2), job(vec![step(1)]), at(3_200), unix(3_200));
    stored_rows(&mut shard);

    let beside = starts(&mut shard, 3_300);

    assert_eq!(beside, vec![]);
}
