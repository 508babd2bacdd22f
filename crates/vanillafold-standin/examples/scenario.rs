//! Runs a deployment under load, injects every fault once in an order that depends on the seed, and
//! audits the traces.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use vanillafold::policy::SplitMix;
use vanillafold_standin::rig::{
    Cluster, Fault, Interrupt, Layout, LoadGenerators, LoadPlan, RigError, RigOptions,
    demo_catalogue, inject_fault, observe_for, run_audit, shuffled_faults,
};

const POOLS: [&str; 5] = ["quotes", "bookings", "stock", "proofs", "archive"];
const ZONES: u8 = 4;
const DAEMONS_PER_ZONE: u8 = 2;
const VMS_PER_ZONE: usize = 2;
/// Requests per second, over all queues.
const RATE: u32 = 300;
/// The time reserved in the load for each fault and the recovery from it, in seconds.
const SECONDS_PER_FAULT: u32 = 6;
/// How long the cluster is observed before the load starts, and again before the first fault.
const WARM_UP: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Options {
    seed: u64,
    tight: bool,
    only: Vec<String>,
    rig: RigOptions,
}

fn options() -> bpaf::OptionParser<Options> {
    let seed = long("seed")
        .help("chooses order, victims and load")
        .argument::<u64>("N")
        .fallback(1);
    let tight = long("tight")
        .help("limits so small that bursts reach them")
        .switch();
    let only = long("only")
        .help("inject just this fault, as Debug prints it; may be repeated")
        .argument::<String>("FAULT")
        .many();
    let rig = RigOptions::parser(20, "run/scenario");
    construct!(Options {
        seed,
        tight,
        only,
        rig
    })
    .to_options()
    .descr("Faults under load, judged by the audit")
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(true) => {
            println!("scenario seed={}: PASS", options.seed);
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("scenario seed={}: FAIL", options.seed);
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("{error}");
            println!("scenario seed={}: FAIL", options.seed);
            ExitCode::FAILURE
        }
    }
}

/// Runs the scenario; returns `true` if the audit passed, and `false` also if it was interrupted.
fn run(options: &Options) -> Result<bool, RigError> {
    let interrupt = Interrupt::install()?;
    let mut rng = SplitMix::new(options.seed);
    let layout = Layout::new(
        options.rig.number,
        ZONES,
        DAEMONS_PER_ZONE,
        &POOLS,
        VMS_PER_ZONE,
    );
    let relayed: Vec<_> = layout
        .runners()
        .take(1)
        .map(|runner| runner.first_vm_address)
        .chain(layout.daemons().take(1).map(|daemon| daemon.peer_address))
        .collect();
    let catalogue = demo_catalogue(options.tight);
    let mut cluster = Cluster::start(
        layout,
        &relayed,
        &catalogue,
        &options.rig.directory,
        &options.rig.programs,
    )?;
    let keys = cluster.give_demo_keys()?;
    let faults: Vec<Fault> = shuffled_faults(&mut rng)
        .into_iter()
        .filter(|fault| options.only.is_empty() || options.only.contains(&format!("{fault:?}")))
        .collect();
    observe_for(&mut cluster, WARM_UP)?;
    let plan = LoadPlan {
        seconds: SECONDS_PER_FAULT * faults.len() as u32,
        rate: RATE,
        seed: options.seed,
    };
    let load_generators = LoadGenerators::start(&cluster, &keys, &plan)?;
    observe_for(&mut cluster, WARM_UP)?;
    for fault in faults {
        if interrupt.was_received() {
            return Ok(false);
        }
        println!("injecting {fault:?}");
        inject_fault(&mut cluster, fault, &mut rng)?;
    }
    for summary in load_generators.finish()? {
        println!("{summary}");
    }
    let (report, clean) = run_audit(&cluster)?;
    print!("{report}");
    Ok(clean)
}
