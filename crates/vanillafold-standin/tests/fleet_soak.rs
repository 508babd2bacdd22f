//! A short soak with fixed seeds. `cargo run -p vanillafold-standin --example fleet_soak` plays
//! others.

#[path = "daemon/fixture/programs.rs"]
#[allow(dead_code)]
mod programs;

use std::path::PathBuf;
use std::time::Duration;

use vanillafold_standin::fleet::{SoakOptions, WorldOptions, run_soak};

/// Plays a seed and fails if a promise is broken; the logs and the journal stay then.
fn soak(seed: u64, evacuates: bool) {
    let options = SoakOptions {
        world: WorldOptions {
            daemons: 4,
            runners: 3,
            runner_cpu_millis: 8_000,
            program: programs::program("vanillafold-fleet"),
            directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        },
        seed,
        duration: Duration::from_secs(12),
        keeps_runner_ids: false,
        evacuates,
    };

    let report = run_soak(&options).expect("a soak");

    println!("{report}");
    let violations = report.violations.iter().map(ToString::to_string);
    let violations: Vec<String> = violations.collect();
    let logs = report.directory.display();
    assert!(
        violations.is_empty(),
        "{}\nlogs: {logs}",
        violations.join("\n")
    );
}

#[test]
fn promises_are_kept_under_seed_2() {
    soak(2, false);
}

#[test]
fn promises_are_kept_under_seed_23() {
    soak(23, false);
}

#[test]
fn promises_are_kept_under_seed_28() {
    soak(28, false);
}

/// Tasks started in zones that the operator had requested to evacuate.
#[test]
fn promises_are_kept_under_seed_8_while_zones_are_evacuated() {
    soak(8, true);
}
