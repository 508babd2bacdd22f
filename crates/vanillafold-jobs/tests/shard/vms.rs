//! Moves and upkeep of machines.

use vanillafold_jobs::{StepSpec, Vm, VmOperation, Wave};

use crate::fixture::{
    at, entry, hold, job, job_id, loaded, machine, report, running, runs, starts, step, store, unix,
};

fn spare(name: &str) -> Vm {
    Vm {
        pool: "spare".to_owned(),
        worker: None,
        ..machine(name, "w1")
    }
}

#[test]
fn a_second_answer_to_a_move_does_not_end_what_the_new_worker_runs() {
    // Arrange: m2 is moved into the pool, and its new worker w2 has work.
    let mut shard = running(&["w1"]);
    shard.set_vms(vec![machine("w1", "w1"), spare("m2")], at(0));
    shard.submit(job_id(1), job(vec![step(8)]), at(4_000), unix(4_000));
    store(&mut shard);
    starts(&mut shard, 4_000);
    let duties = shard.take_vm_operations();
    shard.vm_operation_done(&duties[0], at(4_010), unix(4_010));
    shard.set_workers(vec![entry("w1"), entry("w2")], at(6_000));
    shard.set_vms(vec![machine("w1", "w1"), machine("m2", "w2")], at(6_000));
    hold(&mut shard, "w2", &report(1), 6_000);
    let started = starts(&mut shard, 6_001);

    // Act
    shard.vm_operation_done(&duties[0], at(6_010), unix(6_010));

    // Assert
    let expected = VmOperation::Move {
        machine: "m2".to_owned(),
        pool: "pool-a".to_owned(),
    };
    assert_eq!(duties, vec![expected]);
    assert_eq!(started.len(), 4);
    assert_eq!(starts(&mut shard, 6_020), vec![]);
}

#[test]
fn a_move_without_an_answer_is_repeated_until_it_has_one() {
    let mut shard = running(&["w1"]);
    shard.set_vms(vec![machine("w1", "w1"), spare("m2")], at(0));
    shard.submit(job_id(1), job(vec![step(8)]), at(4_000), unix(4_000));
    store(&mut shard);
    starts(&mut shard, 4_000);
    let first = shard.take_vm_operations();
    starts(&mut shard, 4_900);
    let while_out = shard.take_vm_operations();

    shard.vm_operation_failed(&first[0], true, at(5_000));
    starts(&mut shard, 5_500);
    let repeated = shard.take_vm_operations();

    assert_eq!(while_out, vec![]);
    assert_eq!(repeated, first);
}

#[test]
fn upkeep_keeps_within_the_places_of_its_wave() {
    let mut shard = running(&["w1", "w2", "w3"]);
    shard.add_wave(
        vanillafold_jobs::Wave {
            number: 1,
            vms: vec!["w1".to_owned(), "w2".to_owned(), "w3".to_owned()],
            duration_ms: 20_000,
            max_unavailable: 1,
        },
        at(0),
    );
    starts(&mut shard, 4_000);
    let first = shard.take_vm_operations();
    starts(&mut shard, 4_200);
    let second = shard.take_vm_operations();

    let upkeeps = |duties: &[VmOperation]| {
        let upkeep = |duty: &&VmOperation| matches!(duty, VmOperation::Upkeep { .. });
        duties.iter().filter(upkeep).count()
    };
    assert_eq!(upkeeps(&first), 1);
    assert_eq!(upkeeps(&second), 0);
}

#[test]
fn a_pool_grows_while_a_worker_of_an_earlier_owner_is_silent() {
    // Arrange: after a takeover with an open job w2 stays silent; a new job asks for more than w1 has.
    let mut shard = loaded(job(vec![step(1)]), &["w1", "w2"]);
    let machines = vec![machine("w1", "w1"), machine("w2", "w2"), spare("m3")];
    shard.set_vms(machines, at(0));
    hold(&mut shard, "w1", &report(10_000), 10);
    shard.submit(job_id(2), job(vec![step(16)]), at(5_000), unix(5_000));
    store(&mut shard);

    starts(&mut shard, 5_010);
    let duties = shard.take_vm_operations();

    let expected = VmOperation::Move {
        machine: "m3".to_owned(),
        pool: "pool-a".to_owned(),
    };
    assert_eq!(duties, vec![expected]);
}

#[test]
fn a_vm_whose_worker_is_silent_after_a_takeover_has_no_upkeep_until_its_leases_have_ended() {
    let mut shard = loaded(job(vec![step(1)]), &["w1", "w2"]);
    hold(&mut shard, "w1", &report(10_000), 10);
    shard.add_wave(
        Wave {
            number: 1,
            vms: vec!["w2".to_owned()],
            duration_ms: 20_000,
            max_unavailable: 1,
        },
        at(5_000),
    );

    starts(&mut shard, 5_010);
    let early = shard.take_vm_operations();
    starts(&mut shard, 6_700);
    let late = shard.take_vm_operations();

    let upkeep = VmOperation::Upkeep {
        machine: "w2".to_owned(),
        wave: 1,
    };
    assert_eq!(early, vec![]);
    assert!(late.contains(&upkeep), "found {late:?}");
}

/// What is ordered when a persistent task is at work on one of two VMs and a wave is seen `ms` after
/// the takeover that makes that VM due: how many orders to workers, and whether its upkeep.
fn upkeep_of_a_persistent_task(ms: u64) -> (usize, bool) {
    let mut shard = running(&["w1", "w2"]);
    let lasting = StepSpec {
        persistent: true,
        anti_affinity: 1,
        max_unavailable: Some(1),
        ..step(1)
    };
    shard.submit(job_id(1), job(vec![lasting]), at(900), unix(900));
    store(&mut shard);
    let (task, run, on) = starts(&mut shard, 1_000).remove(0);
    let mut shown = report(5_000);
    shown.running.push(runs(task, run));
    hold(&mut shard, &on, &shown, 5_000);
    shard.add_wave(
        Wave {
            number: 1,
            vms: vec![on.clone()],
            duration_ms: 20_000,
            max_unavailable: 1,
        },
        at(ms),
    );

    shard.schedule(at(5_010), unix(5_010));
    let orders = shard.take_orders().len();
    let upkeep = VmOperation::Upkeep {
        machine: on,
        wave: 1,
    };
    (orders, shard.take_vm_operations().contains(&upkeep))
}

#[test]
fn upkeep_ends_a_persistent_task_that_may_be_away_without_a_stop_before() {
    assert_eq!(upkeep_of_a_persistent_task(5_000), (0, true));
}

#[test]
fn a_persistent_task_is_stopped_before_an_upkeep_that_an_earlier_owner_may_have_ordered() {
    // The platform would say "done" of that upkeep, and the task would run on.
    assert_eq!(upkeep_of_a_persistent_task(4_990), (1, false));
}
