//! Bounds on what a pool's callers see, in the simulation of the routing bench.

#[allow(
    dead_code,
    reason = "the bench uses parts of it that these tests do not"
)]
#[path = "../examples/routing_bench/simulation.rs"]
mod simulation;

use simulation::{DAEMONS, Fault, Report, SLOTS, Scenario, Simulation};
use vanillafold_policy::baseline::LeastOutstanding;
use vanillafold_policy::{DaemonMember, RetryBudget, TargetLimits, TargetTable};
use vanillafold_types::{Connections, Percent, Slots};

/// The most sends that may go to a target that fails everything, from a second after it starts.
const MAX_SHARE_OF_BLACK_HOLE: f64 = 0.01;
/// The most requests that one bad target of twelve may fail, with retries on.
const MAX_FAILED_BY_ONE_TARGET: f64 = 0.005;
/// The least that the worst-served daemon gets of the mean when all are overloaded alike.
const MIN_LEAST_SERVED: f64 = 0.75;
/// The least goodput at twice the capacity, as a part of the capacity.
const MIN_OVERLOAD_GOODPUT: f64 = 0.95;

fn scenario(fault: Fault, load: f64, seed: u64) -> Scenario {
    Scenario {
        fault,
        fault_at_ms: 2_000,
        load,
        run_ms: 12_000,
        seed,
    }
}

fn table(index: usize) -> TargetTable {
    let daemon = |index: usize| DaemonMember {
        daemon: format!("daemon-{index}").parse().unwrap(),
        zone: "a".parse().unwrap(),
    };
    let limits = TargetLimits {
        slots_per_vm: Slots::new(SLOTS),
        connections_per_vm: Connections::new(64),
    };
    let mut table = TargetTable::new(daemon(index), limits);
    table.set_daemons((0..DAEMONS).map(daemon).collect());
    table
}

fn run(scenario: Scenario) -> Report {
    let budget = || RetryBudget::new(Percent::new(10));
    Simulation::new(scenario, |index| (table(index), budget())).run()
}

fn failed_part(report: &Report) -> f64 {
    report.failed as f64 / report.requests as f64
}

#[test]
fn a_black_hole_gets_at_most_a_hundredth_of_the_sends() {
    for seed in 1..=5 {
        let report = run(scenario(Fault::BlackHole, 0.7, seed));

        let share = report.share_of_first();
        assert!(share <= MAX_SHARE_OF_BLACK_HOLE, "seed {seed}: {share}");
        assert!(
            failed_part(&report) <= MAX_FAILED_BY_ONE_TARGET,
            "seed {seed}"
        );
    }
}

#[test]
fn the_black_hole_is_a_trap_for_plain_least_outstanding() {
    let scenario = scenario(Fault::BlackHole, 0.7, 1);
    let report = Simulation::new(scenario, |_| {
        let route = LeastOutstanding::new(Slots::new(SLOTS));
        (route, RetryBudget::new(Percent::new(10)))
    })
    .run();

    // More than its part of the pool: the simulation does set the trap.
    assert!(report.share_of_first() > 1.0 / simulation::TARGETS as f64);
}

#[test]
fn a_hanging_or_slow_target_fails_few_requests() {
    for fault in [Fault::Hang, Fault::Slow] {
        for seed in 1..=3 {
            let report = run(scenario(fault, 0.7, seed));

            let failed = failed_part(&report);
            assert!(failed <= MAX_FAILED_BY_ONE_TARGET, "{fault:?}: {failed}");
        }
    }
}

#[test]
fn overload_leaves_goodput_and_an_even_share_to_each_daemon() {
    let capacity =
        simulation::TARGETS as f64 * f64::from(SLOTS) * 1_000.0 / simulation::SERVICE_MS as f64;
    for seed in 1..=3 {
        let report = run(scenario(Fault::None, 2.0, seed));

        let goodput = report.goodput() / capacity;
        let least = report.least_served();
        assert!(goodput >= MIN_OVERLOAD_GOODPUT, "seed {seed}: {goodput}");
        assert!(least >= MIN_LEAST_SERVED, "seed {seed}: {least}");
        assert!(report.most_running <= SLOTS);
    }
}
