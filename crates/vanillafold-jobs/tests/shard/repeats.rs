//! Tests of repeated jobs.

use vanillafold_jobs::{EndKind, JobSpec, Repeat, Shard, TaskId};

use crate::fixture::{
    accept_start, job, job_id, listed_end, poll, report, schedule_starts, shard_with_workers, step,
    store_batches, unix,
};

/// Returns a job of one task whose occurrences are due as `repeat` says.
fn repeated(repeat: Repeat) -> JobSpec {
    JobSpec {
        repeat: Some(repeat),
        ..job(vec![step(1)])
    }
}

/// Submits a job to a shard with one worker and stores it.
fn shard_with_job(spec: JobSpec) -> Shard {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), spec, crate::fixture::at(1), unix(1));
    store_batches(&mut shard);
    shard
}

/// Starts what has room at `ms`, and has each of the tasks done 10 ms later. Returns their
/// occurrences.
fn run_due(shard: &mut Shard, ends: &mut u64, ms: u64) -> Vec<u32> {
    let starts = schedule_starts(shard, ms);
    let mut ended = Vec::new();
    for (task, run, worker) in &starts {
        accept_start(shard, worker, *task, *run, ms);
        *ends += 1;
        ended.push(listed_end(*ends, *task, *run, EndKind::Done));
    }
    let mut done = report(ms + 10);
    done.ended = ended;
    poll(shard, "w1", &done, ms + 10);
    let occurrence = |row: &(TaskId, u64, String)| row.0.occurrence;
    starts.iter().map(occurrence).collect()
}

#[test]
fn occurrences_that_are_all_due_at_once_begin_by_and_by() {
    let mut shard = shard_with_job(repeated(Repeat {
        count: u32::MAX,
        start_unix_ms: 0,
        interval_ms: 0,
    }));
    let mut ends = 0;

    let mut seen = Vec::new();
    for pass in 0..200 {
        seen.extend(run_due(&mut shard, &mut ends, 10 + pass * 20));
    }

    seen.sort_unstable();
    let first: Vec<u32> = (0..seen.len())
        .map_while(|at| u32::try_from(at).ok())
        .collect();
    assert!(seen.len() > 300, "{} occurrences", seen.len());
    assert_eq!(seen, first);
}

#[test]
fn a_job_with_more_due_occurrences_than_may_be_open_completes() {
    let mut shard = shard_with_job(repeated(Repeat {
        count: 400,
        start_unix_ms: 0,
        interval_ms: 1,
    }));
    let mut ends = 0;

    for pass in 0..400 {
        run_due(&mut shard, &mut ends, 10 + pass * 20);
    }

    assert_eq!((ends, shard.open_jobs()), (400, 0));
}

#[test]
fn an_occurrence_after_the_end_of_time_is_never_due() {
    let mut shard = shard_with_job(repeated(Repeat {
        count: 3,
        start_unix_ms: 1,
        interval_ms: u64::MAX,
    }));
    let mut ends = 0;

    let mut seen = Vec::new();
    for pass in 0..10 {
        seen.extend(run_due(&mut shard, &mut ends, 10 + pass * 20));
    }

    assert_eq!(seen, [0]);
    assert_eq!(shard.open_jobs(), 1);
}
