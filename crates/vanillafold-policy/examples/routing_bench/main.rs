//! Compares routing and retry policies with the baselines in a seeded simulation and prints a
//! table.
//!
//! `cargo run --release -p vanillafold-policy --example routing_bench [SEED]`

mod simulation;

use simulation::{DAEMONS, Fault, Report, SLOTS, Scenario, Simulation, TARGETS, zone};
use vanillafold_policy::baseline::{LeastOutstanding, RoundRobin, RoutingPolicy, UnlimitedRetries};
use vanillafold_policy::{DaemonMember, RetryAllowance, RetryBudget, TargetLimits, TargetTable};
use vanillafold_types::{Connections, Percent, Slots};

const RUN_MS: u64 = 30_000;
const FAULT_AT_MS: u64 = 5_000;
const RETRY_PERCENT: Percent = Percent::new(10);
const DEFAULT_SEED: u64 = 1;

const SCENARIOS: [(&str, Fault, f64); 9] = [
    ("normal, load 0.7", Fault::None, 0.7),
    ("black hole, load 0.7", Fault::BlackHole, 0.7),
    ("one slow target, load 0.7", Fault::Slow, 0.7),
    ("hanging target, load 0.7", Fault::Hang, 0.7),
    (
        "30 % failing requests, load 0.7",
        Fault::FailingRequests(30),
        0.7,
    ),
    ("overload, load 2", Fault::None, 2.0),
    ("stall of a second, load 0.9", Fault::Stall, 0.9),
    (
        "retry storm, half of the requests fail, load 2",
        Fault::FailingRequests(50),
        2.0,
    ),
    (
        "one zone of three evacuated for 6 s, load 0.9",
        Fault::Evacuation,
        0.9,
    ),
];

fn main() {
    let seed = std::env::args()
        .nth(1)
        .map_or(DEFAULT_SEED, |text| text.parse().expect("a whole number"));
    println!(
        "seed {seed}, {DAEMONS} daemons, {TARGETS} targets of {SLOTS} slots, {RUN_MS} ms, fault at {FAULT_AT_MS} ms"
    );
    for (name, fault, load) in SCENARIOS {
        let scenario = Scenario {
            fault,
            fault_at_ms: FAULT_AT_MS,
            load,
            run_ms: RUN_MS,
            seed,
        };
        println!("\n{name}");
        println!(
            "{:<34}{:>9}{:>9}{:>8}{:>8}{:>9}{:>9}{:>8}{:>8}{:>8}",
            "",
            "failed %",
            "not run%",
            "p50 ms",
            "p99 ms",
            "good/s",
            "sends/rq",
            "busy %",
            "first %",
            "least"
        );
        print_rows(scenario);
    }
}

fn print_rows(scenario: Scenario) {
    let slots = Slots::new(SLOTS);
    let budget = || RetryBudget::new(RETRY_PERCENT);
    let zones = scenario.zones();
    print_row("target table, budget", scenario, |index| {
        (table(index, zones), budget())
    });
    print_row("target table, no budget", scenario, |index| {
        (table(index, zones), UnlimitedRetries)
    });
    // The baselines know no zones.
    if scenario.fault == Fault::Evacuation {
        return;
    }
    print_row("least outstanding, budget", scenario, |_| {
        (LeastOutstanding::new(slots), budget())
    });
    print_row("least outstanding, no budget", scenario, |_| {
        (LeastOutstanding::new(slots), UnlimitedRetries)
    });
    print_row("round robin, budget", scenario, |_| {
        (RoundRobin::default(), budget())
    });
    print_row("round robin, no budget", scenario, |_| {
        (RoundRobin::default(), UnlimitedRetries)
    });
}

fn print_row<R: RoutingPolicy, B: RetryAllowance>(
    name: &str,
    scenario: Scenario,
    make: impl Fn(usize) -> (R, B),
) {
    let report: Report = Simulation::new(scenario, make).run();
    let percent = |count: u64| count as f64 * 100.0 / report.requests as f64;
    println!(
        "{name:<34}{:>9.2}{:>9.2}{:>8.0}{:>8.0}{:>9.0}{:>9.2}{:>8.2}{:>8.2}{:>8.2}",
        percent(report.failed),
        percent(report.not_run),
        report.latency_ms(0.5),
        report.latency_ms(0.99),
        report.goodput(),
        report.sends as f64 / report.requests as f64,
        report.busy as f64 * 100.0 / report.sends as f64,
        report.share_of_first() * 100.0,
        report.least_served(),
    );
}

fn table(index: usize, zones: usize) -> TargetTable {
    let daemon = |index: usize| DaemonMember {
        daemon: format!("daemon-{index}").parse().expect("a valid id"),
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
