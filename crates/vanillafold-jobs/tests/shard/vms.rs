//! Moves and maintenance of VMs.

use vanillafold_jobs::{
    Order, PollReport, Resources, Shard, StepSpec, TaskId, Vm, VmOperation, VmState, Wave,
    WorkerEntry,
};

use crate::fixture::{
    accept_start, at, job, job_id, listed_run, poll, report, schedule_starts, shard_after_takeover,
    shard_with_workers, step, store_batches, task, unix, vm, worker_entry,
};

fn spare(name: &str) -> Vm {
    Vm {
        pool: "spare".to_owned(),
        worker: None,
        zone: "zone-a".to_owned(),
        ..vm(name, "w1")
    }
}

/// A move that was repeated for lack of an answer can be confirmed twice. The second confirmation
/// arrives when the new worker already has runs, and must not end them.
#[test]
fn a_duplicate_confirmation_of_a_move_does_not_end_runs_of_the_new_worker() {
    // Arrange: m2 is moved into the pool, and its new worker w2 has runs.
    let mut shard = shard_with_workers(&["w1"]);
    shard.set_vms(vec![vm("w1", "w1"), spare("m2")], at(0));
    shard.submit(job_id(1), job(vec![step(8)]), at(4_000), unix(4_000));
    store_batches(&mut shard);
    schedule_starts(&mut shard, 4_000);
    let operations = shard.take_vm_operations();
    shard.vm_operation_done(&operations[0], at(4_010), unix(4_010));
    shard.set_workers(vec![worker_entry("w1"), worker_entry("w2")], at(6_000));
    shard.set_vms(vec![vm("w1", "w1"), vm("m2", "w2")], at(6_000));
    poll(&mut shard, "w2", &report(1), 6_000);
    let started = schedule_starts(&mut shard, 6_001);

    // Act
    shard.vm_operation_done(&operations[0], at(6_010), unix(6_010));

    // Assert
    let expected = VmOperation::Move {
        machine: "m2".to_owned(),
        pool: "pool-a".to_owned(),
    };
    assert_eq!(operations, vec![expected]);
    assert_eq!(started.len(), 4);
    assert_eq!(schedule_starts(&mut shard, 6_020), vec![]);
}

/// A move whose answer was lost may not have been carried out, and without a repeat the VM would
/// stay in its old pool. A move whose answer is outstanding is not repeated.
#[test]
fn an_unanswered_move_is_repeated() {
    let mut shard = shard_with_workers(&["w1"]);
    shard.set_vms(vec![vm("w1", "w1"), spare("m2")], at(0));
    shard.submit(job_id(1), job(vec![step(8)]), at(4_000), unix(4_000));
    store_batches(&mut shard);
    schedule_starts(&mut shard, 4_000);
    let first = shard.take_vm_operations();
    schedule_starts(&mut shard, 4_900);
    let while_sent = shard.take_vm_operations();

    shard.vm_operation_failed(&first[0], true, at(5_000));
    schedule_starts(&mut shard, 5_500);
    let repeated = shard.take_vm_operations();

    assert_eq!(while_sent, vec![]);
    assert_eq!(repeated, first);
}

/// All VMs of the wave are empty. Issuing operations for all of them at once, or again before the
/// first has finished, would exceed the wave's limit.
#[test]
fn maintenance_respects_max_unavailable_of_its_wave() {
    let mut shard = shard_with_workers(&["w1", "w2", "w3"]);
    shard.add_wave(
        vanillafold_jobs::Wave {
            number: 1,
            vms: vec!["w1".to_owned(), "w2".to_owned(), "w3".to_owned()],
            duration_ms: 20_000,
            max_unavailable: 1,
        },
        at(0),
    );
    schedule_starts(&mut shard, 4_000);
    let first = shard.take_vm_operations();
    schedule_starts(&mut shard, 4_200);
    let second = shard.take_vm_operations();

    let maintenance_count = |operations: &[VmOperation]| {
        let maintenance =
            |operation: &&VmOperation| matches!(operation, VmOperation::Upkeep { .. });
        operations.iter().filter(maintenance).count()
    };
    assert_eq!(maintenance_count(&first), 1);
    assert_eq!(maintenance_count(&second), 0);
}

/// A second operation would take the VM out of service again after the first.
#[test]
fn a_vm_that_a_wave_names_twice_has_one_maintenance() {
    let mut shard = shard_with_workers(&["w1", "w2", "w3"]);
    let names = ["w1", "w1", "w2", "w1", "w2"];
    let wave = Wave {
        number: 1,
        vms: names.map(str::to_owned).into(),
        duration_ms: 20_000,
        max_unavailable: 3,
    };
    shard.add_wave(wave, at(0));

    schedule_starts(&mut shard, 4_000);
    let mut operations = Vec::new();
    for operation in shard.take_vm_operations() {
        if let VmOperation::Upkeep { machine, .. } = operation {
            operations.push(machine);
        }
    }

    operations.sort();
    assert_eq!(operations, ["w1", "w2"]);
}

/// A worker that has not responded to the new owner must not delay the moves of other VMs until its
/// leases have expired.
#[test]
fn a_pool_grows_while_a_worker_has_not_responded_after_a_takeover() {
    // Arrange: after a takeover with an open job, w2 does not respond. A new job needs more
    // capacity than w1 has.
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    let vms = vec![vm("w1", "w1"), vm("w2", "w2"), spare("m3")];
    shard.set_vms(vms, at(0));
    poll(&mut shard, "w1", &report(10_000), 10);
    shard.submit(job_id(2), job(vec![step(16)]), at(5_000), unix(5_000));
    store_batches(&mut shard);

    schedule_starts(&mut shard, 5_010);
    let operations = shard.take_vm_operations();

    let expected = VmOperation::Move {
        machine: "m3".to_owned(),
        pool: "pool-a".to_owned(),
    };
    assert_eq!(operations, vec![expected]);
}

/// Until the worker has responded or all leases of earlier owners have expired, runs that the new
/// owner does not know may be in progress on the VM, and maintenance would end them.
#[test]
fn a_vm_whose_worker_does_not_respond_after_a_takeover_gets_no_maintenance_before_leases_expire() {
    let mut shard = shard_after_takeover(job(vec![step(1)]), &["w1", "w2"]);
    poll(&mut shard, "w1", &report(10_000), 10);
    shard.add_wave(
        Wave {
            number: 1,
            vms: vec!["w2".to_owned()],
            duration_ms: 20_000,
            max_unavailable: 1,
        },
        at(5_000),
    );

    schedule_starts(&mut shard, 5_010);
    let early = shard.take_vm_operations();
    schedule_starts(&mut shard, 6_700);
    let late = shard.take_vm_operations();

    let maintenance = VmOperation::Upkeep {
        machine: "w2".to_owned(),
        wave: 1,
    };
    assert_eq!(early, vec![]);
    assert!(late.contains(&maintenance), "found {late:?}");
}

/// Returns a shard in which a persistent task runs on one of two workers, and that worker.
fn shard_with_a_persistent_task() -> (Shard, String) {
    let mut shard = shard_with_workers(&["w1", "w2"]);
    let persistent_step = StepSpec {
        persistent: true,
        anti_affinity: 1,
        max_unavailable: Some(1),
        ..step(1)
    };
    shard.submit(job_id(1), job(vec![persistent_step]), at(900), unix(900));
    store_batches(&mut shard);
    let (task, run, on) = schedule_starts(&mut shard, 1_000).remove(0);
    let mut poll_report = report(5_000);
    poll_report.running.push(listed_run(task, run));
    poll(&mut shard, &on, &poll_report, 5_000);
    (shard, on)
}

/// Runs a persistent task on one of two VMs, adds a maintenance wave for that VM at `ms` after the
/// takeover, and returns the number of orders to workers and whether the maintenance was issued.
fn maintenance_under_a_persistent_task(ms: u64) -> (usize, bool) {
    let (mut shard, on) = shard_with_a_persistent_task();
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
    let maintenance = VmOperation::Upkeep {
        machine: on,
        wave: 1,
    };
    (orders, shard.take_vm_operations().contains(&maintenance))
}

/// No earlier owner knew of the wave, so none has ordered this maintenance, and carrying it out
/// certainly ends the run.
#[test]
fn maintenance_ends_a_persistent_task_that_may_be_unavailable_without_a_stop_order() {
    assert_eq!(maintenance_under_a_persistent_task(5_000), (0, true));
}

/// If an earlier owner has ordered the maintenance, the platform confirms a second order as done
/// without repeating it, and the task would continue to run.
#[test]
fn a_persistent_task_is_stopped_before_maintenance_that_an_earlier_owner_may_have_ordered() {
    assert_eq!(maintenance_under_a_persistent_task(4_990), (1, false));
}

/// Returns a wave of which one VM may be unavailable.
fn wave_over(vms: Vec<String>) -> Wave {
    Wave {
        number: 1,
        vms,
        duration_ms: 20_000,
        max_unavailable: 1,
    }
}

/// Returns a shard with three empty VMs and a wave over them of which one may be unavailable, and
/// the operation that it issued for the first.
fn wave_in_progress() -> (Shard, VmOperation) {
    let mut shard = shard_with_workers(&["w1", "w2", "w3"]);
    shard.add_wave(
        wave_over(vec!["w1".to_owned(), "w2".to_owned(), "w3".to_owned()]),
        at(0),
    );
    schedule_starts(&mut shard, 4_000);
    let operation = shard.take_vm_operations().remove(0);
    (shard, operation)
}

fn three_vms() -> Vec<Vm> {
    vec![vm("w1", "w1"), vm("w2", "w2"), vm("w3", "w3")]
}

/// An overloaded owner processes a list of VMs more than a second after it has requested it. The
/// list shows a VM as up whose maintenance has begun since.
#[test]
fn a_list_requested_before_a_maintenance_does_not_end_it() {
    let (mut shard, operation) = wave_in_progress();
    shard.vm_operation_done(&operation, at(4_010), unix(4_010));

    shard.set_vms(three_vms(), at(4_005));
    schedule_starts(&mut shard, 5_500);
    let while_unknown = shard.take_vm_operations();
    shard.set_vms(three_vms(), at(7_000));
    schedule_starts(&mut shard, 7_100);
    let while_up = shard.take_vm_operations();

    assert_eq!(while_unknown, vec![]);
    assert_eq!(while_up.len(), 1);
}

/// The answer to a maintenance order is lost, and the platform refuses the repeat because the VM is
/// out of service. The VM counts against the wave's limit.
#[test]
fn a_refused_repeat_of_an_unanswered_maintenance_counts_as_carried_out() {
    let (mut shard, operation) = wave_in_progress();
    shard.vm_operation_failed(&operation, true, at(4_100));
    schedule_starts(&mut shard, 4_600);
    let repeated = shard.take_vm_operations();

    shard.vm_operation_failed(&operation, false, at(4_610));
    schedule_starts(&mut shard, 5_100);
    let afterwards = shard.take_vm_operations();

    assert_eq!(repeated, vec![operation]);
    assert_eq!(afterwards, vec![]);
}

/// The platform refuses the repeat for another reason, and a later list shows the VM up with the
/// same worker: its maintenance has not begun and is ordered again.
#[test]
fn an_unanswered_maintenance_that_was_not_carried_out_is_ordered_again() {
    let (mut shard, operation) = wave_in_progress();
    shard.vm_operation_failed(&operation, true, at(4_100));
    schedule_starts(&mut shard, 4_600);
    shard.take_vm_operations();
    shard.vm_operation_failed(&operation, false, at(4_610));

    shard.set_vms(three_vms(), at(5_500));
    schedule_starts(&mut shard, 5_600);
    let operations = shard.take_vm_operations();

    assert_eq!(operations, vec![operation]);
}

/// Two steps each have a task on both VMs of a wave, and each step may miss one. One of them is
/// moving a task already, so that no VM can be emptied. The other step must not wait for it: the
/// step with the most tasks on such VMs determines how long the wave takes.
#[test]
fn a_persistent_task_moves_off_a_vm_while_another_one_there_may_not() {
    // Arrange: w1 and w2 run a task of each step, of which the first step's on w1 is not yet fully
    // running. w3 and w4 are free.
    let mut shard = shard_with_workers(&["w1", "w2"]);
    let persistent_step = StepSpec {
        persistent: true,
        anti_affinity: 1,
        max_unavailable: Some(1),
        ..step(2)
    };
    for number in 1..=2 {
        let spec = job(vec![persistent_step.clone()]);
        shard.submit(job_id(number), spec, at(900), unix(900));
    }
    store_batches(&mut shard);
    let starts = schedule_starts(&mut shard, 1_000);
    for name in ["w1", "w2"] {
        let mut poll_report = report(2_000);
        for (task, run, _) in starts.iter().filter(|start| start.2 == name) {
            let mut listed = listed_run(*task, *run);
            if name == "w1" && task.job == job_id(1) {
                listed.percent = 50;
            }
            poll_report.running.push(listed);
        }
        poll(&mut shard, name, &poll_report, 2_000);
    }
    let names = ["w1", "w2", "w3", "w4"];
    shard.set_workers(names.map(worker_entry).to_vec(), at(2_100));
    shard.set_vms(names.map(|name| vm(name, name)).to_vec(), at(2_100));
    for name in ["w3", "w4"] {
        poll(&mut shard, name, &report(2_100), 2_100);
    }
    shard.add_wave(wave_over(vec!["w2".to_owned()]), at(2_200));

    // Act
    shard.schedule(at(2_300), unix(2_300));
    let orders = shard.take_orders();

    // Assert: only the second job's task on w2 is stopped.
    let mut stopped = Vec::new();
    for (worker, order) in orders {
        if let Order::Stop { task, .. } = order {
            stopped.push((worker.to_string(), task.job));
        }
    }
    assert_eq!(starts.len(), 4);
    assert_eq!(stopped, vec![("w2".to_owned(), job_id(2))]);
}

/// Returns the number of tasks that a new owner stops for a wave at `ms` after its takeover. Its
/// worker has reported a persistent task as fully running, and another VM has room for it.
fn stops_after_a_takeover(ms: u64) -> usize {
    let persistent_step = StepSpec {
        persistent: true,
        max_unavailable: Some(1),
        ..step(1)
    };
    let mut shard = shard_after_takeover(job(vec![persistent_step]), &["w1", "w2"]);
    let mut running = report(10_000);
    running
        .running
        .push(listed_run(crate::fixture::task(job_id(1), 0), 7));
    poll(&mut shard, "w1", &running, 10);
    poll(&mut shard, "w2", &report(10_000), 10);
    shard.add_wave(wave_over(vec!["w1".to_owned()]), at(20));
    shard.schedule(at(ms), unix(ms));
    let is_stop = |row: &(_, Order)| matches!(row.1, Order::Stop { .. });
    let orders = shard.take_orders();
    orders.iter().filter(|row| is_stop(row)).count()
}

/// An earlier owner has ordered the maintenance of other VMs, which ends tasks of the same step after
/// their workers have reported them as running. A stop in this time would exceed the step's limit.
#[test]
fn a_new_owner_stops_no_task_for_a_wave_until_operations_of_an_earlier_one_have_shown() {
    assert_eq!(stops_after_a_takeover(1_900), 0);
    assert_eq!(stops_after_a_takeover(2_100), 1);
}

/// Returns a shard whose only VM is ordered out of service at 4,000, for a wave or for a move into the
/// pool, and has it confirmed at 4,010, after as many attempts without an answer as given. The worker
/// registers at 5,000 as the incarnation `started`, and the list of VMs shows it then.
fn worker_listed_after(is_move: bool, unanswered: usize, started: u64) -> Shard {
    let mut shard = shard_with_workers(&["w1"]);
    match is_move {
        true => {
            let entry = WorkerEntry {
                pool: "spare".to_owned(),
                ..worker_entry("w1")
            };
            shard.set_workers(vec![entry], at(10));
            let elsewhere = Vm {
                pool: "spare".to_owned(),
                ..vm("w1", "w1")
            };
            shard.set_vms(vec![elsewhere], at(10));
            shard.submit(job_id(9), job(vec![step(1)]), at(3_900), unix(3_900));
            store_batches(&mut shard);
        }
        false => shard.add_wave(wave_over(vec!["w1".to_owned()]), at(0)),
    }
    shard.schedule(at(4_000), unix(4_000));
    shard.take_orders();
    let operation = shard.take_vm_operations().remove(0);
    for attempt in 0..unanswered {
        let ms = 4_001 + attempt as u64;
        shard.vm_operation_failed(&operation, true, at(ms));
    }
    shard.vm_operation_done(&operation, at(4_010), unix(4_010));
    shard.set_vms(vec![vm("w1", "w1")], at(4_900));
    let entry = WorkerEntry {
        started_unix_ms: Some(started),
        ..worker_entry("w1")
    };
    shard.set_workers(vec![entry], at(5_000));
    let answer = PollReport {
        started_unix_ms: Some(started),
        ..report(5_000)
    };
    poll(&mut shard, "w1", &answer, 5_010);
    shard
}

/// The platform confirms an operation that an earlier owner ordered and that is over. The
/// worker on the VM has not ended.
#[test]
fn a_vm_whose_operation_was_already_done_keeps_its_worker_in_use() {
    for unanswered in [0, 1] {
        let mut shard = worker_listed_after(false, unanswered, 1);
        shard.submit(job_id(1), job(vec![step(2)]), at(5_020), unix(5_020));
        store_batches(&mut shard);

        let starts = schedule_starts(&mut shard, 5_030);

        assert_eq!(starts.len(), 2, "{unanswered} attempts without an answer");
    }
}

/// The same for a move that was already done.
#[test]
fn a_worker_that_starts_again_under_its_id_after_a_move_is_used() {
    let mut shard = worker_listed_after(true, 0, 2);

    let starts = schedule_starts(&mut shard, 5_030);

    assert_eq!(starts.len(), 1);
}

/// A worker may start again under its id after the maintenance of its VM.
#[test]
fn a_worker_that_starts_again_under_its_id_after_maintenance_is_used() {
    let mut shard = worker_listed_after(false, 0, 2);
    shard.submit(job_id(1), job(vec![step(2)]), at(5_020), unix(5_020));
    store_batches(&mut shard);

    let starts = schedule_starts(&mut shard, 5_030);

    assert_eq!(starts.len(), 2);
}

/// The registration of the next incarnation arrives before the list of VMs shows it.
#[test]
fn a_registration_of_a_later_incarnation_ends_the_removal_of_its_worker() {
    let (mut shard, operation) = wave_in_progress();
    shard.vm_operation_done(&operation, at(4_010), unix(4_010));
    let later = WorkerEntry {
        started_unix_ms: Some(2),
        ..worker_entry("w1")
    };

    shard.update_worker(worker_entry("w1"), at(4_020));
    let while_ended = shard.worker_addresses().len();
    shard.update_worker(later, at(6_000));
    let while_back = shard.worker_addresses().len();

    assert_eq!((while_ended, while_back), (2, 3));
}

/// An owner that may have a successor orders nothing, also no repetition, and drains no
/// VM for an operation that it may not order.
#[test]
fn an_owner_without_the_right_to_operate_on_vms_plans_no_operation() {
    let (mut shard, operation) = wave_in_progress();
    shard.vm_operation_failed(&operation, true, at(4_100));

    shard.set_may_operate_vms(false);
    schedule_starts(&mut shard, 4_600);
    let without_right = shard.take_vm_operations();
    shard.submit(job_id(1), job(vec![step(8)]), at(4_610), unix(4_610));
    store_batches(&mut shard);
    let started = schedule_starts(&mut shard, 4_620);
    shard.set_may_operate_vms(true);
    schedule_starts(&mut shard, 4_800);
    let with_right = shard.take_vm_operations();

    assert_eq!(without_right, vec![]);
    assert_eq!(started.len(), 8);
    assert_eq!(with_right, vec![operation]);
}

/// Returns a shard with an empty VM m1 of a wave, whose maintenance was ordered at 6,000 and got no
/// answer. Of its two VMs, w2 has no room.
fn unanswered_maintenance() -> (Shard, VmOperation) {
    let mut shard = shard_with_workers(&["w1", "w2"]);
    let full = StepSpec {
        required_label: "full".to_owned(),
        ..step(4)
    };
    let labelled = WorkerEntry {
        labels: vec!["full".to_owned()],
        ..worker_entry("w2")
    };
    shard.set_workers(vec![worker_entry("w1"), labelled], at(10));
    shard.submit(job_id(9), job(vec![full]), at(900), unix(900));
    store_batches(&mut shard);
    for (task, run, name) in schedule_starts(&mut shard, 1_000) {
        accept_start(&mut shard, &name, task, run, 1_010);
    }
    shard.add_wave(wave_over(vec!["m1".to_owned()]), at(5_900));
    shard.set_vms(vec![vm("m1", "w1"), vm("m2", "w2")], at(5_900));
    shard.schedule(at(6_000), unix(6_000));
    let operation = shard.take_vm_operations().remove(0);
    shard.vm_operation_failed(&operation, true, at(6_100));
    (shard, operation)
}

/// Returns the entries of a worker on m1, of the incarnation that started at `started`, and of w2.
fn entries_with(name: &str, started: u64) -> Vec<WorkerEntry> {
    let first = WorkerEntry {
        started_unix_ms: Some(started),
        ..worker_entry(name)
    };
    vec![first, worker_entry("w2")]
}

/// Brings m1 back with a worker after its maintenance, and starts a persistent task there. Returns
/// the task and its run.
fn start_on_returned_vm(shard: &mut Shard, name: &str, ms: u64) -> (TaskId, u64) {
    shard.set_workers(entries_with(name, 2), at(ms));
    let answer = PollReport {
        started_unix_ms: Some(2),
        ..report(100)
    };
    poll(shard, name, &answer, ms + 10);
    let persistent_step = StepSpec {
        persistent: true,
        max_unavailable: Some(1),
        ..step(1)
    };
    shard.submit(job_id(1), job(vec![persistent_step]), at(ms), unix(ms));
    store_batches(shard);
    let (task, run, on) = schedule_starts(shard, ms + 20).remove(0);
    assert_eq!(on, name);
    let mut answer = PollReport {
        started_unix_ms: Some(2),
        ..report(200)
    };
    answer.running.push(listed_run(task, run));
    poll(shard, name, &answer, ms + 200);
    (task, run)
}

/// Gives w2 room, runs a scheduling pass and confirms all maintenance that it orders. Returns whether
/// tasks were started.
fn starts_after_confirmations(shard: &mut Shard, ms: u64) -> bool {
    let roomy = WorkerEntry {
        capacity: Resources {
            cpu_millis: 64_000,
            ..worker_entry("w2").capacity
        },
        ..worker_entry("w2")
    };
    shard.update_worker(roomy, at(ms));
    let mut starts = schedule_starts(shard, ms);
    for operation in shard.take_vm_operations() {
        shard.vm_operation_done(&operation, at(ms + 10), unix(ms + 10));
        starts.extend(schedule_starts(shard, ms + 20));
    }
    !starts.is_empty()
}

/// The maintenance was carried out, its answer was lost, and the repeat was refused for another reason.
/// The VM was ordered out of service once more with a task on it, which the platform confirmed as already
/// done: the task was started a second time while its run went on.
#[test]
fn a_second_order_of_a_maintenance_that_may_have_been_carried_out_ends_no_runs() {
    let (mut shard, operation) = unanswered_maintenance();
    schedule_starts(&mut shard, 6_600);
    shard.take_vm_operations();
    shard.vm_operation_failed(&operation, false, at(6_610));
    start_on_returned_vm(&mut shard, "w1b", 8_500);
    shard.set_vms(vec![vm("m1", "w1b"), vm("m2", "w2")], at(8_900));

    let started = starts_after_confirmations(&mut shard, 9_000);

    assert!(!started);
    assert_eq!(shard.run_count(), 5);
}

/// The same with calls that stay without an answer until the worker is back under its id.
#[test]
fn a_confirmation_after_attempts_without_an_answer_ends_no_runs_of_a_later_incarnation() {
    let (mut shard, operation) = unanswered_maintenance();
    shard.set_workers(vec![worker_entry("w2")], at(6_200));
    start_on_returned_vm(&mut shard, "w1", 8_500);

    shard.vm_operation_done(&operation, at(9_000), unix(9_000));
    let started = starts_after_confirmations(&mut shard, 9_010);

    assert!(!started);
    assert_eq!(shard.run_count(), 5);
}

/// The incarnation that an operation was issued for has ended, and its order reaches the next one or
/// none. What the next one runs was never considered for the operation.
#[test]
fn an_operation_is_not_repeated_on_a_later_worker_with_runs() {
    for (name, listed) in [("w1", "w1"), ("w1b", "w1b")] {
        let (mut shard, _) = unanswered_maintenance();
        shard.set_workers(vec![worker_entry("w2")], at(6_110));
        start_on_returned_vm(&mut shard, name, 6_120);
        shard.set_vms(vec![vm("m1", listed), vm("m2", "w2")], at(6_300));
        schedule_starts(&mut shard, 6_600);

        assert_eq!(shard.take_vm_operations(), vec![], "worker {name}");
    }
}

/// Returns a shard whose maintenance of a VM with a persistent task was confirmed at 6,700 after an
/// attempt without an answer, and the number of starts until 7,500.
fn confirmed_after_an_unanswered_attempt() -> (Shard, usize) {
    let (mut shard, on) = shard_with_a_persistent_task();
    assert_eq!(on, "w1");
    shard.add_wave(wave_over(vec!["w1".to_owned()]), at(5_900));
    shard.schedule(at(6_000), unix(6_000));
    let operation = shard.take_vm_operations().remove(0);
    shard.vm_operation_failed(&operation, true, at(6_100));
    schedule_starts(&mut shard, 6_600);
    let repeated = shard.take_vm_operations();
    assert_eq!(repeated, [operation]);
    shard.vm_operation_done(&repeated[0], at(6_700), unix(6_700));
    let starts = schedule_starts(&mut shard, 7_490).len();
    (shard, starts)
}

/// The confirmation may speak of the attempt without an answer, and the task's worker may have started
/// again since. The list of VMs shows what has become of it.
#[test]
fn the_list_of_vms_shows_whether_a_repeated_maintenance_has_ended_the_worker() {
    let in_maintenance = Vm {
        state: VmState::Maintenance,
        worker: None,
        ..vm("w1", "w1")
    };
    let cases = [
        (in_maintenance, 1),
        (vm("w1", "w1b"), 1),
        (vm("w1", "w1"), 0),
    ];
    for (listed, expected) in cases {
        let (mut shard, before) = confirmed_after_an_unanswered_attempt();

        shard.set_vms(vec![listed.clone(), vm("w2", "w2")], at(7_490));
        let too_early = schedule_starts(&mut shard, 7_495).len();
        shard.set_vms(vec![listed.clone(), vm("w2", "w2")], at(7_510));
        let shown = schedule_starts(&mut shard, 7_600).len();

        assert_eq!((before, too_early, shown), (0, 0, expected), "{listed:?}");
    }
}

/// An earlier owner has ordered the maintenance, and a task was started on the VM by a late order after
/// this owner had found it empty.
#[test]
fn a_confirmation_to_an_owner_that_is_not_the_first_ends_no_runs() {
    let mut shard = shard_with_workers(&["w1", "w2"]);
    shard.add_wave(wave_over(vec!["w1".to_owned()]), at(0));
    shard.schedule(at(4_000), unix(4_000));
    let operation = shard.take_vm_operations().remove(0);
    let mut late = report(4_005);
    late.running.push(listed_run(task(job_id(1), 0), 7));
    poll(&mut shard, "w1", &late, 4_005);

    shard.vm_operation_done(&operation, at(4_010), unix(4_010));

    assert_eq!(shard.run_count(), 1);
}
