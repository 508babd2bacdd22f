//! Pings that name an epoch which no owner ever had.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold::fleet::{FleetAnswer, FleetRequest, OutgoingCall, OwnerTime, RPC_PATH};
use vanillafold_wire::RpcClient;

use crate::fixture::{TestDaemon, run, start_in, submit_until_accepted, wait_until};
use crate::platform::StoreState;

/// Longer than the time after which an owner or a daemon without contact counts as cut off.
const CONTACT_TIME: Duration = Duration::from_millis(3_500);

/// Starts an owner and a daemon of another zone.
async fn start_two_zones(state: &Rc<RefCell<StoreState>>) -> [TestDaemon; 2] {
    let owner = start_in("zone-a", state, "owner", 500);
    wait_until("the owner is ready", || owner.fleet_daemon.is_ready()).await;
    let other = start_in("zone-b", state, "other", 500);
    wait_until("the other is ready", || other.fleet_daemon.is_ready()).await;
    [owner, other]
}

/// Sends a daemon a ping with the largest numbers.
async fn send_odd_ping(daemon: &TestDaemon) {
    let client = RpcClient::new(daemon.peer_address, RPC_PATH, Duration::from_secs(5));
    let ping = FleetRequest::Ping {
        zone: "zone-c".to_owned(),
        cpu_millis: u64::MAX,
        epoch: u64::MAX,
        owner_clock_ms: u64::MAX,
        evacuations: None,
    };
    let call = OutgoingCall {
        received_at: OwnerTime {
            epoch: u64::MAX,
            clock_ms: u64::MAX,
        },
        latest_epoch: u64::MAX,
        delivery: u32::MAX,
        request: &ping,
    };
    let answer = client.call::<_, FleetAnswer>(&call, Duration::from_secs(5));
    answer.await.expect("an answer");
}

#[test]
fn a_daemon_finds_its_owner_again_after_a_ping_with_an_epoch_that_never_was() {
    run(async {
        let state = Rc::new(RefCell::new(StoreState::default()));
        let daemons = start_two_zones(&state).await;

        send_odd_ping(&daemons[1]).await;
        sleep(CONTACT_TIME).await;

        assert!(daemons[1].fleet_daemon.is_ready());
        submit_until_accepted(&daemons[1], 1).await;
        assert_eq!(state.borrow().takeovers, 1);
    });
}

// While the store is away, an owner goes on as long as daemons of other zones reach it and none
// knows of a later owner.
#[test]
fn an_owner_goes_on_without_the_store_after_a_ping_with_an_epoch_that_never_was() {
    run(async {
        let state = Rc::new(RefCell::new(StoreState::default()));
        let daemons = start_two_zones(&state).await;

        send_odd_ping(&daemons[0]).await;
        sleep(CONTACT_TIME).await;
        for daemon in &daemons {
            daemon.store_unreachable.set(true);
        }
        sleep(CONTACT_TIME).await;

        assert!(daemons[0].fleet_daemon.is_ready());
        assert_eq!(state.borrow().takeovers, 1);
    });
}
