//! Owners whose configuration comes late, changes or lacks the queue of a job.

use vanillafold_jobs::{
    Catalogue, EndKind, Epoch, JobProgress, JobSpec, OccurrenceProgress, QueueInfo, Record, Shard,
    StepProgress,
};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_end, listed_run, poll, report,
    schedule_starts, settings, shard_with_workers, step, store_batches, task, unix, vm,
    worker_entry,
};

/// Returns a shard that has no configuration yet, with a stored job of one task that has failed
/// `failed` times. All its workers have responded.
fn shard_without_configuration(failed: u64) -> Shard {
    let progress = JobProgress {
        started: true,
        occurrences: vec![OccurrenceProgress {
            number: 0,
            steps: vec![StepProgress {
                failed_runs: (1..=failed).map(|run| (0, run)).collect(),
                ..StepProgress::default()
            }],
        }],
        ..JobProgress::default()
    };
    let spec: JobSpec = job(vec![step(1)]);
    let records = vec![
        Record::Spec(job_id(1), Box::new(spec)),
        Record::Progress(job_id(1), progress),
    ];
    let mut shard = Shard::load(settings(), Epoch::new(5), records, at(0), unix(0));
    shard.set_evacuated_zones(&[], at(0));
    shard.set_workers(vec![worker_entry("w1")], at(0));
    shard.set_vms(vec![vm("w1", "w1")], at(0));
    poll(&mut shard, "w1", &report(1), 10);
    shard
}

fn with_max_attempts(max_attempts: u32) -> Catalogue {
    let mut catalogue = catalogue();
    catalogue.version += 1;
    catalogue.queues = vec![QueueInfo {
        max_attempts,
        ..catalogue.queues[0].clone()
    }];
    catalogue
}

fn state(shard: &mut Shard) -> String {
    store_batches(shard);
    let state = shard.state(job_id(1));
    state.map_or_else(String::new, |state| state.to_string())
}

/// The owner did not know how often the task may fail, and started it again without limit.
#[test]
fn an_owner_without_a_configuration_starts_no_task() {
    let mut shard = shard_without_configuration(2);

    let unconfigured = schedule_starts(&mut shard, 100);
    shard.set_catalogue(catalogue());
    let configured = schedule_starts(&mut shard, 200);

    assert_eq!(unconfigured, vec![]);
    assert_eq!(configured.len(), 1);
}

/// The failed runs were counted while the limit was not known, and the task was started once more.
#[test]
fn a_job_that_failed_as_often_as_allowed_before_the_configuration_came_is_failed() {
    let mut shard = shard_without_configuration(3);
    schedule_starts(&mut shard, 100);

    shard.set_catalogue(catalogue());
    let started = schedule_starts(&mut shard, 200);

    assert_eq!(started, vec![]);
    assert_eq!(state(&mut shard), "failed");
}

/// A lower limit was compared with the failed runs only after the next one.
#[test]
fn a_job_that_failed_as_often_as_a_new_configuration_allows_is_failed() {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    store_batches(&mut shard);
    let started = schedule_starts(&mut shard, 1_000);
    let (failed, run) = (task(job_id(1), 0), started[0].1);
    accept_start(&mut shard, "w1", failed, run, 1_010);
    let mut poll_report = report(1_100);
    poll_report.ended = vec![listed_end(1, failed, run, EndKind::Failed)];
    poll(&mut shard, "w1", &poll_report, 1_100);

    shard.set_catalogue(with_max_attempts(1));
    let started_again = schedule_starts(&mut shard, 1_200);

    assert_eq!(started_again, vec![]);
    assert_eq!(state(&mut shard), "failed");
}

/// A lower limit says nothing about a task that has completed, nor about a run in progress that it
/// would not have allowed.
#[test]
fn a_lower_limit_does_not_fail_a_job_whose_tasks_need_no_further_start() {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(2)]), at(900), unix(900));
    store_batches(&mut shard);
    let started = schedule_starts(&mut shard, 1_000);
    let mut poll_report = report(1_100);
    for (number, (failed, run, _)) in (1..).zip(&started) {
        accept_start(&mut shard, "w1", *failed, *run, 1_010);
        let end = listed_end(number, *failed, *run, EndKind::Failed);
        poll_report.ended.push(end);
    }
    poll(&mut shard, "w1", &poll_report, 1_100);
    let again = schedule_starts(&mut shard, 9_000);
    for (task, run, _) in &again {
        accept_start(&mut shard, "w1", *task, *run, 9_010);
    }
    let done = &again[0];
    let mut poll_report = report(9_100);
    poll_report.ended = vec![listed_end(3, done.0, done.1, EndKind::Done)];
    poll_report.running = vec![listed_run(again[1].0, again[1].1)];
    poll(&mut shard, "w1", &poll_report, 9_100);

    shard.set_catalogue(with_max_attempts(1));
    schedule_starts(&mut shard, 9_200);

    assert_eq!(again.len(), 2);
    assert_eq!(state(&mut shard), "running");
}

/// Returns the configuration after [`with_max_attempts`], without the queue.
fn without_queue(before: &Catalogue) -> Catalogue {
    let mut after = Catalogue {
        version: before.version + 1,
        queues: Vec::new(),
        ..before.clone()
    };
    after.remember_removed(before);
    after
}

/// A removed queue had no limit, and its failed tasks were started again without end.
#[test]
fn a_job_whose_queue_was_removed_fails_after_as_many_attempts_as_before() {
    for max_attempts in [2, 4] {
        let before = with_max_attempts(max_attempts);
        let mut shard = shard_with_workers(&["w1"]);
        shard.set_catalogue(before.clone());
        shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
        store_batches(&mut shard);
        let mut ms = 1_000;
        let mut attempts = 0;
        while let Some((failed, run, _)) = schedule_starts(&mut shard, ms).pop() {
            attempts += 1;
            shard.set_catalogue(without_queue(&before));
            accept_start(&mut shard, "w1", failed, run, ms + 10);
            let mut poll_report = report(ms + 20);
            poll_report.ended = vec![listed_end(attempts, failed, run, EndKind::Failed)];
            poll(&mut shard, "w1", &poll_report, ms + 20);
            ms += 10_000;
            assert!(attempts < 10);
        }

        assert_eq!(attempts, u64::from(max_attempts));
        assert_eq!(state(&mut shard), "failed");
    }
}

/// A queue that is added again has its new limit, and one that stays removed keeps its last one.
#[test]
fn the_limits_of_removed_queues_are_remembered_until_they_are_added_again() {
    let before = with_max_attempts(4);
    let removed = without_queue(&before);
    let still_removed = without_queue(&removed);
    let mut added = with_max_attempts(2);
    added.remember_removed(&still_removed);

    let max_attempts = |catalogue: &Catalogue| {
        let limit = catalogue.attempt_limit("quotes");
        limit.map(|limit| limit.max_attempts)
    };
    assert_eq!(max_attempts(&removed), Some(4));
    assert_eq!(max_attempts(&still_removed), Some(4));
    assert_eq!(max_attempts(&added), Some(2));
    assert_eq!(added.removed_queues, vec![]);
}
