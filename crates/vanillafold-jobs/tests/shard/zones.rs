//! Zones in which the tasks of a job run.

use vanillafold_jobs::{
    EndKind, Epoch, JobSpec, Record, Resources, RunNumber, Shard, StepSpec, TaskId, WorkerEntry,
};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, listed_end, listed_run, poll, report,
    schedule_starts, settings, shard_with_entries, step, store_batches, task, unix, with_entries,
    worker_entry,
};

/// Two workers of four cores in each of three zones, one of them on the rack `r-a`, `r-b` or `r-c`.
const WORKERS: [(&str, &str, &str); 6] = [
    ("w1", "zone-a", "r-a"),
    ("w2", "zone-a", "r1"),
    ("w3", "zone-b", "r-b"),
    ("w4", "zone-b", "r1"),
    ("w5", "zone-c", "r-c"),
    ("w6", "zone-c", "r1"),
];

fn entries() -> Vec<WorkerEntry> {
    let entry = |(name, zone, rack): (&str, &str, &str)| WorkerEntry {
        zone: zone.to_owned(),
        labels: vec!["a".to_owned(), rack.to_owned()],
        ..worker_entry(name)
    };
    WORKERS.into_iter().map(entry).collect()
}

fn zone_of(worker: &str) -> &'static str {
    let row = WORKERS.iter().find(|row| row.0 == worker);
    row.expect("a known worker").1
}

/// Returns the zones of the workers of these starts, in the order of the starts.
fn zones(starts: &[(TaskId, u64, String)]) -> Vec<&'static str> {
    starts.iter().map(|start| zone_of(&start.2)).collect()
}

fn submit(shard: &mut Shard, number: u64, spec: JobSpec, ms: u64) {
    shard.submit(job_id(number), spec, at(ms), unix(ms));
    store_batches(shard);
}

/// Returns the starts of a job with these steps on idle workers.
fn starts_on_idle_workers(number: u64, steps: Vec<StepSpec>) -> Vec<(TaskId, u64, String)> {
    let mut shard = shard_with_entries(entries());
    submit(&mut shard, number, job(steps), 10);
    schedule_starts(&mut shard, 20)
}

/// A partition of one zone would otherwise delay nearly every job.
#[test]
fn the_tasks_of_a_job_run_in_one_zone_and_the_jobs_in_all_zones() {
    let mut used = Vec::new();
    for number in 1..=20 {
        let mut zones = zones(&starts_on_idle_workers(number, vec![step(6)]));
        assert_eq!(zones.len(), 6);
        zones.dedup();
        assert_eq!(zones.len(), 1, "job {number}: {zones:?}");
        used.extend(zones);
    }

    used.sort_unstable();
    used.dedup();
    assert_eq!(used, ["zone-a", "zone-b", "zone-c"]);
}

/// A zone of eight cores can't hold twelve tasks of one core; none may wait for it.
#[test]
fn tasks_that_find_no_room_in_the_zone_start_in_the_next_one_at_once() {
    let zones = zones(&starts_on_idle_workers(1, vec![step(12)]));

    assert_eq!(zones.len(), 12);
    assert!(zones[..8].iter().all(|zone| *zone == zones[0]));
    assert!(zones[8..].iter().all(|zone| *zone == zones[8]));
    assert_ne!(zones[8], zones[0]);
}

/// A zone that can't hold a whole gang would split it although another zone is empty.
#[test]
fn a_gang_runs_in_a_zone_with_room_for_all_members() {
    for number in 1..=10 {
        let mut shard = shard_with_entries(entries());
        let gang = StepSpec {
            gang: true,
            ..step(6)
        };
        // Four cores are used in each of two zones.
        for (other, rack) in [(100, "r-a"), (200, "r-b")] {
            let near = StepSpec {
                data_rack: rack.to_owned(),
                ..step(4)
            };
            submit(&mut shard, other + number, job(vec![near]), 10);
        }
        schedule_starts(&mut shard, 20);
        submit(&mut shard, number, job(vec![gang]), 30);

        let zones = zones(&schedule_starts(&mut shard, 40));

        assert_eq!(zones, ["zone-c"; 6], "job {number}");
    }
}

/// The next owner stores nothing about zones; a job whose later tasks went elsewhere would depend on
/// two zones.
#[test]
fn the_next_owner_uses_the_same_zone() {
    for number in 1..=10 {
        let before = zones(&starts_on_idle_workers(number, vec![step(2)]));
        let records = vec![Record::Spec(job_id(number), Box::new(job(vec![step(2)])))];
        let next = Shard::load(settings(), Epoch::new(6), records, at(0), unix(0));
        let mut next = with_entries(next, entries());

        assert_eq!(zones(&schedule_starts(&mut next, 20)), before);
    }
}

/// The earlier owner may have placed a task elsewhere, because the zone had no room then.
#[test]
fn a_task_joins_the_runs_that_the_earlier_owner_started() {
    for number in 1..=10 {
        let records = vec![Record::Spec(job_id(number), Box::new(job(vec![step(2)])))];
        let mut next = Shard::load(settings(), Epoch::new(6), records, at(0), unix(0));
        next.set_evacuated_zones(&[], at(0));
        next.set_catalogue(catalogue());
        next.set_workers(entries(), at(0));
        for row in WORKERS {
            let mut listed = report(1);
            if row.0 == "w4" {
                listed.running.push(listed_run(task(job_id(number), 0), 7));
            }
            poll(&mut next, row.0, &listed, 5);
        }
        next.set_vms(Vec::new(), at(10));

        assert_eq!(zones(&schedule_starts(&mut next, 20)), ["zone-b"]);
    }
}

/// On another rack a task takes several times as long; that costs more than a second zone.
#[test]
fn a_near_rack_in_another_zone_goes_before_the_zone_of_the_job() {
    for number in 1..=10 {
        for (rack, worker) in [("r-a", "w1"), ("r-b", "w3"), ("r-c", "w5")] {
            let near = StepSpec {
                data_rack: rack.to_owned(),
                ..step(2)
            };

            let starts = starts_on_idle_workers(number, vec![near]);

            assert!(starts.len() == 2 && starts.iter().all(|row| row.2 == worker));
        }
    }
}

/// A worker that fails each run would use up the attempts of the jobs that prefer its zone.
#[test]
fn a_failed_task_is_started_again_in_another_zone_if_its_zone_has_no_other_worker() {
    for number in 1..=6 {
        let mut shard = shard_with_entries(entries().into_iter().step_by(2).collect());
        submit(&mut shard, number, job(vec![step(1)]), 10);
        let first = schedule_starts(&mut shard, 20);
        let (task, run, on) = &first[0];
        accept_start(&mut shard, on, *task, *run, 30);
        let mut failed = report(100);
        failed
            .ended
            .push(listed_end(1, *task, *run, EndKind::Failed));
        poll(&mut shard, on, &failed, 40);
        store_batches(&mut shard);

        let again = schedule_starts(&mut shard, 50);

        assert_eq!(again.len(), 1);
        assert!(again[0].1 > RunNumber::new(*run).get() && again[0].2 != *on);
    }
}

/// Workers of the twelve tasks in the next test, as they were chosen before zones mattered.
const WORKERS_WITHOUT_ZONES: [&str; 12] = [
    "w1", "w1", "w1", "w1", "w2", "w2", "w2", "w3", "w3", "w4", "w4", "w5",
];

/// A burst of steps of several sizes, in one zone with a name and without one. The names must make no
/// difference where there is nothing to choose.
#[test]
fn with_one_zone_tasks_are_packed_as_without_zones() {
    let starts = |zone: &str| {
        let mut entries = entries();
        for entry in &mut entries {
            entry.zone = zone.to_owned();
        }
        let mut shard = shard_with_entries(entries);
        for number in 1..=6 {
            let sized = StepSpec {
                needs: Resources {
                    cpu_millis: 300 + 300 * number,
                    memory_mib: 100,
                    gpus: 0,
                },
                gang: number % 3 == 0,
                ..step(2)
            };
            submit(&mut shard, number, job(vec![sized]), 10);
        }
        schedule_starts(&mut shard, 20)
    };

    let without_name = starts("");
    let workers: Vec<&str> = without_name.iter().map(|row| row.2.as_str()).collect();
    assert_eq!(starts("zone-a"), without_name);
    assert_eq!(workers, WORKERS_WITHOUT_ZONES);
}

/// A partition of one zone must not make all tasks of a persistent step unavailable.
#[test]
fn the_tasks_of_a_persistent_step_with_a_limit_run_in_all_zones() {
    let persistent = |max_unavailable| StepSpec {
        persistent: true,
        anti_affinity: 1,
        max_unavailable,
        ..step(3)
    };
    for number in 1..=10 {
        let limited = starts_on_idle_workers(number, vec![persistent(Some(1))]);
        let mut zones = zones(&limited);
        zones.sort_unstable();

        assert_eq!(zones, ["zone-a", "zone-b", "zone-c"]);
    }
}

/// An empty VM can move to a pool that is short of them. Spreading must not take it while one that
/// is in use has room.
#[test]
fn a_persistent_step_takes_no_empty_vm_to_be_spread() {
    let mut shard = shard_with_entries(entries());
    let filling = StepSpec {
        data_rack: "r-a".to_owned(),
        ..step(1)
    };
    submit(&mut shard, 100, job(vec![filling]), 10);
    schedule_starts(&mut shard, 20);
    let persistent = StepSpec {
        persistent: true,
        max_unavailable: Some(1),
        ..step(3)
    };
    submit(&mut shard, 1, job(vec![persistent]), 30);

    let starts = schedule_starts(&mut shard, 40);

    let on_used: Vec<&str> = starts.iter().map(|row| row.2.as_str()).collect();
    assert_eq!(on_used, ["w1"; 3]);
}
