//! Queues that are removed while their jobs run, and owners that have never seen them.

use vanillafold_jobs::{Catalogue, EndKind, Epoch, Record, Shard};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_end, poll, report, schedule_starts, settings,
    step, store_in, stored_records, unix, vm, worker_entry,
};

/// Returns a configuration that allows the queue's tasks `max_attempts` failed runs.
fn with_queue(version: u64, max_attempts: u32) -> Catalogue {
    let mut catalogue = catalogue();
    catalogue.version = version;
    catalogue.queues[0].max_attempts = max_attempts;
    catalogue
}

/// Returns a configuration as a daemon reads it that has never seen the queue.
fn without_queue(version: u64) -> Catalogue {
    Catalogue {
        version,
        queues: Vec::new(),
        ..catalogue()
    }
}

/// Begins an ownership at `ms`. Its only worker has responded.
fn take_over(epoch: u64, stored: &[(String, Vec<u8>)], catalogue: Catalogue, ms: u64) -> Shard {
    let records = stored_records(stored);
    let mut shard = Shard::load(settings(), Epoch::new(epoch), records, at(ms), unix(ms));
    shard.set_evacuated_zones(&[], at(ms));
    shard.set_catalogue(catalogue);
    shard.set_workers(vec![worker_entry("w1")], at(ms));
    shard.set_vms(vec![vm("w1", "w1")], at(ms));
    poll(&mut shard, "w1", &report(1), ms);
    shard
}

/// Returns what is stored after a job was submitted under a configuration.
fn submitted_under(catalogue: Catalogue) -> Vec<(String, Vec<u8>)> {
    let mut stored = Vec::new();
    let mut shard = take_over(1, &stored, catalogue, 0);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    store_in(&mut stored, &mut shard);
    stored
}

/// Lets each run of a job's only task fail, and returns how many were started.
fn failed_runs(shard: &mut Shard, from_ms: u64) -> u64 {
    let mut ms = from_ms;
    let mut attempts = 0;
    while let Some((failed, run, _)) = schedule_starts(shard, ms).pop() {
        attempts += 1;
        accept_start(shard, "w1", failed, run, ms + 10);
        let mut poll_report = report(ms + 20);
        poll_report.ended = vec![listed_end(attempts, failed, run, EndKind::Failed)];
        poll(shard, "w1", &poll_report, ms + 20);
        ms += 10_000;
        assert!(attempts < 10);
    }
    attempts
}

fn limit_records(stored: &[(String, Vec<u8>)]) -> usize {
    let records = stored_records(stored);
    let is_limit = |record: &&Record| matches!(record, Record::AttemptLimit(..));
    records.iter().filter(is_limit).count()
}

/// Each daemon remembered removed queues for itself. One that started after the removal allowed 3
/// attempts: a limit of 4 failed jobs too early, and one of 2 was exceeded.
#[test]
fn an_owner_that_has_never_seen_a_removed_queue_keeps_its_limit_of_attempts() {
    for max_attempts in [1, 2, 4, 7] {
        let mut stored = submitted_under(with_queue(1, max_attempts));

        let mut second = take_over(3, &stored, without_queue(2), 2_000);
        let attempts = failed_runs(&mut second, 2_100);
        store_in(&mut stored, &mut second);

        assert_eq!(attempts, u64::from(max_attempts));
        let state = second.state(job_id(1)).map(|state| state.to_string());
        assert_eq!(state.as_deref(), Some("failed"));
    }
}

/// The limit that counts is the one in force last, not the one at the submission. The owner in between
/// never changed the job.
#[test]
fn a_limit_that_changes_before_the_removal_is_stored_for_jobs_in_progress() {
    let mut stored = submitted_under(with_queue(1, 2));

    let mut second = take_over(3, &stored, with_queue(2, 4), 2_000);
    store_in(&mut stored, &mut second);
    let mut third = take_over(5, &stored, without_queue(3), 4_000);

    assert_eq!(failed_runs(&mut third, 4_100), 4);
}

/// An owner may start with a configuration that is older than the one the job was accepted under.
#[test]
fn an_owner_with_an_older_configuration_does_not_replace_a_later_limit() {
    let mut stored = submitted_under(with_queue(5, 4));

    let mut second = take_over(3, &stored, with_queue(4, 2), 2_000);
    store_in(&mut stored, &mut second);
    let mut third = take_over(5, &stored, without_queue(6), 4_000);

    assert_eq!(failed_runs(&mut third, 4_100), 4);
}

/// A job that an earlier version of the daemon stored has no record of its queue: the first owner that
/// knows the limit stores it.
#[test]
fn the_limit_of_a_queue_is_stored_for_jobs_that_an_earlier_version_accepted() {
    let spec = Box::new(job(vec![step(1)]));
    let mut stored = Record::Spec(job_id(1), spec).encode();

    let mut first = take_over(1, &stored, with_queue(1, 4), 0);
    store_in(&mut stored, &mut first);
    let mut second = take_over(3, &stored, without_queue(2), 2_000);

    assert_eq!(failed_runs(&mut second, 2_100), 4);
}

/// The store refuses the batch with the first job of the queue, and takes the next.
#[test]
fn the_limit_of_a_queue_is_written_again_after_a_refusal() {
    let mut stored = Vec::new();
    let mut first = take_over(1, &stored, with_queue(1, 4), 0);
    first.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    let refused = first.take_batch().expect("a batch");
    first.batch_refused(&refused);
    first.submit(job_id(1), job(vec![step(1)]), at(1_000), unix(1_000));
    store_in(&mut stored, &mut first);

    let mut second = take_over(3, &stored, without_queue(2), 2_000);

    assert_eq!(failed_runs(&mut second, 2_100), 4);
}

/// Queues come and go. Their records would add up, and each takeover reads them.
#[test]
fn the_limit_of_a_removed_queue_is_deleted_with_its_last_job() {
    let mut stored = Vec::new();
    let mut shard = take_over(1, &stored, with_queue(1, 4), 0);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    shard.submit(job_id(2), job(vec![step(1)]), at(900), unix(900));
    store_in(&mut stored, &mut shard);
    let mut removed = without_queue(2);
    removed.remember_removed(&with_queue(1, 4));

    let while_used = limit_records(&stored);
    shard.cancel(job_id(1), at(1_000), unix(1_000));
    shard.schedule(at(1_010), unix(1_010));
    store_in(&mut stored, &mut shard);
    shard.set_catalogue(removed);
    shard.schedule(at(1_020), unix(1_020));
    store_in(&mut stored, &mut shard);
    let with_one_job = limit_records(&stored);
    shard.cancel(job_id(2), at(1_030), unix(1_030));
    shard.schedule(at(1_040), unix(1_040));
    store_in(&mut stored, &mut shard);
    let without_jobs = limit_records(&stored);
    shard.submit(job_id(3), job(vec![step(1)]), at(1_050), unix(1_050));
    store_in(&mut stored, &mut shard);

    assert_eq!((while_used, with_one_job, without_jobs), (1, 1, 0));
    assert_eq!(limit_records(&stored), 1);
}
