//! Admission under contention: the room that counts, callers that return, and predictions that don't hold.

use vanillafold_jobs::{Catalogue, OrganisationInfo, PredictionCounts, Shard, SubmitOutcome};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_end, poll, report, schedule_starts,
    shard_with_workers, step, store_batches, unix,
};

/// Two organisations without limits and of equal weight.
fn catalogue_of_two() -> Catalogue {
    let organisation = |name: &str| OrganisationInfo {
        name: name.to_owned(),
        weight: 1,
        limit: vanillafold_jobs::Resources::default(),
    };
    Catalogue {
        version: 2,
        organisations: vec![organisation("shop"), organisation("stall")],
        ..catalogue()
    }
}

/// Returns a shard with eight cores, which serve a job of four tasks of a second in time within 2.2 s.
fn contended_shard() -> Shard {
    let mut shard = shard_with_workers(&["w1", "w2"]);
    shard.set_catalogue(catalogue_of_two());
    shard
}

fn submit(shard: &mut Shard, number: u64, organisation: &str, ms: u64) -> SubmitOutcome {
    let mut spec = job(vec![step(4)]);
    spec.organisation = organisation.to_owned();
    let outcome = shard.submit(job_id(number), spec, at(ms), unix(ms));
    store_batches(shard);
    outcome
}

/// Submits jobs at the same moment and returns how many are accepted.
fn accepted(
    shard: &mut Shard,
    numbers: std::ops::Range<u64>,
    organisation: &str,
    ms: u64,
) -> usize {
    let outcomes = numbers.map(|number| submit(shard, number, organisation, ms));
    outcomes
        .filter(|outcome| *outcome == SubmitOutcome::Storing)
        .count()
}

/// Half of the callers were served late, as jobs were accepted that would end within three times their
/// objective.
#[test]
fn a_burst_is_accepted_as_far_as_it_is_in_time() {
    let mut shard = contended_shard();

    let accepted = accepted(&mut shard, 1..40, "shop", 1_000);

    // Two jobs start at once, and two more each second in the 1.2 s that they may wait.
    assert!((4..=5).contains(&accepted), "{accepted}");
}

/// The room that one organisation does not use is not kept from the other.
#[test]
fn another_organisation_is_accepted_beside_a_flood_and_the_flood_uses_what_is_left() {
    let mut shard = contended_shard();
    let of_flood = accepted(&mut shard, 1..40, "shop", 1_000);

    let of_other = accepted(&mut shard, 41..43, "stall", 1_000);

    assert!(of_flood >= 3, "{of_flood}");
    assert!(of_other >= 1, "{of_other}");
}

/// A caller that was refused counts its time from its first submission: accepted as a new one, it was served
/// late, in room that others would have used in time.
#[test]
fn a_caller_that_returns_too_late_to_be_in_time_does_not_displace_a_new_one() {
    let mut shard = contended_shard();
    accepted(&mut shard, 1..40, "shop", 1_000);
    let refused = submit(&mut shard, 50, "shop", 1_000);
    for (task, run, on) in schedule_starts(&mut shard, 1_010) {
        accept_start(&mut shard, &on, task, run, 1_020);
    }

    let returned = submit(&mut shard, 50, "shop", 2_500);
    let new = submit(&mut shard, 51, "stall", 2_500);

    assert!(matches!(refused, SubmitOutcome::Refused { .. }));
    assert!(
        matches!(returned, SubmitOutcome::Refused { .. }),
        "{returned:?}"
    );
    assert_eq!(new, SubmitOutcome::Storing);
}

/// Callers returned in herds: hundreds at once, when there was room for a few.
#[test]
fn refused_callers_are_asked_to_return_at_different_times() {
    let mut shard = contended_shard();
    accepted(&mut shard, 1..20, "shop", 1_000);

    let times: Vec<u64> = (21..25)
        .filter_map(|number| match submit(&mut shard, number, "shop", 1_000) {
            SubmitOutcome::Refused { retry_after_ms } => Some(retry_after_ms),
            _ => None,
        })
        .collect();

    assert_eq!(times.len(), 4);
    assert!(times.is_sorted_by(|a, b| a + 300 <= *b), "{times:?}");
}

/// A pool that is switched off has to be filled for callers that it refuses meanwhile.
#[test]
fn refused_callers_bring_vms_to_the_pool() {
    let mut shard = contended_shard();
    let off = vanillafold_jobs::Vm {
        pool: "spare".to_owned(),
        worker: None,
        ..crate::fixture::vm("v1", "w1")
    };
    let on = ["w1", "w2"].map(|name| crate::fixture::vm(name, name));
    shard.set_vms(on.into_iter().chain([off]).collect(), at(900));
    accepted(&mut shard, 1..40, "shop", 5_000);

    schedule_starts(&mut shard, 5_010);

    assert_eq!(shard.take_vm_operations().len(), 1);
}

/// A new owner has neither promises nor corrections, and knows the waiting jobs from the store.
#[test]
fn a_new_owner_counts_the_jobs_that_an_earlier_one_accepted() {
    let mut shard = contended_shard();
    accepted(&mut shard, 1..40, "shop", 1_000);
    let stored: Vec<_> = (1..5)
        .map(|number| {
            let mut spec = job(vec![step(4)]);
            spec.submitted_unix_ms = unix(1_000);
            vanillafold_jobs::Record::Spec(job_id(number), Box::new(spec))
        })
        .collect();
    let mut next = Shard::load(
        crate::fixture::settings(),
        vanillafold_jobs::Epoch::new(6),
        stored,
        at(1_000),
        unix(1_000),
    );
    next.set_evacuated_zones(&[], at(1_000));
    next.set_catalogue(catalogue_of_two());
    let entries = ["w1", "w2"].map(crate::fixture::worker_entry);
    next.set_workers(entries.into(), at(1_000));
    let vms = ["w1", "w2"].map(|name| crate::fixture::vm(name, name));
    next.set_vms(vms.into(), at(1_000));
    for name in ["w1", "w2"] {
        poll(&mut next, name, &report(1_000), 1_000);
    }
    next.schedule(at(1_010), unix(1_010));

    let accepted = accepted(&mut next, 50..90, "shop", 1_010);

    assert!(accepted <= 2, "{accepted}");
}

/// Tasks take much longer than estimated, so that accepted jobs are late: fewer are accepted then.
#[test]
fn predictions_that_do_not_hold_are_counted() {
    let mut shard = contended_shard();
    accepted(&mut shard, 1..40, "shop", 1_000);
    let started = schedule_starts(&mut shard, 1_010);
    for (task, run, on) in &started {
        accept_start(&mut shard, on, *task, *run, 1_020);
    }
    for name in ["w1", "w2"] {
        let of_worker = started.iter().filter(|row| row.2 == name);
        let mut listed = report(6_000);
        listed.ended = of_worker
            .zip(1..)
            .map(|(row, number)| listed_end(number, row.0, row.1, vanillafold_jobs::EndKind::Done))
            .collect();
        poll(&mut shard, name, &listed, 6_000);
    }

    let counts = shard.prediction_counts();

    let expected = PredictionCounts {
        in_time: 0,
        late: 1,
    };
    assert_eq!(started.len(), 8);
    assert_eq!(counts, expected);
}
