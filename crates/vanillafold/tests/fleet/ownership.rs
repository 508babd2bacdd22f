//! Who owns the shard, and what callers get while that is not clear.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold::fleet::FleetAnswer;

use crate::fixture::{Daemon, accept, run, start, submission, until};
use crate::platform::StoreState;

fn store() -> Rc<RefCell<StoreState>> {
    Rc::new(RefCell::new(StoreState::default()))
}

fn all_ready(daemons: &[Daemon]) -> bool {
    daemons.iter().all(|daemon| daemon.fleet.is_ready())
}

#[test]
fn of_daemons_that_start_together_one_takes_the_shard_over() {
    run(async {
        let state = store();
        let names = ["a", "b", "c", "d", "e", "f"];
        let daemons: Vec<Daemon> = names.iter().map(|name| start(&state, name, 500)).collect();

        until("all are ready", || all_ready(&daemons)).await;
        accept(&daemons[0], 1).await;

        assert_eq!(state.borrow().claims, 1);
        assert_eq!(state.borrow().takeovers, 1);
    });
}

#[test]
fn a_small_daemon_leaves_the_shard_to_a_larger_one() {
    run(async {
        let state = store();
        let small = start(&state, "small", 120);
        let large = start(&state, "large", 500);

        until("both are ready", || {
            small.fleet.is_ready() && large.fleet.is_ready()
        })
        .await;

        assert_eq!(state.borrow().owner(), Some("large"));
        assert_eq!(state.borrow().takeovers, 1);
    });
}

#[test]
fn a_daemon_whose_owner_is_cut_off_with_it_refuses_at_once_and_is_not_ready() {
    run(async {
        // Arrange: two daemons of one zone, one of which owns the shard.
        let state = store();
        let daemons = [start(&state, "a", 500), start(&state, "b", 500)];
        until("both are ready", || all_ready(&daemons)).await;
        accept(&daemons[0], 1).await;

        // Act: the zone is cut off from the store.
        for daemon in &daemons {
            daemon.cut.set(true);
        }
        until("both are cut off", || {
            daemons.iter().all(|daemon| daemon.fleet.is_cut_off())
        })
        .await;
        let ready = daemons.iter().any(|daemon| daemon.fleet.is_ready());
        let mut answers = Vec::new();
        for daemon in &daemons {
            answers.push(daemon.fleet.forward(&submission(2), 2_000).await);
        }
        for daemon in &daemons {
            daemon.cut.set(false);
        }
        until("both are ready again", || all_ready(&daemons)).await;
        accept(&daemons[1], 2).await;

        // Assert
        let refused = FleetAnswer::Refused {
            retry_after_ms: 1_000,
            overload: false,
        };
        assert!(!ready);
        assert_eq!(answers, vec![refused.clone(), refused]);
    });
}

#[test]
fn a_takeover_reads_on_after_a_lost_page() {
    run(async {
        // Arrange: five records, of which a page holds two; the second and third page fail once.
        let state = store();
        for number in 1..=5 {
            let key = format!("w{number}");
            state.borrow_mut().put_job_row(&key, vec![0]);
        }
        state.borrow_mut().failing_pages = 2;

        let daemon = start(&state, "a", 500);
        until("it is ready", || daemon.fleet.is_ready()).await;

        let pages = state.borrow().pages.clone();
        assert_eq!(pages, vec!["", "w2", "w2", "w2", "w4", "w5"]);
    });
}
