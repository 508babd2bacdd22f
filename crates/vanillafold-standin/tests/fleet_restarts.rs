//! Runners that start again under their ids, with fleet daemons as processes.

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{accepted, job, play};
use monoio::time::sleep;
use vanillafold_standin::fleet::{CALLER_TIMEOUT, EventKind, JobShape, World};

/// Limit of each wait: so long that only a defect exceeds it.
const LIMIT: Duration = Duration::from_secs(30);
/// Lease that the daemons grant, in milliseconds. A new owner waits for leases of this length to end.
const LEASE_MS: u64 = 4_500;
/// Percentage by which a runner's clock may run slow.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Uptime of a runner, in milliseconds, after which a deadline on its clock lies beyond a whole lease
/// on the clock of its next incarnation.
const UPTIME_MS: u64 = 3_000;
/// Number of restarts. A registration that is read just after one hides it.
const ROUNDS: u64 = 4;

const SHAPE: JobShape = JobShape {
    tasks: 6,
    cpu_millis: 500,
    work_ms: 100,
};

/// Submits a job at a daemon and waits until its tasks have ended.
async fn run_job(world: &World, daemon: usize, number: u64) {
    let outcome = world
        .caller()
        .submit(daemon, job(number), SHAPE, CALLER_TIMEOUT)
        .await;
    assert!(accepted(&outcome), "{outcome:?}");
    let ends = || {
        let events = world.journal().events();
        let is_end = |kind: &EventKind| matches!(kind, EventKind::Ended { task, .. } if task.job == job(number));
        events.iter().filter(|event| is_end(&event.kind)).count()
    };
    let ended = world.wait_until(LIMIT, async || ends() >= SHAPE.tasks as usize);
    assert!(ended.await, "the job has not ended");
}

/// The connection to an idle runner closed with its restart, unnoticed. The next start was sent on a new
/// one, with a deadline on the clock of the earlier incarnation, and the new one held its lease for as
/// long as the platform allows. A later owner did not wait that long and started the task again.
#[test]
fn a_runner_that_starts_again_holds_no_lease_for_its_earlier_incarnation() {
    play("restarts-lease", async |world, owner| {
        for round in 0..ROUNDS {
            sleep(Duration::from_millis(UPTIME_MS)).await;
            run_job(world, owner, 2 * round).await;
            for runner in world.runners() {
                runner.crash();
                runner.start_again();
            }
            run_job(world, owner, 2 * round + 1).await;
        }

        let longest_ms = LEASE_MS + LEASE_MS * CLOCK_DRIFT_PERCENT / 100;
        let events = world.journal().events();
        let is_too_long = |kind: &EventKind| matches!(kind, EventKind::Started { lease_ms, .. } if *lease_ms > longest_ms);
        let too_long: Vec<String> = events
            .iter()
            .filter(|event| is_too_long(&event.kind))
            .map(ToString::to_string)
            .collect();
        assert_eq!(too_long, Vec::<String>::new());
    });
}
