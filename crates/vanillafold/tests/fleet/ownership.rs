//! Election of the shard's owner, and answers to callers while no owner can be reached.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold::fleet::FleetAnswer;

use crate::fixture::{TestDaemon, run, start, submission, submit_until_accepted, wait_until};
use crate::platform::StoreState;

fn new_store() -> Rc<RefCell<StoreState>> {
    Rc::new(RefCell::new(StoreState::default()))
}

fn all_ready(daemons: &[TestDaemon]) -> bool {
    daemons.iter().all(|daemon| daemon.fleet_daemon.is_ready())
}

// If several daemons that find the shard without an owner join the owners' group, each join moves
// the shard once more. Only the daemon whose claim comes first may join.
#[test]
fn only_one_of_several_daemons_started_together_takes_the_shard_over() {
    run(async {
        let state = new_store();
        let names = ["a", "b", "c", "d", "e", "f"];
        let daemons: Vec<TestDaemon> = names.iter().map(|name| start(&state, name, 500)).collect();

        wait_until("all are ready", || all_ready(&daemons)).await;
        submit_until_accepted(&daemons[0], 1).await;

        assert_eq!(state.borrow().claims, 1);
        assert_eq!(state.borrow().takeovers, 1);
    });
}

// If a daemon with little CPU takes the shard over first, the shard soon moves to the larger
// daemon, and callers see two takeovers in place of one.
#[test]
fn a_small_daemon_leaves_the_shard_to_a_larger_one() {
    run(async {
        let state = new_store();
        let small = start(&state, "small", 120);
        let large = start(&state, "large", 500);

        wait_until("both are ready", || {
            small.fleet_daemon.is_ready() && large.fleet_daemon.is_ready()
        })
        .await;

        assert_eq!(state.borrow().owner(), Some("large"));
        assert_eq!(state.borrow().takeovers, 1);
    });
}

// If a zone is cut off from the store, its daemons still reach an owner in their zone, but it may
// not send orders. Callers must be answered at once and sent to other zones, not left waiting; they
// must not be told that their job is refused, as another daemon may have delivered it.
#[test]
fn a_daemon_cut_off_together_with_its_owner_answers_at_once_and_is_not_ready() {
    run(async {
        // Arrange: two daemons of one zone, one of which owns the shard.
        let state = new_store();
        let daemons = [start(&state, "a", 500), start(&state, "b", 500)];
        wait_until("both are ready", || all_ready(&daemons)).await;
        submit_until_accepted(&daemons[0], 1).await;

        // Act: cut the zone off from the store, then reconnect it.
        for daemon in &daemons {
            daemon.store_unreachable.set(true);
        }
        wait_until("both are cut off", || {
            daemons
                .iter()
                .all(|daemon| daemon.fleet_daemon.is_cut_off())
        })
        .await;
        let ready = daemons.iter().any(|daemon| daemon.fleet_daemon.is_ready());
        let mut answers = Vec::new();
        for daemon in &daemons {
            answers.push(daemon.fleet_daemon.forward(&submission(2), 2_000).await);
        }
        for daemon in &daemons {
            daemon.store_unreachable.set(false);
        }
        wait_until("both are ready again", || all_ready(&daemons)).await;
        submit_until_accepted(&daemons[1], 2).await;

        // Assert
        let unconfirmed = FleetAnswer::Unconfirmed {
            retry_after_ms: Some(1_000),
        };
        assert!(!ready);
        assert_eq!(answers, vec![unconfirmed.clone(), unconfirmed]);
    });
}

// If a takeover starts over after each page of records that fails to load, it may never complete at
// a slow store. It must continue after the last row that it has.
#[test]
fn a_takeover_continues_after_the_last_loaded_row_when_a_page_fails() {
    run(async {
        // Arrange: five records at two per page; the first two reads of the second page fail.
        let state = new_store();
        for number in 1..=5 {
            let key = format!("w{number}");
            state.borrow_mut().put_job_row(&key, vec![0]);
        }
        state.borrow_mut().failing_pages = 2;

        let daemon = start(&state, "a", 500);
        wait_until("it is ready", || daemon.fleet_daemon.is_ready()).await;

        let pages = state.borrow().pages.clone();
        assert_eq!(pages, vec!["", "w2", "w2", "w2", "w4", "w5"]);
    });
}

// A stop must not close a caller's connection without an answer, however long the owner takes: a
// caller that gets nothing can't tell whether its job was accepted.
#[test]
fn a_stopping_daemon_answers_requests_that_the_owner_does_not_answer() {
    run(async {
        // Arrange: the daemon waits for an owner that can't store the job.
        let state = new_store();
        let owner = start(&state, "owner", 500);
        wait_until("the owner is ready", || owner.fleet_daemon.is_ready()).await;
        let other = start(&state, "other", 500);
        wait_until("the other is ready", || other.fleet_daemon.is_ready()).await;
        state.borrow_mut().hangs = true;
        let answer = Rc::new(RefCell::new(None));
        let daemon = Rc::clone(&other.fleet_daemon);
        let received = Rc::clone(&answer);
        monoio::spawn(async move {
            let _in_flight = daemon.begin_request();
            let result = daemon.forward(&submission(1), 60_000).await;
            *received.borrow_mut() = Some(result);
        });

        // Act
        other.fleet_daemon.stop().await;

        // Assert
        assert_eq!(*answer.borrow(), Some(FleetAnswer::Undecided));
    });
}

// The zone of the owner is cut off, and another daemon takes over. When the network recovers, the
// store receives what the earlier owner sent last. If that is a join, the shard goes back to it, and
// callers see two more takeovers.
#[test]
fn an_owner_that_lost_the_store_does_not_join_before_it_knows_the_new_owner() {
    run(async {
        // Arrange: another daemon owns the shard since the owner was cut off.
        let state = new_store();
        let cut_off = start(&state, "cut-off", 500);
        wait_until("the owner is ready", || cut_off.fleet_daemon.is_ready()).await;
        let other = start(&state, "other", 500);
        wait_until("the other is ready", || other.fleet_daemon.is_ready()).await;
        cut_off.store_unreachable.set(true);
        wait_until("the other takes over", || {
            state.borrow().owner() == Some("other") && other.fleet_daemon.is_ready()
        })
        .await;
        wait_until("the earlier owner is isolated", || {
            cut_off.fleet_daemon.is_cut_off()
        })
        .await;
        let joins_before = state.borrow().unreachable_joins;
        let reads_before = state.borrow().unreachable_owner_reads;

        // Act
        wait_until("the earlier owner has tried several times", || {
            state.borrow().unreachable_owner_reads >= reads_before + 4
        })
        .await;
        let joins_after = state.borrow().unreachable_joins;
        cut_off.store_unreachable.set(false);
        wait_until("the earlier owner follows the new one", || {
            cut_off.fleet_daemon.is_ready()
        })
        .await;

        // Assert
        assert_eq!(joins_after, joins_before);
        assert_eq!(state.borrow().owner(), Some("other"));
        assert_eq!(state.borrow().takeovers, 2);
    });
}

// An owner that has just started while the operator's records can't be read knows no limits and may
// start nothing. The other daemons still have the configuration.
#[test]
fn an_owner_that_cannot_read_its_configuration_gets_it_from_another_daemon() {
    run(async {
        let state = new_store();
        let before = start(&state, "before", 500);
        let other = start(&state, "other", 100);
        wait_until("both are ready", || {
            before.fleet_daemon.is_ready() && other.fleet_daemon.is_ready()
        })
        .await;

        state.borrow_mut().hides_operator_records = true;
        let stopping = Rc::clone(&before.fleet_daemon);
        monoio::spawn(async move { stopping.stop().await });
        wait_until("the shard has no owner", || {
            state.borrow().owner().is_none()
        })
        .await;
        let after = start(&state, "after", 500);
        wait_until("the shard has a new owner", || {
            state.borrow().owner() == Some("after")
        })
        .await;
        wait_until("the owner has a configuration", || {
            after.fleet_daemon.is_ready()
        })
        .await;

        submit_until_accepted(&other, 1).await;
    });
}
