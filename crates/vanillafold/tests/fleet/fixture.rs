//! Daemons to begin with, and waiting for conditions.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use vanillafold::fleet::{Fleet, FleetAnswer, FleetRequest, FleetSettings};
use vanillafold_jobs::{JobId, JobSpec, Resources, Settings, StepSpec};

use crate::platform::{StoreState, TestPlatform};

/// Longest wait for a condition; a test that takes it all has failed.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);

/// A daemon and the switch that cuts it off from the store.
pub(crate) struct Daemon {
    pub(crate) fleet: Rc<Fleet<TestPlatform>>,
    pub(crate) cut: Rc<Cell<bool>>,
}

pub(crate) fn run(test: impl Future<Output = ()>) {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test);
}

pub(crate) async fn until(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(
            began.elapsed() < PATIENCE,
            "{what}: not within {PATIENCE:?}"
        );
        sleep(POLL).await;
    }
}

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
        vm_operations_per_s: 64,
        moves_enabled: true,
    }
}

/// Starts a daemon of one zone on a store.
pub(crate) fn start(state: &Rc<RefCell<StoreState>>, name: &str, cpu_millis: u64) -> Daemon {
    let cut = Rc::new(Cell::new(false));
    let platform = TestPlatform {
        state: Rc::clone(state),
        cut: Rc::clone(&cut),
    };
    let settings = FleetSettings {
        daemon: name.to_owned(),
        zone: "zone-a".to_owned(),
        cpu_millis,
        peers: free_address(),
        member_ttl_ms: 1_000,
        shard: shard_settings(),
    };
    let fleet = Fleet::new(platform, settings);
    fleet.start().expect("a free port stays free");
    Daemon { fleet, cut }
}

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

/// Submits until the job is accepted.
pub(crate) async fn accept(daemon: &Daemon, number: u64) {
    let began = Instant::now();
    while daemon.fleet.ask(&submission(number), 2_000).await != FleetAnswer::Accepted {
        assert!(
            began.elapsed() < PATIENCE,
            "not accepted within {PATIENCE:?}"
        );
        sleep(POLL).await;
    }
}
