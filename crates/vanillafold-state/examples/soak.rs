//! Runs the escrow's simulation over many seeds: `soak [--seeds N] [--first N] [--seconds N]`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::process::ExitCode;

use sim::report::Report;
use sim::{FaultRates, Planted, World, WorldSetup, sim_settings};
use vanillafold_state::EscrowSettings;
use vanillafold_types::Percent;

const PROBE_MS: u64 = 1_000;
const LIMITS: [[u32; 3]; 3] = [[2, 7, 40], [1, 3, 200], [4, 13, 64]];
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
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        let field = match word.as_str() {
            "--seeds" => &mut found.seeds,
            "--first" => &mut found.first,
            "--seconds" => &mut found.span_s,
            _ => {
                return Err(format!(
                    "expected --seeds, --first or --seconds, found {word}"
                ));
            }
        };
        *field = words
            .next()
            .and_then(|number| number.parse().ok())
            .ok_or_else(|| format!("expected a number after {word}"))?;
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
        planted: Planted::Nothing,
        settings: EscrowSettings {
            floor: Percent::new(FLOORS[usize::try_from(seed / 72 % 4).unwrap_or(0)]),
            ..sim_settings()
        },
    }
}

/// One run; the words are what went wrong.
fn run(seed: u64, span_s: u64) -> (Report, Vec<String>) {
    let mut world = World::new(setup(seed));
    world.run(span_s * 1_000);
    let mut wrong = Vec::new();
    if world.report.excess.is_none() {
        world.settle();
        for team in 0..3 {
            let daemon = usize::try_from(seed).unwrap_or(0) % world.setup.daemons;
            let missing = world.probe(daemon, team, PROBE_MS);
            if missing > 0 {
                wrong.push(format!("{missing} units of team-{team} did not come back"));
            }
        }
    }
    if let Some(excess) = &world.report.excess {
        wrong.push(excess.to_string());
    }
    (world.report, wrong)
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::FAILURE;
        }
    };
    let (mut total, mut failed) = (Report::default(), 0);
    for seed in arguments.first..arguments.first + arguments.seeds {
        let (report, wrong) = run(seed, arguments.span_s);
        total.add(&report);
        failed += u64::from(!wrong.is_empty());
        for word in wrong {
            println!("seed {seed}: {word}");
        }
    }
    println!("seeds {} failed {failed} {total}", arguments.seeds);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
