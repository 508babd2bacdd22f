//! Placement of a burst, with more waiting tasks than the pool has room for.

use vanillafold_jobs::{Order, Resources, StepSpec};

use crate::fixture::{
    at, job, job_id, schedule_starts, shard_with_workers, step, store_batches, unix,
};

/// Tasks that need 1 to 4 of the 4 cores of a worker.
fn step_of_cores(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        needs: Resources {
            cpu_millis: cores * 1_000,
            memory_mib: 100,
            gpus: 0,
        },
        ..step(count)
    }
}

/// Work is packed, so that VMs stay empty and can move to the pool whose turn comes next.
#[test]
fn a_burst_fills_one_worker_after_the_other() {
    let mut shard = shard_with_workers(&["w1", "w2", "w3"]);
    shard.submit(job_id(1), job(vec![step_of_cores(3, 2)]), at(10), unix(10));
    shard.submit(job_id(2), job(vec![step_of_cores(2, 1)]), at(10), unix(10));
    store_batches(&mut shard);

    let starts = schedule_starts(&mut shard, 20);

    let mut counts = ["w1", "w2", "w3"].map(|name| {
        let on_worker = starts.iter().filter(|start| start.2 == name);
        on_worker.count()
    });
    counts.sort_unstable();
    assert_eq!(starts.len(), 5);
    assert_eq!(counts, [0, 2, 3]);
}

/// A job whose tasks fit on no worker must not keep smaller tasks of other jobs waiting, and starts
/// once a worker has room for it.
#[test]
fn tasks_that_find_no_room_do_not_delay_smaller_ones() {
    let mut shard = shard_with_workers(&["w1"]);
    shard.submit(job_id(1), job(vec![step_of_cores(1, 2)]), at(10), unix(10));
    store_batches(&mut shard);
    let first = schedule_starts(&mut shard, 20);
    shard.submit(job_id(2), job(vec![step_of_cores(1, 4)]), at(30), unix(30));
    shard.submit(job_id(3), job(vec![step_of_cores(2, 1)]), at(30), unix(30));
    store_batches(&mut shard);

    let in_gaps = schedule_starts(&mut shard, 40);
    for (task, run, _) in first.iter().chain(&in_gaps) {
        shard.cancel(task.job, at(50), unix(50));
        crate::fixture::stop_run(&mut shard, "w1", *task, *run, 60);
    }
    let after = schedule_starts(&mut shard, 100);

    let jobs = |starts: &[(vanillafold_jobs::TaskId, u64, String)]| {
        let mut jobs: Vec<_> = starts.iter().map(|start| start.0.job).collect();
        jobs.dedup();
        jobs
    };
    assert_eq!(jobs(&first), vec![job_id(1)]);
    assert_eq!(jobs(&in_gaps), vec![job_id(3)]);
    assert_eq!(jobs(&after), vec![job_id(2)]);
}

/// A rack was lost or is under maintenance, and persistent tasks of three jobs wait while other work
/// fills the pool. Each must run again within 3 s, so they can't preempt one after the other.
#[test]
fn persistent_tasks_of_several_jobs_preempt_at_the_same_time() {
    // Arrange: short tasks fill all workers.
    let mut shard = shard_with_workers(&["w1", "w2", "w3"]);
    shard.submit(job_id(1), job(vec![step_of_cores(12, 1)]), at(10), unix(10));
    store_batches(&mut shard);
    let filling = schedule_starts(&mut shard, 20);
    for (task, run, on) in &filling {
        crate::fixture::accept_start(&mut shard, on, *task, *run, 30);
    }
    let persistent_step = StepSpec {
        persistent: true,
        anti_affinity: 1,
        ..step_of_cores(1, 2)
    };
    for number in 2..=4 {
        let spec = job(vec![persistent_step.clone()]);
        shard.submit(job_id(number), spec, at(100), unix(100));
    }
    store_batches(&mut shard);
    let early = schedule_starts(&mut shard, 110);

    // Act
    shard.schedule(at(1_200), unix(1_200));
    let orders = shard.take_orders();

    // Assert: two tasks of one core are stopped on each worker.
    let stops = |name: &str| {
        let is_stop = |row: &&(vanillafold_jobs::WorkerId, Order)| {
            row.0.as_str() == name && matches!(row.1, Order::Stop { .. })
        };
        orders.iter().filter(is_stop).count()
    };
    assert_eq!(filling.len(), 12);
    assert_eq!(early, vec![]);
    assert_eq!(["w1", "w2", "w3"].map(stops), [2, 2, 2]);
}
