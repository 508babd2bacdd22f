//! Starting test daemons, submitting jobs to them and waiting for conditions.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use vanillafold::fleet::{FleetAnswer, FleetDaemon, FleetRequest, FleetSettings};
use vanillafold_jobs::{JobId, JobSpec, Resources, Settings, StepSpec};

use crate::platform::{StoreState, TestPlatform};
use crate::relay::Relay;

/// Time after which a test fails whose condition does not hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A daemon, and whether it is cut off from the store.
pub(crate) struct TestDaemon {
    pub(crate) fleet_daemon: Rc<FleetDaemon<TestPlatform>>,
    pub(crate) store_unreachable: Rc<Cell<bool>>,
    /// Whether the store lets it read no records of the operator.
    pub(crate) operator_records_hidden: Rc<Cell<bool>>,
    /// Where it takes the RPCs of other daemons.
    pub(crate) peer_address: SocketAddr,
}

/// Runs a test on a single-threaded runtime with a timer.
pub(crate) fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

/// Waits until a condition holds; panics with its description after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "{description}: not within {WAIT_TIMEOUT:?}"
        );
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns a loopback address with a port that was just free.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

fn shard_settings() -> Settings {
    Settings {
        lease_ms: 4_500,
        max_lease_ms: 10_000,
        poll_wait_ms: 1_200,
        min_poll_interval_ms: 25,
        takeover_wait_ms: 6_600,
        finished_retention_ms: 140_000,
        vm_operation_pause_ms: 1_700,
        maintenance_ms: 2_000,
        vm_operations_per_s: 64,
        move_ms: 1_500,
        stop_timeout_ms: 400,
        restore_ms: 250,
        remote_factor_permille: 1_000,
        moves_enabled: true,
    }
}

/// Starts a daemon on a store, in the zone of most tests.
pub(crate) fn start(state: &Rc<RefCell<StoreState>>, name: &str, cpu_millis: u64) -> TestDaemon {
    start_daemon("zone-a", state, name, cpu_millis, None)
}

/// Starts a daemon on a store, in a zone.
pub(crate) fn start_in(
    zone: &str,
    state: &Rc<RefCell<StoreState>>,
    name: &str,
    cpu_millis: u64,
) -> TestDaemon {
    start_daemon(zone, state, name, cpu_millis, None)
}

/// Starts a daemon that reaches the owner through a relay.
pub(crate) fn start_behind(
    state: &Rc<RefCell<StoreState>>,
    name: &str,
    relay: &Relay,
) -> TestDaemon {
    start_daemon("zone-a", state, name, 500, Some(relay.address))
}

fn start_daemon(
    zone: &str,
    state: &Rc<RefCell<StoreState>>,
    name: &str,
    cpu_millis: u64,
    relay_address: Option<SocketAddr>,
) -> TestDaemon {
    let store_unreachable = Rc::new(Cell::new(false));
    let operator_records_hidden = Rc::new(Cell::new(false));
    let platform = TestPlatform {
        operator_records_hidden: Rc::clone(&operator_records_hidden),
        state: Rc::clone(state),
        store_unreachable: Rc::clone(&store_unreachable),
        relay_address,
    };
    let peer_address = free_address();
    let settings = FleetSettings {
        daemon_name: name.to_owned(),
        zone: zone.to_owned(),
        cpu_millis,
        peer_address,
        member_ttl_ms: 1_000,
        shard: shard_settings(),
    };
    let fleet_daemon = FleetDaemon::new(platform, settings);
    fleet_daemon.start().expect("a free port stays free");
    TestDaemon {
        fleet_daemon,
        store_unreachable,
        operator_records_hidden,
        peer_address,
    }
}

/// Returns a request that submits a job of one task under the given id.
pub(crate) fn submission(number: u64) -> FleetRequest {
    let id: JobId = format!("{number:016x}").parse().expect("a job id");
    let step = StepSpec {
        count: 1,
        needs: Resources::default(),
        ..StepSpec::default()
    };
    FleetRequest::Submit(
        id,
        JobSpec {
            queue: "quotes".to_owned(),
            pool: "pool-a".to_owned(),
            organisation: String::new(),
            text: "text".to_owned(),
            steps: vec![step],
            repeat: None,
            submitted_unix_ms: 0,
        },
    )
}

/// Submits a job through a daemon until it is accepted.
pub(crate) async fn submit_until_accepted(daemon: &TestDaemon, number: u64) {
    let began = Instant::now();
    while daemon
        .fleet_daemon
        .forward(&submission(number), 2_000)
        .await
        != FleetAnswer::Accepted
    {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "job {number} not accepted within {WAIT_TIMEOUT:?}"
        );
        sleep(CHECK_INTERVAL).await;
    }
}
