//! Orders to workers that change their address.

use std::cell::RefCell;
use std::rc::Rc;

use crate::fixture::{run, start, submit_until_accepted, wait_until};
use crate::platform::StoreState;

/// The link to the earlier address ended together with the wait for the answer. The run counted as
/// starting for as long as the owner lived, and its job never ran.
#[test]
fn a_task_whose_order_was_on_its_way_when_its_worker_changed_its_address_is_started() {
    run(async {
        let before = "127.0.0.1:4001";
        let after = "127.0.0.1:4002";
        let state = Rc::new(RefCell::new(StoreState::default()));
        let row = |address: &str| ("w".to_owned(), address.as_bytes().to_vec());
        state.borrow_mut().workers = vec![row(before)];
        state.borrow_mut().silent_address = before.parse().ok();
        state.borrow_mut().answering_address = after.parse().ok();
        let daemon = start(&state, "daemon", 500);
        wait_until("the daemon is ready", || daemon.fleet_daemon.is_ready()).await;
        submit_until_accepted(&daemon, 1).await;
        let is_started_at = |address: &str| {
            let started_at = &state.borrow().started_at;
            started_at.iter().any(|at| at.to_string() == address)
        };
        wait_until("the start is on its way", || is_started_at(before)).await;

        state.borrow_mut().worker_changes.push(row(after));

        wait_until("the task is started", || is_started_at(after)).await;
    });
}

/// The connection stayed open, and the incarnation that it reaches was taken for known: no order was
/// sent on it any more.
#[test]
fn a_worker_that_rejects_the_first_poll_on_a_connection_for_orders_gets_them_later() {
    run(async {
        let address = "127.0.0.1:4003";
        let state = Rc::new(RefCell::new(StoreState::default()));
        state.borrow_mut().workers = vec![("w".to_owned(), address.as_bytes().to_vec())];
        state.borrow_mut().answering_address = address.parse().ok();
        state.borrow_mut().rejects_first_polls = true;
        let daemon = start(&state, "daemon", 500);
        wait_until("the daemon is ready", || daemon.fleet_daemon.is_ready()).await;

        submit_until_accepted(&daemon, 1).await;

        wait_until("the task is started", || {
            !state.borrow().started_at.is_empty()
        })
        .await;
    });
}
