//! Queues that are moved to other pools while their jobs run.

use vanillafold_jobs::{Catalogue, Epoch, PoolInfo, QueueInfo, Record, Shard, Vm, WorkerEntry};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_run, poll, report, schedule_starts, settings,
    step, store_in, stored_records, unix, vm, worker_entry,
};

/// Workers, with the pool of each.
const WORKERS: [(&str, &str); 3] = [("wa", "pool-a"), ("wb", "pool-b"), ("wc", "pool-c")];

/// Returns a configuration in which the queue is served by a pool, or removed.
fn catalogue_with(version: u64, pool: Option<&str>) -> Catalogue {
    let mut moved = catalogue();
    moved.version = version;
    for name in ["pool-b", "pool-c"] {
        moved.pools.push(PoolInfo {
            name: name.to_owned(),
            spare: false,
        });
    }
    let queue = moved.queues.remove(0);
    moved.queues.extend(pool.map(|pool| QueueInfo {
        pool: pool.to_owned(),
        ..queue
    }));
    moved
}

/// Begins an ownership at `ms` with one worker in each of three pools.
fn take_over(epoch: u64, stored: &[(String, Vec<u8>)], pool: Option<&str>, ms: u64) -> Shard {
    let records = stored_records(stored);
    let mut shard = Shard::load(settings(), Epoch::new(epoch), records, at(ms), unix(ms));
    shard.set_evacuated_zones(&[], at(0));
    shard.set_catalogue(catalogue_with(epoch, pool));
    let entry = |row: &(&str, &str)| WorkerEntry {
        pool: row.1.to_owned(),
        ..worker_entry(row.0)
    };
    shard.set_workers(WORKERS.iter().map(entry).collect(), at(ms));
    let vm = |row: &(&str, &str)| Vm {
        pool: row.1.to_owned(),
        ..vm(row.0, row.0)
    };
    shard.set_vms(WORKERS.iter().map(vm).collect(), at(ms));
    shard
}

/// Returns a shard whose queue was moved to pool-b after a job had been submitted for pool-a, with what
/// is stored.
fn moved_before_the_first_start() -> (Shard, Vec<(String, Vec<u8>)>) {
    let mut stored = Vec::new();
    let mut shard = take_over(1, &stored, Some("pool-a"), 0);
    for (name, _) in WORKERS {
        poll(&mut shard, name, &report(1), 0);
    }
    shard.submit(job_id(1), job(vec![step(1)]), at(900), unix(900));
    store_in(&mut stored, &mut shard);
    shard.set_catalogue(catalogue_with(2, Some("pool-b")));
    (shard, stored)
}

/// Returns what is stored after an owner has started a task in pool-b, to which the queue was moved
/// after its job had been submitted for pool-a, with the number of the run.
fn started_in_the_second_pool() -> (Vec<(String, Vec<u8>)>, u64) {
    let (mut shard, mut stored) = moved_before_the_first_start();
    schedule_starts(&mut shard, 1_000);
    store_in(&mut stored, &mut shard);
    let started = schedule_starts(&mut shard, 1_010);
    let (task, run, name) = &started[0];
    assert_eq!(name, "wb");
    accept_start(&mut shard, "wb", *task, *run, 1_020);
    store_in(&mut stored, &mut shard);
    (stored, *run)
}

/// A new owner waited for the workers of the pool where the job was submitted and of the one that
/// its queue is in now, while the task ran in a pool in between.
#[test]
fn a_task_in_a_pool_that_its_queue_was_moved_through_is_not_started_again() {
    for now_in in [Some("pool-c"), Some("pool-a"), None] {
        let (stored, run) = started_in_the_second_pool();
        let mut shard = take_over(3, &stored, now_in, 2_000);

        poll(&mut shard, "wa", &report(2_010), 2_010);
        poll(&mut shard, "wc", &report(2_010), 2_010);
        let early = schedule_starts(&mut shard, 2_020);
        let mut running = report(2_030);
        let task = crate::fixture::task(job_id(1), 0);
        running.running.push(listed_run(task, run));
        poll(&mut shard, "wb", &running, 2_030);
        let late = schedule_starts(&mut shard, 2_040);

        assert_eq!((early, late), (vec![], vec![]), "queue in {now_in:?}");
        assert_eq!(shard.run_count(), 1);
    }
}

/// Several owners in turn, and moves between their takeovers.
#[test]
fn each_owner_awaits_all_pools_in_which_earlier_ones_started_tasks() {
    // Arrange: the second owner adds nothing to what is stored, but changes the job.
    let (mut stored, _) = started_in_the_second_pool();
    let mut second = take_over(3, &stored, Some("pool-c"), 2_000);
    second.submit(job_id(2), job(vec![step(1)]), at(2_010), unix(2_010));
    store_in(&mut stored, &mut second);

    // Act
    let mut third = take_over(5, &stored, Some("pool-a"), 4_000);
    poll(&mut third, "wa", &report(4_010), 4_010);
    poll(&mut third, "wc", &report(4_010), 4_010);
    let started = schedule_starts(&mut third, 4_020);

    // Assert: only the job that never left pool-a may start.
    let jobs: Vec<_> = started.iter().map(|row| row.0.job).collect();
    assert_eq!(jobs, [job_id(2)]);
}

/// The next owner would not know where the task runs if its order preceded the record.
#[test]
fn a_task_starts_in_the_pool_that_its_queue_was_moved_to_once_that_is_stored() {
    let (mut shard, mut stored) = moved_before_the_first_start();

    let unstored = schedule_starts(&mut shard, 1_000).len();
    let refused = shard.take_batch().expect("a batch");
    shard.batch_refused(&refused);
    let while_refused = schedule_starts(&mut shard, 1_010).len();
    store_in(&mut stored, &mut shard);
    let once_stored = schedule_starts(&mut shard, 1_020).len();

    assert_eq!((unstored, while_refused, once_stored), (0, 0, 1));
}

/// Nothing but the outcome of a finished job stays in the store.
#[test]
fn the_pools_of_a_finished_job_are_deleted() {
    let (mut stored, _) = started_in_the_second_pool();
    let pools = |stored: &[(String, Vec<u8>)]| {
        let records = stored_records(stored);
        let is_pools = |record: &&Record| matches!(record, Record::StartPools(..));
        records.iter().filter(is_pools).count()
    };
    let before = pools(&stored);

    let mut shard = take_over(3, &stored, Some("pool-c"), 2_000);
    shard.cancel(job_id(1), at(2_010), unix(2_010));
    store_in(&mut stored, &mut shard);

    assert_eq!((before, pools(&stored)), (1, 0));
}
