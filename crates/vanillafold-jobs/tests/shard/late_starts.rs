//! Start orders that got no answer, and workers that come back under their ids before the platform can
//! no longer deliver such an order.

use vanillafold_jobs::{
    EndKind, Order, OrderAnswer, PollReport, RunNumber, Shard, TaskId, VmOperation, Wave,
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
