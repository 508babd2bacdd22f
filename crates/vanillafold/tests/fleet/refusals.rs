//! Refusals of submissions: a refused job never runs, whatever becomes of earlier deliveries.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold::fleet::FleetAnswer;

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
