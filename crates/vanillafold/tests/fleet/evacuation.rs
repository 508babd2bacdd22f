//! How daemons learn of evacuated zones: from the store, from each other, and across takeovers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use crate::fixture::{TestDaemon, run, start, start_in, submit_until_accepted, wait_until};
use crate::platform::{EVACUATION_PREFIX, StoreState};

/// Zone of the only worker.
const ZONE: &str = "zone-a";

/// Returns the state of a store at which one worker in [`ZONE`] is registered, which accepts all orders.
fn store_with_worker() -> Rc<RefCell<StoreState>> {
    let state = Rc::new(RefCell::new(StoreState::default()));
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    state.borrow_mut().answering_address = Some(address);
    let worker = ("w1".to_owned(), address.to_string().into_bytes());
    state.borrow_mut().workers = vec![worker];
    state
}

/// Writes the operator's request to evacuate the zone, or its withdrawal.
fn request(state: &Rc<RefCell<StoreState>>, evacuate: bool) {
    let key = format!("{EVACUATION_PREFIX}{ZONE}");
    let value = match evacuate {
        true => b"{}".to_vec(),
        false => Vec::new(),
    };
    state.borrow_mut().operator_changes.push((key, value));
}

fn starts(state: &Rc<RefCell<StoreState>>) -> usize {
    state.borrow().started_at.len()
}

async fn started(state: &Rc<RefCell<StoreState>>, count: usize) {
    wait_until("the task starts", || starts(state) >= count).await;
}

async fn all_ready(daemons: &[&TestDaemon]) {
    wait_until("the daemons are ready", || {
        daemons.iter().all(|daemon| daemon.fleet_daemon.is_ready())
    })
    .await;
}

/// Every start in the zone went on, as nobody read the requests.
#[test]
fn an_owner_starts_nothing_in_an_evacuated_zone_until_the_request_is_withdrawn() {
    run(async {
        let state = store_with_worker();
        request(&state, true);
        let daemon = start(&state, "a", 500);
        all_ready(&[&daemon]).await;

        submit_until_accepted(&daemon, 1).await;
        sleep(Duration::from_millis(1_500)).await;
        let while_evacuated = starts(&state);
        request(&state, false);
        started(&state, 1).await;

        assert_eq!(while_evacuated, 0);
    });
}

/// The request is written to an owner that has read the records long before.
#[test]
fn a_request_reaches_an_owner_that_is_at_work() {
    run(async {
        let state = store_with_worker();
        let daemon = start(&state, "a", 500);
        all_ready(&[&daemon]).await;
        submit_until_accepted(&daemon, 1).await;
        started(&state, 1).await;

        request(&state, true);
        sleep(Duration::from_millis(1_500)).await;
        submit_until_accepted(&daemon, 2).await;
        sleep(Duration::from_millis(1_500)).await;

        assert_eq!(starts(&state), 1);
    });
}

/// The store lets the owner write but not read, so that only another daemon knows of the request.
#[test]
fn an_owner_that_cannot_read_the_requests_learns_them_from_another_daemon() {
    run(async {
        let state = store_with_worker();
        let owner = start(&state, "owner", 500);
        all_ready(&[&owner]).await;
        let other = start_in("zone-b", &state, "other", 500);
        all_ready(&[&owner, &other]).await;
        owner.operator_records_hidden.set(true);
        sleep(Duration::from_millis(1_500)).await;

        request(&state, true);
        sleep(Duration::from_millis(3_500)).await;
        submit_until_accepted(&other, 1).await;
        sleep(Duration::from_millis(1_500)).await;
        let while_evacuated = starts(&state);
        request(&state, false);
        started(&state, 1).await;

        assert_eq!(while_evacuated, 0);
    });
}

/// The owner is lost after the request, and the next one can't read the operator's records. It does not
/// take that for "no evacuation".
#[test]
fn an_owner_that_has_never_read_the_requests_starts_nothing() {
    run(async {
        let state = store_with_worker();
        state.borrow_mut().hides_operator_records = true;
        let daemon = start(&state, "a", 500);
        // Without a configuration it is not ready, but it owns the shard and knows a stored job.
        wait_until("it has taken the shard over", || {
            state.borrow().takeovers > 0
        })
        .await;
        submit_until_accepted(&daemon, 1).await;
        sleep(Duration::from_millis(1_500)).await;
        let uninformed = starts(&state);

        request(&state, true);
        state.borrow_mut().hides_operator_records = false;
        sleep(Duration::from_millis(1_500)).await;
        let evacuated = starts(&state);
        request(&state, false);
        started(&state, 1).await;

        assert_eq!((uninformed, evacuated), (0, 0));
    });
}

/// The request lies between two owners.
#[test]
fn the_next_owner_knows_a_request_that_was_written_while_there_was_none() {
    run(async {
        let state = store_with_worker();
        let first = start(&state, "first", 500);
        all_ready(&[&first]).await;
        submit_until_accepted(&first, 1).await;
        started(&state, 1).await;
        first.fleet_daemon.stop().await;

        request(&state, true);
        let second = start(&state, "second", 500);
        all_ready(&[&second]).await;
        submit_until_accepted(&second, 2).await;
        sleep(Duration::from_millis(1_500)).await;

        assert_eq!(starts(&state), 1);
    });
}
