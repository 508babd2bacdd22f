//! Worlds of fleet daemons as processes.
#![allow(dead_code)] // not every test file uses all of it

#[path = "../daemon/fixture/programs.rs"]
mod programs;

use std::path::Path;

use vanillafold_jobs::JobId;
use vanillafold_standin::fleet::{Outcome, World, WorldOptions, world_directory};
use vanillafold_standin::process::run;

/// Starts four daemons and three runners and plays `test` with the index of the owner. The
/// journal and the place of the logs are printed if it fails.
pub(crate) fn play(name: &str, test: impl AsyncFnOnce(&World, usize)) {
    let directory = world_directory(Path::new(env!("CARGO_TARGET_TMPDIR")), name);
    let options = WorldOptions {
        daemons: 4,
        runners: 3,
        runner_cpu_millis: 8_000,
        program: programs::program("vanillafold-fleet"),
        directory: directory.expect("a directory"),
    };
    let played = run(async {
        let world = World::start(&options).await.expect("a world");
        let owner = world.owner().expect("an owner");
        let printing = PrintOnPanic(&world, &options.directory);
        test(&world, owner).await;
        std::mem::forget(printing);
        Ok(())
    });
    played.expect("a runtime");
    std::fs::remove_dir_all(&options.directory).expect("removing the logs");
}

struct PrintOnPanic<'a>(&'a World, &'a Path);

impl Drop for PrintOnPanic<'_> {
    fn drop(&mut self) {
        for event in self.0.journal().events() {
            eprintln!("{event}");
        }
        eprintln!("logs: {}", self.1.display());
    }
}

pub(crate) fn job(number: u64) -> JobId {
    format!("{:016x}", 0xa11c_0000_0000_0000 + number)
        .parse()
        .expect("a job id")
}

pub(crate) fn accepted(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(200, _))
}
