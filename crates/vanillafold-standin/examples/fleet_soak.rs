//! Plays random series of faults on fleet daemons as processes, and judges what clients and runners
//! have seen.
//!
//! Prints a line for each seed. The exit status is 1 if a promise was broken, whose logs and journal
//! are kept, and 2 if there is no verdict.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use vanillafold_standin::fleet::{SoakOptions, WorldOptions, run_soak};
use vanillafold_standin::rig::{RigError, built_programs};

/// The exit status if there is no verdict.
const NO_VERDICT: u8 = 2;

/// How many violations of a seed are printed; the journal begins with all of them.
const PRINTED_VIOLATIONS: usize = 8;

#[derive(Debug)]
struct Arguments {
    seed: u64,
    seeds: u64,
    seconds: u64,
    daemons: usize,
    runners: usize,
    same_ids: bool,
    evacuates: bool,
    directory: PathBuf,
}

fn arguments() -> OptionParser<Arguments> {
    let seed = long("seed")
        .help("The first seed")
        .argument("N")
        .fallback(1);
    let seeds = long("seeds")
        .help("How many seeds to play, one after the other")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("How long faults and load last, for each seed")
        .argument("N")
        .fallback(20);
    let daemons = long("daemons").argument("N").fallback(4);
    let runners = long("runners").argument("N").fallback(3);
    let same_ids = long("same-ids")
        .help("Crashed runners come back under their earlier ids")
        .switch();
    let evacuates = long("without-evacuations")
        .help("The operator evacuates no zones")
        .switch()
        .map(|without| !without);
    let directory = long("directory")
        .help("Where the logs of seeds with violations stay")
        .argument("DIR")
        .fallback("target/fleet-soak".into());
    construct!(Arguments {
        seed,
        seeds,
        seconds,
        daemons,
        runners,
        same_ids,
        evacuates,
        directory,
    })
    .to_options()
    .descr("Random faults on fleet daemons")
}

/// Plays one seed; returns whether all promises were kept.
fn play(arguments: &Arguments, seed: u64) -> Result<bool, RigError> {
    let options = SoakOptions {
        world: WorldOptions {
            daemons: arguments.daemons,
            runners: arguments.runners,
            runner_cpu_millis: 8_000,
            program: built_programs().join("vanillafold-fleet"),
            directory: arguments.directory.clone(),
        },
        seed,
        duration: Duration::from_secs(arguments.seconds),
        keeps_runner_ids: arguments.same_ids,
        evacuates: arguments.evacuates,
    };
    let report = run_soak(&options)?;
    println!("{report}");
    for violation in report.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    let kept = report.violations.is_empty();
    if !kept {
        println!("  logs: {}", report.directory.display());
    }
    Ok(kept)
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let mut all_kept = true;
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.seeds) {
        match play(&arguments, seed) {
            Ok(kept) => all_kept &= kept,
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(NO_VERDICT);
            }
        }
    }
    match all_kept {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
