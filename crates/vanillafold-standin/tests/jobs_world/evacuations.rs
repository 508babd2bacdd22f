//! Evacuations of zones, alone and beside other faults: no task starts in a zone that its owner knows to
//! be evacuated, or before the owner knows the operator's requests, and all jobs end afterwards.

use vanillafold_standin::job_simulation::{Simulation, SimulationOptions};

use crate::{SEEDS, violations};

/// Three zones with two workers each, of which one at a time is evacuated, without other faults. Shorter
/// than other simulations: six more of their length would double the time that they take.
fn evacuations() -> SimulationOptions {
    SimulationOptions {
        zones: 3,
        evacuation_permille_per_s: 150,
        jobs: 20,
        fault_phase_ms: 15_000,
        recovery_phase_ms: 20_000,
        owner_loss_permille_per_s: 0,
        worker_partition_permille_per_s: 0,
        worker_crash_permille_per_s: 0,
        delayed_order_permille: 0,
        store_outage_permille_per_s: 0,
        ..SimulationOptions::default()
    }
}

fn assert_no_violation(options: SimulationOptions) {
    assert_eq!(violations(0..SEEDS, options), Vec::<String>::new());
}

#[test]
fn evacuations_violate_no_invariant() {
    assert_no_violation(evacuations());
}

/// Simulations whose tasks can't be moved would find no fault of moving them.
#[test]
fn evacuations_move_persistent_and_checkpointing_tasks() {
    let runs = (0..20).map(|seed| Simulation::new(seed, evacuations()).run());
    let counts: Vec<_> = runs.flatten().collect();

    assert!(counts.iter().any(|counts| counts.replaced > 0));
    assert!(counts.iter().any(|counts| counts.resumed > 0));
}

/// A new owner that knew no requests yet would take any zone for one that may get work.
#[test]
fn evacuations_violate_no_invariant_across_lost_owners() {
    assert_no_violation(SimulationOptions {
        owner_loss_permille_per_s: 400,
        ..evacuations()
    });
}

/// Unanswered starts would be repeated, and lost tasks started again, while their zone is evacuated.
#[test]
fn evacuations_beside_partitioned_and_crashing_workers_violate_no_invariant() {
    assert_no_violation(SimulationOptions {
        worker_partition_permille_per_s: 60,
        worker_crash_permille_per_s: 60,
        ..evacuations()
    });
}

/// What leaves a zone would go to another one that is evacuated, too.
#[test]
fn evacuations_of_two_zones_at_once_violate_no_invariant() {
    assert_no_violation(SimulationOptions {
        evacuation_permille_per_s: 250,
        max_evacuated_zones: 2,
        ..evacuations()
    });
}

/// Accepted jobs would be lost or given up while nothing may start.
#[test]
fn evacuations_of_all_zones_at_once_violate_no_invariant() {
    assert_no_violation(SimulationOptions {
        zones: 2,
        evacuation_permille_per_s: 250,
        max_evacuated_zones: 2,
        ..evacuations()
    });
}

/// Two zones at once beside lost owners, worker faults and store outages.
#[test]
fn evacuations_among_all_other_faults_violate_no_invariant() {
    assert_no_violation(SimulationOptions {
        evacuation_permille_per_s: 250,
        max_evacuated_zones: 2,
        owner_loss_permille_per_s: 150,
        worker_partition_permille_per_s: 60,
        worker_crash_permille_per_s: 60,
        store_outage_permille_per_s: 80,
        ..evacuations()
    });
}
