//! Runs the escrow's fault simulation for many seeds and prints each failure:
//! `soak [--seeds N] [--first N] [--seconds N]`, where `--first` is the first seed and `--seconds`
//! the simulated time of each run.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::process::ExitCode;

use sim::report::Report;
use sim::{FaultRates, InjectedBug, World, WorldSetup, sim_settings};
use vanillafold_state::EscrowSettings;
use vanillafold_types::Percent;

/// Time within which a busy daemon must get the units that idle ones hold.
const BORROW_TIMEOUT_MS: u64 = 1_000;
/// Limits of the three teams; each run takes one row.
const LIMITS: [[u32; 3]; 3] = [[2, 7, 40], [1, 3, 200], [4, 13, 64]];
/// Floors in percent; each run takes one.
const FLOORS: [u8; 4] = [50, 0, 25, 100];

#[derive(Debug)]
struct Arguments {
    seeds: u64,
    first: u64,
    span_s: u64,
}

fn arguments() -> Result<Arguments, String> {
    let mut found = Arguments {
        seeds: 1_000,
        first: 1_000,
        span_s: 120,
    };
    let mut raw_arguments = std::env::args().skip(1);
    while let Some(argument) = raw_arguments.next() {
        let field = match argument.as_str() {
            "--seeds" => &mut found.seeds,
            "--first" => &mut found.first,
            "--seconds" => &mut found.span_s,
            _ => {
                return Err(format!(
                    "expected --seeds, --first or --seconds, found {argument}"
                ));
            }
        };
        *field = raw_arguments
            .next()
            .and_then(|number| number.parse().ok())
            .ok_or_else(|| format!("expected a number after {argument}"))?;
    }
    Ok(found)
}

fn setup(seed: u64) -> WorldSetup {
    let rates = match seed % 3 {
        0 => FaultRates {
            limits: 0,
            ..FaultRates::ALL
        },
        1 => FaultRates::ALL,
        _ => FaultRates::ALL.rare(),
    };
    WorldSetup {
        seed,
        daemons: 3 + usize::try_from(seed / 3 % 8).unwrap_or(0),
        limits: LIMITS[usize::try_from(seed / 24 % 3).unwrap_or(0)].to_vec(),
        rates,
        bug: InjectedBug::None,
        settings: EscrowSettings {
            floor: Percent::new(FLOORS[usize::try_from(seed / 72 % 4).unwrap_or(0)]),
            ..sim_settings()
        },
    }
}

/// Runs one seed and returns the report and the failures found.
fn run(seed: u64, span_s: u64) -> (Report, Vec<String>) {
    let mut world = World::new(setup(seed));
    world.run(span_s * 1_000);
    let mut failures = Vec::new();
    if world.report.excess.is_none() {
        world.settle();
        for team in 0..3 {
            let daemon = usize::try_from(seed).unwrap_or(0) % world.setup.daemons;
            let missing = world.probe_missing_units(daemon, team, BORROW_TIMEOUT_MS);
            if missing > 0 {
                failures.push(format!(
                    "{missing} units of team-{team} were not usable again after the faults"
                ));
            }
        }
    }
    if let Some(excess) = &world.report.excess {
        failures.push(excess.to_string());
    }
    (world.report, failures)
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let (mut total, mut failed) = (Report::default(), 0);
    for seed in arguments.first..arguments.first + arguments.seeds {
        let (report, failures) = run(seed, arguments.span_s);
        total.add(&report);
        failed += u64::from(!failures.is_empty());
        for failure in failures {
            println!("seed {seed}: {failure}");
        }
    }
    println!("seeds {} failed {failed} {total}", arguments.seeds);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
