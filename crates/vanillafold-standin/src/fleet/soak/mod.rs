//! A randomized soak: series of overlapping faults that depend on a seed, an operator who evacuates
//! zones and clients that submit jobs meanwhile, and a judge of what clients and runners have seen.

mod clients;
mod evacuation;
mod history;
mod inject;
mod judge;
mod plan;
mod report;

use std::fs;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use vanillafold_jobs::JobId;

use self::clients::Clients;
use self::history::History;
use self::inject::Injector;
use super::journal::EventKind;
use super::world::{World, WorldOptions, world_directory};
use crate::process::{Random, run};
use crate::rig::{Interrupt, RigError};

pub use judge::{Violation, ViolationKind, judge};
pub use report::SoakReport;

/// Time after all faults within which accepted jobs must complete.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(45);
/// The shortest time for which the world is watched after all faults: late orders and answers of
/// the store have arrived by then.
const MIN_WATCH: Duration = Duration::from_secs(7);
/// Time in which all submissions must be over once no further tries begin.
const CLIENTS_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two rounds of questions for the states of the remaining jobs.
const STATE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two checks for an interrupt.
const INTERRUPT_INTERVAL: Duration = Duration::from_millis(100);
/// The file with all that was seen.
const JOURNAL_FILE: &str = "journal.txt";

/// What to play.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The deployment. The logs are written to a directory of the seed's own in the one named here.
    pub world: WorldOptions,
    /// Chooses faults and load.
    pub seed: u64,
    /// How long faults and load last.
    pub duration: Duration,
    /// Whether crashed runners come back under their earlier ids.
    pub keeps_runner_ids: bool,
    /// Whether the operator evacuates zones meanwhile.
    pub evacuates: bool,
}

/// Plays one seed and judges it. The logs and the journal stay if there is a violation.
///
/// # Errors
///
/// [`RigError`] if something can't be started, or a daemon does not become ready before the faults.
pub fn run_soak(options: &SoakOptions) -> Result<SoakReport, RigError> {
    let mut options = options.clone();
    let directory = world_directory(&options.world.directory, &format!("seed-{}", options.seed));
    options.world.directory = directory.map_err(RigError::io("creating a directory"))?;
    let interrupt = Interrupt::install()?;
    let played = run(async {
        let started = monoio::select! {
            world = World::start(&options.world) => world,
            () = wait_for(&interrupt) => Err(RigError::Interrupted),
        };
        let world = match started {
            Ok(world) => Rc::new(world),
            Err(error) => return Ok(Err(error)),
        };
        let played = monoio::select! {
            report = play(&options, &world) => report,
            () = wait_for(&interrupt) => Err(RigError::Interrupted),
        };
        // Tasks that still hold the world keep it from being dropped.
        world.kill_daemons();
        Ok(played)
    });
    let report = played.map_err(RigError::io("starting the runtime"))??;
    if report.violations.is_empty() {
        let removed = fs::remove_dir_all(&options.world.directory);
        removed.map_err(RigError::io("removing the logs"))?;
    }
    Ok(report)
}

async fn wait_for(interrupt: &Interrupt) {
    while !interrupt.was_received() {
        sleep(INTERRUPT_INTERVAL).await;
    }
}

async fn play(options: &SoakOptions, world: &Rc<World>) -> Result<SoakReport, RigError> {
    let mut random = Random::new(options.seed);
    let total_ms = u64::try_from(options.duration.as_millis()).unwrap_or(u64::MAX);
    let (daemons, runners) = (options.world.daemons, options.world.runners);
    let mut faults = plan::plan(&mut random, total_ms, daemons, runners);
    let evacuations = match options.evacuates {
        true => evacuation::plan(options.seed, total_ms, &mut faults),
        false => Vec::new(),
    };

    let clients = Clients::new(world, random);
    let injector = Rc::new(Injector::new(world, &clients, options.keeps_runner_ids));
    let submitting = Rc::clone(&clients);
    monoio::spawn(async move { submitting.submit_all().await });
    let watching = Rc::clone(&injector);
    let watch = monoio::spawn(async move { watching.watch().await });
    let playing: Vec<_> = faults
        .iter()
        .map(|fault| {
            let (injector, fault) = (Rc::clone(&injector), *fault);
            monoio::spawn(async move { injector.play(fault).await })
        })
        .collect();
    let evacuations: Vec<_> = evacuations
        .into_iter()
        .map(|planned| monoio::spawn(evacuation::play(Rc::clone(world), planned)))
        .collect();
    for fault in playing {
        fault.await?;
    }
    sleep(Duration::from_millis(500)).await;
    world.end_faults()?;
    for evacuation in evacuations {
        evacuation.await;
    }
    clients.stop();
    settle(world, &clients).await;
    drop(watch);

    for (daemon, process) in world.daemons().iter().enumerate() {
        if process.has_panicked() {
            let reason = "has panicked".to_owned();
            world
                .journal()
                .add(EventKind::DaemonFailed { daemon, reason });
        }
    }
    let events = world.journal().events();
    let violations = judge(&events);
    if !violations.is_empty() {
        let path = options.world.directory.join(JOURNAL_FILE);
        write_journal(&path, world, &violations).map_err(RigError::io("writing the journal"))?;
    }
    let mut report = SoakReport::new(options, violations, &events);
    report.count_faults(&faults, injector.overdue_exits());
    Ok(report)
}

/// Waits until the accepted jobs have completed, which clients ask for.
async fn settle(world: &World, clients: &Clients) {
    let began = Instant::now();
    let idle = world.wait_until(CLIENTS_TIMEOUT, async || clients.is_idle());
    if !idle.await {
        world.journal().fault("some submissions are not over");
    }
    let mut remaining = accepted_jobs(world);
    while !remaining.is_empty() && began.elapsed() < COMPLETION_TIMEOUT {
        let mut incomplete = Vec::new();
        for job in remaining {
            if !clients.is_completed(job).await {
                incomplete.push(job);
            }
        }
        remaining = incomplete;
        sleep(STATE_INTERVAL).await;
    }
    sleep(MIN_WATCH.saturating_sub(began.elapsed())).await;
}

/// Returns the jobs that were accepted and that nobody has cancelled.
fn accepted_jobs(world: &World) -> Vec<JobId> {
    let events = world.journal().events();
    let history = History::new(&events);
    let jobs = history.jobs.iter().filter(|job| job.must_complete());
    jobs.map(|job| job.id).collect()
}

fn write_journal(path: &Path, world: &World, violations: &[Violation]) -> std::io::Result<()> {
    let lines = violations.iter().map(ToString::to_string);
    let events = world.journal().events();
    let events = events.iter().map(ToString::to_string);
    let text: Vec<String> = lines
        .chain(std::iter::once(String::new()))
        .chain(events)
        .collect();
    fs::write(path, text.join("\n") + "\n")
}
