//! Start orders that got no answer, and workers that come back under their ids before the platform can
//! no longer deliver such an order.

use vanillafold_jobs::{
    EndKind, Order, OrderAnswer, PollReport, RunNumber, Shard, StepSpec, TaskId, VmOperation, Wave,
    WorkerEntry,
};

use crate::fixture::{
    accept_start, answer_start, at, job, job_id, listed_end, poll, report, schedule_starts,
    shard_with_workers, step, store_batches, unix, worker, worker_entry,
};

/// Returns a shard in which a start order on w1 got no answer at 1,000, the repeated one was accepted, and
/// the task is done and its end acknowledged. Also returns the run.
fn done_after_an_unanswered_start() -> (Shard, TaskId, u64) {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    store_batches(&mut shard);
    let (task, run, _) = schedule_starts(&mut shard, 990).remove(0);
    answer_start(&mut shard, "w1", (task, run), OrderAnswer::Unknown, 1_000);
    poll(&mut shard, "w1", &report(1_100), 1_100);
    accept_start(&mut shard, "w1", task, run, 1_110);
    let mut done = report(1_600);
    done.ended = vec![listed_end(1, task, run, EndKind::Done)];
    poll(&mut shard, "w1", &done, 1_600);
    store_batches(&mut shard);
    shard.plan_poll(&worker("w1"), at(1_700));
    poll(&mut shard, "w1", &report(1_700), 1_700);
    schedule_starts(&mut shard, 1_710);
    assert_eq!((shard.open_jobs(), shard.run_count()), (0, 0));
    (shard, task, run)
}

/// Lists w1 as the incarnation that started at `started` and has it answer its first poll. Returns
/// the runs that are stopped there.
fn stops_in_incarnation(shard: &mut Shard, started: u64, ms: u64) -> Vec<(TaskId, u64)> {
    let entry = WorkerEntry {
        started_unix_ms: Some(started),
        ..worker_entry("w1")
    };
    shard.set_workers(vec![entry], at(ms));
    let answer = PollReport {
        started_unix_ms: Some(started),
        ..report(100)
    };
    poll(shard, "w1", &answer, ms + 10);
    shard.schedule(at(ms + 20), unix(ms + 20));
    let stop = |row: (_, Order)| match row.1 {
        Order::Stop { task, run } => Some((task, run.get())),
        Order::Start { .. } | Order::Pace { .. } => None,
    };
    shard.take_orders().into_iter().filter_map(stop).collect()
}

/// The worker crashed and left the list, and what was known of its unanswered orders went with it. It came
/// back under its id, and such an order started a task again that was done.
#[test]
fn a_worker_that_comes_back_to_the_list_is_told_not_to_start_late_orders() {
    let (mut shard, task, run) = done_after_an_unanswered_start();
    shard.set_workers(Vec::new(), at(6_200));
    let while_gone = shard.worker_addresses().len();

    let stopped = stops_in_incarnation(&mut shard, 2, 8_200);

    assert_eq!((while_gone, stopped), (0, vec![(task, run)]));
}

/// The late order was stopped in the first incarnation after it only.
#[test]
fn each_incarnation_of_a_worker_is_told_not_to_start_late_orders() {
    let (mut shard, task, run) = done_after_an_unanswered_start();

    for (started, ms) in [(2, 3_000), (3, 5_000), (4, 7_000)] {
        let stopped = stops_in_incarnation(&mut shard, started, ms);
        let order = Order::Stop {
            task,
            run: RunNumber::new(run),
        };
        let answer = OrderAnswer::Accepted;
        shard.order_answered(&worker("w1"), &order, answer, at(ms + 30), unix(ms + 30));
        let without_run = PollReport {
            started_unix_ms: Some(started),
            ..report(200)
        };
        poll(&mut shard, "w1", &without_run, ms + 40);

        assert_eq!(stopped, [(task, run)], "incarnation {started}");
    }
}

/// The platform can't deliver the order any more.
#[test]
fn a_late_order_is_not_stopped_after_the_time_in_which_it_may_come() {
    let (mut shard, _, _) = done_after_an_unanswered_start();
    shard.set_workers(Vec::new(), at(6_200));

    assert_eq!(stops_in_incarnation(&mut shard, 2, 13_001), []);
}

/// The worker was removed with an operation on its VM and is back under its id.
#[test]
fn a_worker_that_is_back_after_maintenance_is_told_not_to_start_late_orders() {
    let (mut shard, task, run) = done_after_an_unanswered_start();
    let wave = Wave {
        number: 1,
        vms: vec!["w1".to_owned()],
        duration_ms: 20_000,
        max_unavailable: 1,
    };
    shard.add_wave(wave, at(1_800));
    shard.schedule(at(5_000), unix(5_000));
    let operation = shard.take_vm_operations().remove(0);
    assert!(matches!(operation, VmOperation::Upkeep { .. }));
    shard.vm_operation_done(&operation, at(5_010), unix(5_010));
    let while_gone = shard.worker_addresses().len();

    let stopped = stops_in_incarnation(&mut shard, 2, 7_500);

    assert_eq!((while_gone, stopped), (0, vec![(task, run)]));
}

/// Orders a task on w1 or w2, whose start gets no answer at 1,000; the worker answers nothing from then on.
/// Returns what is started at 6,500, when its leases have expired, if it has left the list by then or not, and
/// the worker and the run of the first order.
fn starts_after_a_silent_loss(persistent: bool, is_listed: bool) -> (Shard, usize, (String, u64)) {
    let mut shard = shard_with_workers(&["w1", "w2"]);
    let spec = StepSpec {
        persistent,
        ..step(1)
    };
    shard.submit(job_id(1), job(vec![spec]), at(900), unix(900));
    store_batches(&mut shard);
    let (task, run, on) = schedule_starts(&mut shard, 990).remove(0);
    answer_start(&mut shard, &on, (task, run), OrderAnswer::Unknown, 1_000);
    for ms in [1_300, 1_600, 3_000, 5_000] {
        shard.poll_failed(&worker(&on), OrderAnswer::Unknown, at(ms), unix(ms));
    }
    let names = ["w1", "w2"].into_iter();
    let listed = names.filter(|name| is_listed || *name != on);
    shard.set_workers(listed.map(worker_entry).collect(), at(5_600));
    let started = schedule_starts(&mut shard, 6_500);
    assert!(started.iter().all(|row| row.2 != on), "{started:?}");
    (shard, started.len(), (on, run))
}

/// A persistent task stood still for 12 s on a worker that was lost for good, with room for it elsewhere.
#[test]
fn a_persistent_task_does_not_wait_for_a_late_order_on_a_worker_that_has_left_the_list() {
    let (_, started, _) = starts_after_a_silent_loss(true, false);

    assert_eq!(started, 1);
}

/// A worker that is still listed may be about to start again, and a task that ends by itself may be
/// done by the time the late order comes.
#[test]
fn other_tasks_and_those_on_listed_workers_wait_until_no_late_order_can_come() {
    for (persistent, is_listed) in [(true, true), (false, false), (false, true)] {
        let (mut shard, started, _) = starts_after_a_silent_loss(persistent, is_listed);
        let after_the_delay = schedule_starts(&mut shard, 13_100).len();

        let case = format!("persistent {persistent}, listed {is_listed}");
        assert_eq!((started, after_the_delay), (0, 1), "{case}");
    }
}

/// The task runs elsewhere by then, so that the late order would bring a second run of it.
#[test]
fn a_late_order_for_a_persistent_task_that_was_started_elsewhere_is_stopped() {
    let (mut shard, _, (on, run)) = starts_after_a_silent_loss(true, false);
    let back = WorkerEntry {
        started_unix_ms: Some(2),
        ..worker_entry(&on)
    };
    shard.update_worker(back, at(8_000));
    let answer = PollReport {
        started_unix_ms: Some(2),
        ..report(100)
    };
    poll(&mut shard, &on, &answer, 8_010);
    shard.schedule(at(8_020), unix(8_020));

    let orders = shard.take_orders();

    let is_stopped =
        |row: &(_, Order)| matches!(&row.1, Order::Stop { run: number, .. } if number.get() == run);
    assert!(orders.iter().any(is_stopped), "{orders:?}");
}
