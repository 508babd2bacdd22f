//! Tests of stored records that this version of the daemon did not write.

use vanillafold_jobs::{
    AttemptLimit, EndKind, Epoch, JobOutcome, JobProgress, JobSpec, OccurrenceProgress, Record,
    Repeat, Shard, StepProgress, SuspectRun, SuspectState, TaskId,
};
use vanillafold_policy::SplitMix;

use crate::fixture::{
    at, catalogue, job, job_id, listed_end, poll, report, settings, step, unix, worker_entry,
};

/// Seed of the mutations.
const SEED: u64 = 0x7265_636f_7264;
/// Mutated records that are decoded.
const MUTATIONS: usize = 10_000;

/// Encoding of the length `u64::MAX`: the marker of a 64-bit number, then the number.
const LARGEST_LENGTH: [u8; 9] = [253, 255, 255, 255, 255, 255, 255, 255, 255];

fn spec() -> JobSpec {
    JobSpec {
        repeat: Some(Repeat {
            count: 3,
            start_unix_ms: unix(0),
            interval_ms: 1_000,
        }),
        ..job(vec![step(3), step(2)])
    }
}

fn progress() -> JobProgress {
    JobProgress {
        outcome: JobOutcome::Open,
        finished_unix_ms: 0,
        started: true,
        completed: vec![0],
        occurrences: vec![OccurrenceProgress {
            number: 1,
            steps: vec![
                StepProgress {
                    done_bits: vec![3],
                    failed_runs: vec![(2, 7)],
                },
                StepProgress::default(),
            ],
        }],
    }
}

fn suspect() -> SuspectRun {
    SuspectRun {
        occurrence: 1,
        step: 0,
        index: 2,
        run: 8,
        recorded_unix_ms: unix(0),
        worker: "w1".to_owned(),
        worker_started_unix_ms: Some(1),
        vm: "vm1".to_owned(),
        alone: true,
        prompt: true,
        state: SuspectState::WorkerSilent,
    }
}

fn limit() -> AttemptLimit {
    AttemptLimit {
        config_version: 3,
        max_attempts: 4,
    }
}

/// Returns keys and values of one record of each kind.
fn stored() -> Vec<(String, Vec<u8>)> {
    let records = [
        Record::Spec(job_id(1), Box::new(spec())),
        Record::Progress(job_id(1), progress()),
        Record::Suspects(job_id(1), vec![suspect()]),
        Record::StartPools(job_id(1), vec!["pool-b".to_owned(), "pool-c".to_owned()]),
        Record::AttemptLimit("quotes".to_owned(), limit()),
        Record::Wave(7, vec!["vm1".to_owned(), "vm2".to_owned()]),
    ];
    records.iter().flat_map(Record::encode).collect()
}

/// Changes a value at one place: a byte, a cut, an inserted or a repeated piece, or a length or
/// number that is as large as possible.
fn mutate(value: &mut Vec<u8>, random: &mut SplitMix) {
    let mut below = |bound: usize| usize::try_from(random.below(bound as u64 + 1)).unwrap_or(0);
    let place = below(value.len());
    match below(5) {
        0 => value.truncate(place),
        1 if place < value.len() => value[place] = u8::try_from(below(255)).unwrap_or(0),
        2 => {
            let end = (place + 1).min(value.len());
            value.splice(place..end, LARGEST_LENGTH);
        }
        3 => {
            let piece = value[place..].to_vec();
            value.extend(piece);
        }
        4 => {
            let end = (place + below(4)).min(value.len());
            value.drain(place..end);
        }
        _ => value.insert(place, u8::try_from(below(255)).unwrap_or(0)),
    }
}

#[test]
fn a_length_that_no_value_can_have_is_an_error() {
    for (key, value) in stored() {
        for place in 0..value.len() {
            let mut value = value.clone();
            value.splice(place..=place, LARGEST_LENGTH);

            let decoded = Record::decode(&key, &value);

            // Some places hold numbers, which may be that large.
            if let Ok(record) = decoded {
                assert_eq!(record.encode(), [(key.clone(), value)]);
            }
        }
    }
}

#[test]
fn a_value_cut_short_is_an_error() {
    for (key, value) in stored() {
        for length in 0..value.len() {
            let decoded = Record::decode(&key, &value[..length]);

            assert!(decoded.is_err(), "{key} cut after {length} bytes");
        }
    }
}

#[test]
fn an_owner_takes_over_whatever_the_records_hold() {
    let mut random = SplitMix::new(SEED);
    let stored = stored();
    for _ in 0..MUTATIONS {
        let mut records = Vec::new();
        for (key, value) in &stored {
            let mut value = value.clone();
            for _ in 0..random.below(3) {
                mutate(&mut value, &mut random);
            }
            records.extend(Record::decode(key, &value));
        }

        let mut shard = Shard::load(settings(), Epoch::new(5), records, at(0), unix(0));
        shard.set_evacuated_zones(&[], at(0));
        shard.set_catalogue(catalogue());
        shard.set_workers(Vec::new(), at(0));
        shard.set_vms(Vec::new(), at(0));
        shard.schedule(at(10_000), unix(10_000));

        assert!(shard.open_jobs() <= 1);
    }
}

/// Returns a shard whose job has this stored progress, and whose worker has responded.
fn shard_with_progress(progress: JobProgress) -> Shard {
    let records = vec![
        Record::Spec(job_id(1), Box::new(spec())),
        Record::Progress(job_id(1), progress),
    ];
    let mut shard = Shard::load(settings(), Epoch::new(5), records, at(0), unix(0));
    shard.set_evacuated_zones(&[], at(0));
    shard.set_catalogue(catalogue());
    shard.set_workers(vec![worker_entry("w1")], at(0));
    shard
}

fn task_of(occurrence: u32, step: u16, index: u16) -> TaskId {
    TaskId {
        job: job_id(1),
        occurrence,
        step,
        index,
    }
}

#[test]
fn progress_without_a_row_for_each_step_takes_ends_of_all_steps() {
    let mut odd = progress();
    odd.occurrences[0].steps.truncate(1);
    let mut shard = shard_with_progress(odd);
    shard.schedule(at(2_000), unix(2_000));

    let mut ended = report(2_000);
    ended.ended = vec![listed_end(1, task_of(1, 1, 0), 1, EndKind::Done)];
    poll(&mut shard, "w1", &ended, 2_000);
    let batch = shard.take_batch().expect("a change to store");

    let stored = Record::decode(&batch.records[0].0, &batch.records[0].1);
    let Ok(Record::Progress(_, stored)) = stored else {
        panic!("expected progress, found {stored:?}");
    };
    let steps = &stored.occurrences[0].steps;
    assert!(steps[0].is_done(0) && steps[0].is_done(1) && steps[1].is_done(0));
}

#[test]
fn progress_keeps_only_what_the_description_has() {
    let mut odd = progress();
    odd.completed = vec![9, 0, 0];
    odd.occurrences[0].steps[0].done_bits = vec![255, 255];
    odd.occurrences[0].steps[0].failed_runs = vec![(700, 1), (2, 9), (2, 9), (1, 4)];
    odd.occurrences.insert(
        0,
        OccurrenceProgress {
            number: u32::MAX,
            steps: Vec::new(),
        },
    );
    let mut shard = shard_with_progress(odd);
    shard.schedule(at(2_000), unix(2_000));

    let mut ended = report(2_000);
    ended.ended = vec![listed_end(1, task_of(1, 1, 0), 1, EndKind::Done)];
    poll(&mut shard, "w1", &ended, 2_000);
    let batch = shard.take_batch().expect("a change to store");

    let stored = Record::decode(&batch.records[0].0, &batch.records[0].1);
    let Ok(Record::Progress(_, stored)) = stored else {
        panic!("expected progress, found {stored:?}");
    };
    assert_eq!(stored.completed, [0]);
    assert_eq!(stored.occurrences.len(), 1);
    assert_eq!(stored.occurrences[0].steps[0].done_count(), 3);
    assert_eq!(stored.occurrences[0].steps[0].failed_runs, [(1, 4), (2, 9)]);
}
