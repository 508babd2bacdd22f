//! Bounds on the failures and the goodput that callers of a pool see, checked in the simulation of
//! the routing bench.

#[allow(
    dead_code,
    reason = "the bench uses parts of the module that these tests do not"
)]
#[path = "../examples/routing_bench/simulation.rs"]
mod simulation;

use simulation::{DAEMONS, Fault, Report, SLOTS, Scenario, Simulation, zone};
use vanillafold_policy::baseline::LeastOutstanding;
use vanillafold_policy::{DaemonMember, RetryBudget, TargetLimits, TargetTable};
use vanillafold_types::{Connections, Percent, Slots};

/// Maximum part of the sends that may go to a target that fails everything, counted from one second
/// after the fault starts.
const MAX_BLACK_HOLE_SHARE: f64 = 0.01;
/// Maximum part of the requests that one faulty target of twelve may fail, with retries enabled.
const MAX_FAILED_PART: f64 = 0.005;
/// Maximum part of the requests that may not be served while the other zones can carry the load of
/// an evacuated one.
const MAX_UNSERVED_PART: f64 = 0.005;
/// Minimum goodput of the worst-served daemon, as a part of the mean, when all are overloaded
/// alike.
const MIN_WORST_SERVED_PART: f64 = 0.75;
/// Minimum goodput at a load of twice the capacity, as a part of the capacity.
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

fn table(index: usize, zones: usize) -> TargetTable {
    let daemon = |index: usize| DaemonMember {
        daemon: format!("daemon-{index}").parse().unwrap(),
        zone: zone(index, zones),
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
    Simulation::new(scenario, |index| (table(index, scenario.zones()), budget())).run()
}

fn failed_part(report: &Report) -> f64 {
    report.failed as f64 / report.requests as f64
}

#[test]
fn a_black_hole_gets_at_most_a_hundredth_of_the_sends() {
    for seed in 1..=5 {
        let report = run(scenario(Fault::BlackHole, 0.7, seed));

        let share = report.share_of_first();
        assert!(share <= MAX_BLACK_HOLE_SHARE, "seed {seed}: {share}");
        assert!(failed_part(&report) <= MAX_FAILED_PART, "seed {seed}");
    }
}

#[test]
fn plain_least_outstanding_routing_sends_too_much_to_a_black_hole() {
    let scenario = scenario(Fault::BlackHole, 0.7, 1);
    let report = Simulation::new(scenario, |_| {
        let policy = LeastOutstanding::new(Slots::new(SLOTS));
        (policy, RetryBudget::new(Percent::new(10)))
    })
    .run();

    // The black hole gets more than an equal share, so the simulation shows the problem that the
    // target table has to avoid.
    assert!(report.share_of_first() > 1.0 / simulation::TARGETS as f64);
}

#[test]
fn a_hanging_or_slow_target_fails_few_requests() {
    for fault in [Fault::Hang, Fault::Slow] {
        for seed in 1..=3 {
            let report = run(scenario(fault, 0.7, seed));

            let failed = failed_part(&report);
            assert!(failed <= MAX_FAILED_PART, "{fault:?}: {failed}");
        }
    }
}

#[test]
fn overload_keeps_goodput_high_and_shares_it_evenly_between_daemons() {
    let capacity =
        simulation::TARGETS as f64 * f64::from(SLOTS) * 1_000.0 / simulation::SERVICE_MS as f64;
    for seed in 1..=3 {
        let report = run(scenario(Fault::None, 2.0, seed));

        let goodput = report.goodput() / capacity;
        let least = report.least_served();
        assert!(goodput >= MIN_OVERLOAD_GOODPUT, "seed {seed}: {goodput}");
        assert!(least >= MIN_WORST_SERVED_PART, "seed {seed}: {least}");
        assert!(report.most_running <= SLOTS);
    }
}

/// Daemons of the evacuated zone and of the others must get slots alike, or the callers of one zone
/// would be refused while the others are served.
#[test]
fn an_evacuated_zone_gets_no_sends_and_the_other_slots_are_shared_evenly() {
    // The remaining two thirds of the targets carry the load of 0.6, but not the others.
    for (load, is_served) in [(0.6, true), (0.9, false), (2.0, false)] {
        for seed in 1..=3 {
            let report = run(scenario(Fault::Evacuation, load, seed));

            let least = report.least_served();
            assert_eq!(report.sends_to_evacuated, 0, "load {load}, seed {seed}");
            assert!(report.sends_to_restored > 0, "load {load}, seed {seed}");
            assert!(report.most_running <= SLOTS);
            assert!(least >= MIN_WORST_SERVED_PART, "{load}, {seed}: {least}");
            let unserved = 1.0 - report.good as f64 / report.requests as f64;
            assert!(!is_served || unserved <= MAX_UNSERVED_PART, "seed {seed}");
        }
    }
}
