//! A job whose submission was refused with 429 or 503 must not run: single sequences of faults that
//! could break this, played with fleet daemons as processes.

mod fleet_fixture;

use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use fleet_fixture::{accepted, job, play};
use monoio::time::sleep;
use vanillafold_jobs::JobId;
use vanillafold_standin::fleet::{
    CALLER_TIMEOUT, Gate, Gates, JobShape, Outcome, Reachability, StoreCall, StoreEffect,
    StoreFault, World,
};
use vanillafold_standin::rig::Signal;

/// Limit of each wait: so long that only a defect exceeds it.
const LIMIT: Duration = Duration::from_secs(30);
/// How long a job that must not run is watched after its last chance to be accepted.
const WATCH: Duration = Duration::from_secs(4);
/// How long a caller that gives up early waits.
const SHORT_PATIENCE: Duration = Duration::from_millis(300);

/// Most files that a daemon may have open, unless a test lowers the limit.
const FILE_LIMIT: u64 = 1_024;

/// Pause between two submissions of other jobs.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

const SHAPE: JobShape = JobShape {
    tasks: 1,
    cpu_millis: 500,
    work_ms: 100,
};

/// The store answers appends with 503 and does nothing.
const APPENDS_REFUSED: StoreFault = StoreFault {
    daemon: None,
    call: Some(StoreCall::Append),
    effect: StoreEffect::Refuse(503),
};

fn refused(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(429 | 503, _))
}

/// Returns the daemons other than the owner.
fn others(world: &World, owner: usize) -> Vec<usize> {
    let daemons = 0..world.daemons().len();
    daemons.filter(|index| *index != owner).collect()
}

/// Waits until the owner accepts jobs, with other jobs that are submitted at `daemon`.
async fn wait_for_acceptance(world: &World, daemon: usize) {
    let caller = world.caller();
    let mut number = 0x1000;
    let accepting = world.wait_until(LIMIT, async || {
        number += 1;
        sleep(RETRY_PAUSE).await;
        accepted(
            &caller
                .submit(daemon, job(number), SHAPE, CALLER_TIMEOUT)
                .await,
        )
    });
    assert!(accepting.await, "no job is accepted");
}

/// Waits until the store has a record of the job.
async fn wait_until_stored(world: &World, job: JobId) -> bool {
    let name = job.to_string();
    let is_stored = async || world.store().has_record("keyed.jobs", &name);
    world.wait_until(LIMIT, is_stored).await
}

/// Waits until a daemon reaches no owner any more.
async fn wait_until_not_ready(world: &World, daemon: usize) {
    let daemon = &world.daemons()[daemon];
    let not_ready = world.wait_until(LIMIT, async || !daemon.is_ready().await);
    assert!(not_ready.await, "the daemon stays ready");
}

fn signal(world: &World, daemon: usize, signal: Signal) {
    let sent = world.daemons()[daemon].signal(signal);
    sent.expect("a signal");
}

/// Fails if `outcome` is an acceptance, which the sequence does not allow, or if it is a refusal and
/// a task of the job starts by the end of [`WATCH`].
async fn assert_refusal_holds(world: &World, job: JobId, outcome: &Outcome) {
    assert!(!accepted(outcome), "{outcome:?}");
    sleep(WATCH).await;
    let ran = world.journal().has_started(job);
    assert!(
        !(ran && refused(outcome)),
        "{job} was answered with {outcome:?}, and its task has started"
    );
}

#[test]
fn accepted_jobs_run() {
    play("accepted_jobs_run", async |world, owner| {
        let caller = world.caller();

        let outcome = caller
            .submit(others(world, owner)[0], job(1), SHAPE, CALLER_TIMEOUT)
            .await;

        assert!(accepted(&outcome), "{outcome:?}");
        let started = world.wait_until(LIMIT, async || world.journal().has_started(job(1)));
        assert!(started.await, "the job does not run");
    });
}

/// A daemon's first delivery is held back, it gets no answer and delivers the job again.
#[test]
fn a_delivery_that_arrives_after_the_refusal_of_the_next_is_not_accepted() {
    play("late_first_delivery", async |world, owner| {
        let daemon = others(world, owner)[0];
        let relay = world.peer_relay(daemon, owner).expect("a relay");
        let caller = world.caller();
        world.store().add_fault(APPENDS_REFUSED);
        world.journal().fault("connections to the owner are cut");
        relay.set_open_connections(Gates::both(Gate::Held));

        let outcome = caller.submit(daemon, job(1), SHAPE, CALLER_TIMEOUT).await;

        world.store().remove_fault(APPENDS_REFUSED);
        wait_for_acceptance(world, owner).await;
        world.journal().fault("what was held arrives");
        relay.set_open_connections(Gates::default());
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}

/// The caller's first try breaks off while its delivery is held back; the second one is refused.
#[test]
fn a_delivery_of_an_abandoned_try_is_not_accepted_after_a_refusal() {
    play("abandoned_try", async |world, owner| {
        let [first, second] = others(world, owner)[..2] else {
            panic!("too few daemons");
        };
        let relay = world.peer_relay(first, owner).expect("a relay");
        let caller = world.caller();
        world.journal().fault("connections to the owner are cut");
        relay.set_all(Gates::both(Gate::Held));

        let abandoned = caller.submit(first, job(1), SHAPE, SHORT_PATIENCE).await;
        world.store().add_fault(APPENDS_REFUSED);
        let outcome = caller.submit(second, job(1), SHAPE, CALLER_TIMEOUT).await;

        assert_eq!(abandoned, Outcome::Unanswered);
        world.store().remove_fault(APPENDS_REFUSED);
        wait_for_acceptance(world, owner).await;
        world.journal().fault("what was held arrives");
        relay.set_all(Gates::default());
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}

/// The owner stores the job and is killed before it answers the caller. The next try finds no owner.
#[test]
fn a_job_that_a_lost_owner_stored_is_not_refused() {
    play("lost_owner", async |world, owner| {
        let second = others(world, owner)[0];
        let caller = world.caller();
        world.store().add_fault(StoreFault {
            daemon: Some(owner),
            call: Some(StoreCall::Append),
            effect: StoreEffect::AnswerLate(10_000),
        });
        let no_joins = StoreFault {
            daemon: None,
            call: Some(StoreCall::Membership),
            effect: StoreEffect::Refuse(503),
        };

        let first = caller.submit(owner, job(1), SHAPE, CALLER_TIMEOUT);
        let killed = async {
            let is_stored = wait_until_stored(world, job(1)).await;
            world.store().add_fault(no_joins);
            world.journal().fault("the owner is killed");
            world.kill_daemon(owner);
            is_stored
        };
        let (first, is_stored) = monoio::join!(first, killed);
        wait_until_not_ready(world, second).await;
        let outcome = caller.submit(second, job(1), SHAPE, CALLER_TIMEOUT).await;

        assert!(is_stored, "the owner does not store the job");
        assert_eq!(first, Outcome::Unanswered);
        world.journal().fault("there may be an owner again");
        world.store().remove_fault(no_joins);
        wait_for_acceptance(world, second).await;
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}

/// The owner is suspended with the first try, and a daemon that is cut off from it refuses the
/// second one.
#[test]
fn a_try_under_way_is_not_accepted_after_a_daemon_that_is_cut_off_refused_the_next() {
    play("cut_off_daemon", async |world, owner| {
        let [first, second] = others(world, owner)[..2] else {
            panic!("too few daemons");
        };
        let relay = world.peer_relay(second, owner).expect("a relay");
        let caller = world.caller();
        world.journal().fault("a daemon is cut off from the owner");
        relay.set_open_connections(Gates::both(Gate::Held));
        relay.set_reachability(Reachability::Silent);
        wait_until_not_ready(world, second).await;
        world.journal().fault("the owner is suspended");
        signal(world, owner, Signal::Stop);

        let abandoned = caller.submit(first, job(1), SHAPE, SHORT_PATIENCE).await;
        let outcome = caller.submit(second, job(1), SHAPE, CALLER_TIMEOUT).await;
        world.journal().fault("the owner is resumed");
        signal(world, owner, Signal::Continue);

        assert_eq!(abandoned, Outcome::Unanswered);
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}

/// The store turns the owner away while it serves the others, of which one takes over. A daemon
/// that the store turns away as well still sends requests to the earlier owner.
#[test]
fn a_job_that_the_next_owner_stored_is_not_refused_by_the_earlier_one() {
    play("earlier_owner", async |world, owner| {
        let [first, second] = others(world, owner)[..2] else {
            panic!("too few daemons");
        };
        let caller = world.caller();
        let turned_away = [owner, second].map(|daemon| StoreFault {
            daemon: Some(daemon),
            call: None,
            effect: StoreEffect::Refuse(503),
        });
        world.journal().fault("the store turns two daemons away");
        for fault in turned_away {
            world.store().add_fault(fault);
        }
        let other_owner = async || world.owner().is_some_and(|new| new != owner);
        let is_taken_over = world.wait_until(LIMIT, other_owner).await;
        let appends_unanswered = StoreFault {
            daemon: None,
            call: Some(StoreCall::Append),
            effect: StoreEffect::AnswerLate(2_000),
        };
        wait_for_acceptance(world, first).await;
        // The faults of the two daemons must stay the latest ones.
        world.store().add_fault(appends_unanswered);
        for fault in turned_away {
            world.store().remove_fault(fault);
            world.store().add_fault(fault);
        }

        let abandoned = caller.submit(first, job(1), SHAPE, SHORT_PATIENCE).await;
        let is_stored = wait_until_stored(world, job(1)).await;
        let outcome = caller.submit(second, job(1), SHAPE, CALLER_TIMEOUT).await;

        assert!(is_taken_over, "no other daemon takes over");
        assert_eq!(abandoned, Outcome::Unanswered);
        assert!(is_stored, "the next owner does not store the job");
        world.store().remove_fault(appends_unanswered);
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}

/// The daemon that takes the request is suspended until the caller's next try has been refused.
#[test]
fn a_request_that_a_suspended_daemon_reads_late_is_not_accepted_after_a_refusal() {
    play("suspended_daemon", async |world, owner| {
        let [first, second] = others(world, owner)[..2] else {
            panic!("too few daemons");
        };
        let caller = world.caller();
        world.journal().fault("the daemon is suspended");
        signal(world, first, Signal::Stop);

        let abandoned = caller.submit(first, job(1), SHAPE, SHORT_PATIENCE).await;
        world.store().add_fault(APPENDS_REFUSED);
        let outcome = caller.submit(second, job(1), SHAPE, CALLER_TIMEOUT).await;

        assert_eq!(abandoned, Outcome::Unanswered);
        world.store().remove_fault(APPENDS_REFUSED);
        wait_for_acceptance(world, owner).await;
        world.journal().fault("the daemon is resumed");
        signal(world, first, Signal::Continue);
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}

/// Returns a caller's submission of a job as it is sent to a daemon.
fn request_text(job: JobId) -> String {
    let body = r#"{"spec":"ms=100","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}"#;
    let length = body.len();
    format!(
        "POST /batch/{job} HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token k5n2w8\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// The first try waits behind another request on its connection until the caller's next try has
/// been refused.
#[test]
fn a_request_that_waits_behind_another_one_is_not_accepted_after_a_refusal() {
    play("pipelined_request", async |world, owner| {
        let [first, second] = others(world, owner)[..2] else {
            panic!("too few daemons");
        };
        let relay = world.peer_relay(first, owner).expect("a relay");
        let caller = world.caller();
        world.journal().fault("connections to the owner are cut");
        relay.set_all(Gates::both(Gate::Held));
        let address = world.daemons()[first].caller_address();
        let mut connection = TcpStream::connect(address).expect("a connection");
        let requests = request_text(job(2)) + &request_text(job(1));
        let sent = connection.write_all(requests.as_bytes());
        sent.expect("two requests are sent");
        sleep(SHORT_PATIENCE).await;
        drop(connection);

        world.store().add_fault(APPENDS_REFUSED);
        let outcome = caller.submit(second, job(1), SHAPE, CALLER_TIMEOUT).await;

        world.store().remove_fault(APPENDS_REFUSED);
        wait_for_acceptance(world, owner).await;
        world.journal().fault("what was held arrives");
        relay.set_all(Gates::default());
        assert!(refused(&outcome), "{outcome:?}");
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}

/// The daemon that takes the first try has no file left for its connection until the caller's next
/// try has been refused.
#[test]
fn a_request_whose_connection_is_accepted_late_is_not_accepted_after_a_refusal() {
    play("no_files_left", async |world, owner| {
        let [first, second] = others(world, owner)[..2] else {
            panic!("too few daemons");
        };
        let caller = world.caller();
        let daemon = &world.daemons()[first];
        world.journal().fault("a daemon has no files left");
        daemon.limit_files(3).expect("a limit");

        let abandoned = caller.submit(first, job(1), SHAPE, SHORT_PATIENCE).await;
        world.store().add_fault(APPENDS_REFUSED);
        let outcome = caller.submit(second, job(1), SHAPE, CALLER_TIMEOUT).await;

        assert_eq!(abandoned, Outcome::Unanswered);
        assert!(refused(&outcome), "{outcome:?}");
        world.store().remove_fault(APPENDS_REFUSED);
        wait_for_acceptance(world, owner).await;
        world.journal().fault("the daemon may open files again");
        daemon.limit_files(FILE_LIMIT).expect("a limit");
        assert_refusal_holds(world, job(1), &outcome).await;
    });
}
