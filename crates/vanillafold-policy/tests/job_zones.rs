//! Tests of the zones in which the tasks of a job run.

use quickcheck::{Gen, QuickCheck};
use vanillafold_policy::jobs::{
    PlacementCandidate, TaskProfile, ZoneCandidate, choose_worker, spread_rank, zone_order,
};

const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// A zone with room for eight tasks and no runs of the job.
fn zone(zone: &str) -> ZoneCandidate<'_> {
    ZoneCandidate {
        zone,
        job_runs: 0,
        fitting_tasks: 8,
    }
}

/// Returns the names of the zones in the order in which they are tried for eight tasks.
fn order<'a>(job: u64, zones: &[ZoneCandidate<'a>]) -> Vec<&'a str> {
    let order = zone_order(job, 8, zones);
    order.into_iter().map(|index| zones[index].zone).collect()
}

const BATCH: TaskProfile = TaskProfile {
    persistent: false,
    best_effort: false,
    latency_sensitive: false,
};

fn candidate(zone_rank: u32) -> PlacementCandidate {
    PlacementCandidate {
        near_data: true,
        same_rack: true,
        persistent_tasks: 0,
        best_effort_tasks: 0,
        latency_sensitive_tasks: 0,
        fault_score: 0.0,
        fresh_suspects: 0,
        exposed_tasks: 0,
        maintenance_due: false,
        zone_rank,
        failed_here: false,
    }
}

/// One of four zones is cut off for some seconds while 1,000 jobs of eight tasks run. Spread over the
/// zones, each of them would have tasks there.
#[test]
fn a_partition_of_one_of_four_zones_delays_about_a_quarter_of_the_jobs() {
    let zones = ZONES.map(zone);
    for cut_off in ZONES {
        let delayed = (0..1_000)
            .filter(|job| order(*job, &zones)[0] == cut_off)
            .count();

        assert!((200..=300).contains(&delayed), "{cut_off}: {delayed} jobs");
    }
}

/// A burst fills some zones. Tasks that waited for their zone would be late although servers are idle.
#[test]
fn a_step_is_tried_in_every_zone_and_first_where_all_of_it_fits() {
    fn holds(job: u64, fitting: Vec<u32>) -> bool {
        let zones: Vec<_> = ZONES.into_iter().zip(fitting).collect();
        let zones: Vec<_> = zones
            .into_iter()
            .map(|(name, fitting)| ZoneCandidate {
                fitting_tasks: fitting % 16,
                ..zone(name)
            })
            .collect();
        let tried = zone_order(job, 8, &zones);
        let mut sorted = tried.clone();
        sorted.sort_unstable();
        let fits: Vec<bool> = tried
            .iter()
            .map(|index| zones[*index].fitting_tasks >= 8)
            .collect();
        sorted == (0..zones.len()).collect::<Vec<_>>() && fits.is_sorted_by(|a, b| a >= b)
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(20, 1))
        .quickcheck(holds as fn(u64, Vec<u32>) -> bool);
}

/// A task that is started again, or a later step, would otherwise add a second zone to the job.
#[test]
fn the_zone_with_most_runs_of_the_job_comes_first_also_if_it_is_nearly_full() {
    let few = ZoneCandidate {
        job_runs: 1,
        ..zone("zone-a")
    };
    let most = ZoneCandidate {
        job_runs: 3,
        fitting_tasks: 1,
        ..zone("zone-b")
    };

    for job in 0..50 {
        let tried = order(job, &[few, zone("zone-c"), most]);

        assert_eq!(tried, ["zone-b", "zone-a", "zone-c"]);
    }
}

/// A zone that is evacuated or cut off leaves the list, and comes back. Jobs of other zones would
/// otherwise get a second zone for their later steps.
#[test]
fn a_zone_that_leaves_moves_only_the_jobs_that_prefer_it() {
    let zones = ZONES.map(zone);
    for job in 0..200 {
        let all = order(job, &zones);
        let mut without_d = all.clone();
        without_d.retain(|name| *name != "zone-d");

        assert_eq!(order(job, &zones[..3]), without_d);
    }
}

/// The zone ranks above packing. It ranks below what makes a task fail or take several times as long:
/// on a faulty worker of its zone a task might use up the attempts of its job.
#[test]
fn the_zone_ranks_below_faults_and_racks_and_above_packing() {
    let failed_here = PlacementCandidate {
        failed_here: true,
        ..candidate(0)
    };
    let far_from_data = PlacementCandidate {
        near_data: false,
        ..candidate(0)
    };
    let other_rack = PlacementCandidate {
        same_rack: false,
        ..candidate(0)
    };

    for worse in [failed_here, far_from_data, other_rack] {
        assert_eq!(choose_worker([worse, candidate(1)], BATCH), Some(1));
    }
    assert_eq!(choose_worker([candidate(0), candidate(1)], BATCH), Some(0));
    assert_eq!(choose_worker([candidate(1), candidate(2)], BATCH), Some(0));
}

/// A partition must not make all tasks of a persistent step unavailable; but a spread that takes an
/// empty VM costs more than it saves, as the VM can't move to a pool that is short of them.
#[test]
fn a_persistent_step_is_spread_over_the_zones_without_further_vms() {
    let persistent = TaskProfile {
        persistent: true,
        ..BATCH
    };
    let on_used_vm = |zone_rank| PlacementCandidate {
        persistent_tasks: 1,
        ..candidate(zone_rank)
    };
    let due = PlacementCandidate {
        maintenance_due: true,
        ..on_used_vm(spread_rank(0, false))
    };
    let with_runs = on_used_vm(spread_rank(2, false));
    let without_runs = on_used_vm(spread_rank(0, false));
    let empty = candidate(spread_rank(0, true));
    let with_batch_work = candidate(spread_rank(2, false));

    assert_eq!(
        choose_worker([with_runs, without_runs, empty], persistent),
        Some(1)
    );
    assert_eq!(choose_worker([empty, with_batch_work], persistent), Some(1));
    assert_eq!(choose_worker([due, with_runs], persistent), Some(1));
}
