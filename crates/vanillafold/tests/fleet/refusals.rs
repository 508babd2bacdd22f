//! Refusals of submissions: a refused job never runs, whatever becomes of earlier deliveries.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold::fleet::{FleetAnswer, FleetRequest};

use crate::fixture::{
    TestDaemon, run, start, start_behind, submission, submit_until_accepted, wait_until,
};
use crate::platform::StoreState;
use crate::relay::Relay;

/// An owner, and a daemon that reaches it through a relay.
struct Pair {
    state: Rc<RefCell<StoreState>>,
    owner: TestDaemon,
    relay: Relay,
    distant: TestDaemon,
}

async fn start_pair() -> Pair {
    let state = Rc::new(RefCell::new(StoreState::default()));
    let owner = start(&state, "owner", 500);
    wait_until("the owner is ready", || owner.fleet_daemon.is_ready()).await;
    let relay = Relay::start(owner.peer_address);
    let distant = start_behind(&state, "distant", &relay);
    wait_until("the other daemon is ready", || {
        distant.fleet_daemon.is_ready()
    })
    .await;
    submit_until_accepted(&distant, 1).await;
    Pair {
        state,
        owner,
        relay,
        distant,
    }
}

impl Pair {
    /// Submits a job through the distant daemon while its connection to the owner is held.
    async fn submit_held(&self, number: u64, limit_ms: u64) -> FleetAnswer {
        self.relay.hold_connections();
        let daemon = &self.distant.fleet_daemon;
        daemon.forward(&submission(number), limit_ms).await
    }

    /// Lets the store accept records again and delivers what was held, then waits until the owner
    /// has handled it.
    async fn recover_and_release(&self) {
        self.state.borrow_mut().refuses_records = false;
        submit_until_accepted(&self.owner, 100).await;
        assert!(self.relay.holds_data());
        self.relay.release();
        wait_until("the held delivery arrives", || self.relay.has_delivered()).await;
        submit_until_accepted(&self.owner, 101).await;
    }
}

impl Pair {
    /// Lets the distant daemon reach the owner no more, and waits until it looks for another one.
    async fn cut_off_distant(&self) {
        self.relay.hold_connections();
        self.relay.refuse_connections();
        wait_until("it is cut off", || self.distant.fleet_daemon.is_cut_off()).await;
    }

    /// Submits a job at the owner in the background.
    fn submit_at_owner(&self, number: u64) {
        let daemon = Rc::clone(&self.owner.fleet_daemon);
        monoio::spawn(async move { daemon.forward(&submission(number), 500).await });
    }
}

/// Returns a request that cancels the job of [`submission`].
fn cancellation(number: u64) -> FleetRequest {
    let id = format!("{number:016x}").parse();
    FleetRequest::Cancel(id.expect("a job id"))
}

fn is_refused(answer: &FleetAnswer) -> bool {
    matches!(answer, FleetAnswer::Refused { .. })
}

#[test]
fn a_delivery_that_arrives_after_its_repetition_was_refused_has_no_effect() {
    run(async {
        let pair = start_pair().await;
        pair.state.borrow_mut().refuses_records = true;

        let answer = pair.submit_held(2, 5_000).await;
        pair.recover_and_release().await;

        assert!(is_refused(&answer), "{answer:?}");
        assert!(!pair.state.borrow().has_job(2));
    });
}

#[test]
fn a_delivery_that_arrives_after_a_later_submission_was_refused_has_no_effect() {
    run(async {
        let pair = start_pair().await;

        let first = pair.submit_held(2, 500).await;
        pair.state.borrow_mut().refuses_records = true;
        let second = pair.owner.fleet_daemon.forward(&submission(2), 2_000).await;
        pair.recover_and_release().await;

        assert_eq!(first.kind(), "undecided");
        assert!(is_refused(&second), "{second:?}");
        assert!(!pair.state.borrow().has_job(2));
    });
}

#[test]
fn a_delivery_has_no_effect_at_the_next_owner_after_the_owner_before_has_refused_its_job() {
    run(async {
        // Arrange: a daemon keeps trying to deliver a submission that the owner does not receive.
        let pair = start_pair().await;
        let first = Rc::new(RefCell::new(None));
        let answer = Rc::clone(&first);
        let daemon = Rc::clone(&pair.distant.fleet_daemon);
        pair.relay.hold_connections();
        pair.relay.refuse_connections();
        monoio::spawn(async move {
            let result = daemon.forward(&submission(2), 20_000).await;
            *answer.borrow_mut() = Some(result);
        });
        wait_until("the submission is sent", || pair.relay.holds_data()).await;

        // Act: the owner refuses the job to a later submission, and hands the shard over.
        pair.state.borrow_mut().refuses_records = true;
        let second = pair.owner.fleet_daemon.forward(&submission(2), 2_000).await;
        pair.state.borrow_mut().refuses_records = false;
        pair.owner.fleet_daemon.stop().await;
        wait_until("the first submission is answered", || {
            first.borrow().is_some()
        })
        .await;

        assert!(is_refused(&second), "{second:?}");
        assert!(!pair.state.borrow().has_job(2));
    });
}

#[test]
fn a_daemon_that_reaches_no_owner_does_not_refuse_a_job_that_is_accepted() {
    run(async {
        let pair = start_pair().await;

        submit_until_accepted(&pair.owner, 2).await;
        pair.relay.hold_connections();
        pair.relay.refuse_connections();
        let unreached = pair
            .distant
            .fleet_daemon
            .forward(&submission(2), 5_000)
            .await;
        wait_until("it is cut off", || pair.distant.fleet_daemon.is_cut_off()).await;
        let cut_off = pair
            .distant
            .fleet_daemon
            .forward(&submission(2), 5_000)
            .await;

        assert!(!is_refused(&unreached), "{unreached:?}");
        assert!(!is_refused(&cut_off), "{cut_off:?}");
    });
}

#[test]
fn an_owner_that_the_store_has_replaced_does_not_refuse_a_job_that_its_successor_accepted() {
    run(async {
        // Arrange: two daemons lose the store, and a third takes the shard over.
        let pair = start_pair().await;
        let successor = start(&pair.state, "successor", 500);
        wait_until("the successor is ready", || {
            successor.fleet_daemon.is_ready()
        })
        .await;
        pair.owner.store_unreachable.set(true);
        pair.distant.store_unreachable.set(true);

        wait_until("the successor owns the shard", || {
            pair.state.borrow().owner() == Some("successor")
        })
        .await;
        submit_until_accepted(&successor, 2).await;
        let replaced = pair.owner.fleet_daemon.forward(&submission(2), 500).await;
        let distant = pair.distant.fleet_daemon.forward(&submission(2), 500).await;

        assert!(!is_refused(&replaced), "{replaced:?}");
        assert!(!is_refused(&distant), "{distant:?}");
    });
}

/// While the store is down, memberships may expire before their time to live. The other daemon can't
/// reach the owner and takes over as soon as the store answers it; the owner is still turned away.
#[test]
fn an_owner_whose_membership_expired_early_does_not_refuse_a_job_that_its_successor_accepted() {
    run(async {
        let pair = start_pair().await;
        pair.cut_off_distant().await;
        pair.owner.store_unreachable.set(true);
        pair.state.borrow_mut().forget_members();
        pair.submit_at_owner(3);

        submit_until_accepted(&pair.distant, 2).await;
        let replaced = pair.owner.fleet_daemon.forward(&submission(2), 500).await;

        assert!(!is_refused(&replaced), "{replaced:?}");
    });
}

/// The owner loses the store for longer than the time to live of its membership and joins again
/// before it counts as isolated. Meanwhile another daemon owned the shard.
#[test]
fn an_owner_that_joins_again_after_another_ownership_does_not_refuse_a_job_accepted_in_it() {
    run(async {
        let pair = start_pair().await;
        pair.cut_off_distant().await;
        pair.owner.store_unreachable.set(true);
        wait_until("the other daemon owns the shard", || {
            pair.state.borrow().owner() == Some("distant")
        })
        .await;
        submit_until_accepted(&pair.distant, 2).await;

        pair.state.borrow_mut().refuses_records = true;
        pair.owner.store_unreachable.set(false);
        wait_until("the first owner has joined again", || {
            pair.state.borrow().owner() == Some("owner")
        })
        .await;
        let returned = pair.owner.fleet_daemon.forward(&submission(2), 500).await;

        assert!(!is_refused(&returned), "{returned:?}");
    });
}

/// The job is submitted and cancelled at an owner that has been replaced, and dropped there when its
/// write of another job fails. The successor has accepted it.
#[test]
fn a_replaced_owner_does_not_answer_that_a_cancelled_job_does_not_exist() {
    run(async {
        // Arrange: the owner, which has lost the store, writes a job.
        let pair = start_pair().await;
        pair.cut_off_distant().await;
        pair.owner.store_unreachable.set(true);
        wait_until("the other daemon owns the shard", || {
            pair.state.borrow().owner() == Some("distant")
        })
        .await;
        submit_until_accepted(&pair.distant, 2).await;
        pair.submit_at_owner(3);
        sleep(Duration::from_millis(20)).await;

        // Act
        pair.submit_at_owner(2);
        sleep(Duration::from_millis(10)).await;
        let answer = pair.owner.fleet_daemon.forward(&cancellation(2), 500).await;

        assert_ne!(answer, FleetAnswer::NoJob);
    });
}

#[test]
fn a_request_at_the_owner_is_answered_when_its_time_is_up_while_the_store_hangs() {
    run(async {
        let pair = start_pair().await;
        pair.state.borrow_mut().hangs = true;

        let request = submission(2);
        let answered = pair.owner.fleet_daemon.forward(&request, 500);
        let answer = timeout(Duration::from_secs(10), answered).await;

        assert_eq!(answer.ok().map(|answer| answer.kind()), Some("undecided"));
    });
}
