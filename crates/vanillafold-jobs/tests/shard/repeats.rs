//! Tests of repeated jobs.

use vanillafold_jobs::{EndKind, Epoch, JobSpec, Repeat, Shard, TaskId};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_end, poll, report, schedule_starts, settings,
    shard_with_workers, step, store_batches, store_in, stored_records, unix, vm, worker_entry,
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
    shard.submit(job_id(1), spec, at(1), unix(1));
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

/// The store turned the owner away while it went on for a while. It began further occurrences as others
/// completed, more than the next owner expects. That one let their ends go and ran them again.
#[test]
fn no_more_occurrences_begin_without_the_store_than_the_next_owner_expects() {
    // Arrange: 1,200 occurrences are due, and nothing is stored after the job.
    let spec = repeated(Repeat {
        count: 1_200,
        start_unix_ms: 0,
        interval_ms: 1,
    });
    let mut stored = Vec::new();
    let mut first = shard_with_workers(&["w1"]);
    first.submit(job_id(1), spec, at(1), unix(1));
    store_in(&mut stored, &mut first);
    let mut ends = 0;
    let mut done = Vec::new();
    let mut listed = report(50_000);
    for pass in 0..200 {
        let ms = 10 + pass * 20;
        let starts = schedule_starts(&mut first, ms);
        let mut ended = report(ms + 10);
        for (task, run, worker) in &starts {
            accept_start(&mut first, worker, *task, *run, ms);
            ends += 1;
            ended
                .ended
                .push(listed_end(ends, *task, *run, EndKind::Done));
            done.push(task.occurrence);
        }
        poll(&mut first, "w1", &ended, ms + 10);
        listed.ended.extend(ended.ended);
    }

    // Act: the next owner reads all ends, and runs what is left.
    let records = stored_records(&stored);
    let mut second = Shard::load(settings(), Epoch::new(7), records, at(9_000), unix(9_000));
    second.set_catalogue(catalogue());
    second.set_evacuated_zones(&[], at(9_000));
    second.set_workers(vec![worker_entry("w1")], at(9_000));
    second.set_vms(vec![vm("w1", "w1")], at(9_000));
    poll(&mut second, "w1", &listed, 9_010);
    let mut again = Vec::new();
    for pass in 0..300 {
        again.extend(run_due(&mut second, &mut ends, 9_020 + pass * 20));
        store_in(&mut stored, &mut second);
    }

    // Assert
    done.sort_unstable();
    let repeated = again.iter().filter(|row| done.binary_search(row).is_ok());
    assert_eq!(repeated.count(), 0, "of {} done before", done.len());
    assert!(done.len() > 256, "{} done before", done.len());
    assert_eq!(done.len() + again.len(), 1_200);
}
