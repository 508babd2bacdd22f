//! Tests of the stand-in platform through the daemon's platform client: log, VM list, VM operations
//! and faults.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use common::{any_port, block_on, post_control, refusing_address, wait_until};
use http::{Request, Response};
use vanillafold_standin::platform::{Faults, PlatformOptions, PlatformStandin};
use vanillafold_standin::process::{accept_each, bind};
use vanillafold_types::{Millis, Offset};
use vanillafold_wire::http::{Service, serve_connection, split};
use vanillafold_wire::platform::{
    AppendError, HttpPlatform, ListVersion, PlatformLog, ReadError, VmList, VmOperations, VmState,
};

const LONG_WAIT: Millis = Millis::new(20_000);

fn start() -> SocketAddr {
    let platform = PlatformStandin::bind(PlatformOptions {
        address: any_port(),
        seed: 7,
        reboot_ms: Millis::new(20),
        faults: Faults::default(),
    })
    .expect("a free port");
    let address = platform.address().expect("an address");
    monoio::spawn(platform.serve());
    address
}

fn client(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(address, LONG_WAIT)
}

fn client_with_short_timeout(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(address, Millis::new(100))
}

/// A runner that records the control requests that it gets.
#[derive(Debug, Clone, Default)]
struct Recorder {
    controls: Rc<RefCell<Vec<String>>>,
}

impl Service for Recorder {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        let body = String::from_utf8_lossy(request.body());
        let control = format!("{} {}", request.uri(), body.trim());
        self.controls.borrow_mut().push(control);
        Some(Response::new(Bytes::new()))
    }
}

impl Recorder {
    fn start(&self) -> SocketAddr {
        let listener = bind(any_port()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let recorder = self.clone();
        monoio::spawn(async move {
            accept_each(&listener, |stream| {
                let recorder = recorder.clone();
                monoio::spawn(async move {
                    let (reader, writer) = split(stream);
                    serve_connection(&recorder, reader, writer, 1024).await;
                });
            })
            .await;
        });
        address
    }
}

fn record(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

async fn read_texts(platform: &HttpPlatform, stream: &str, from: u64) -> Vec<String> {
    let batch = platform
        .read(stream, Offset::new(from), 100, Millis::ZERO)
        .await
        .expect("a batch");
    let texts = batch.records.into_iter();
    texts
        .map(|record| String::from_utf8_lossy(&record.data).into_owned())
        .collect()
}

async fn list_states(platform: &HttpPlatform, since: u64) -> Vec<(String, VmState)> {
    let changes = platform
        .changes(None, ListVersion(since))
        .await
        .expect("the list");
    let vms = changes.vms.into_iter();
    vms.map(|vm| (vm.vm.to_string(), vm.state)).collect()
}

// --- The log -----------------------------------------------------------------------------------

#[test]
fn appended_records_are_read_back_in_order() {
    block_on(async {
        let platform = client(start());

        let first = platform.append("control", record("a")).await;
        let second = platform.append("control", record("b")).await;
        let other = platform.append("catalogue", record("c")).await;

        assert_eq!(first.ok(), Some(Offset::new(1)));
        assert_eq!(second.ok(), Some(Offset::new(2)));
        assert_eq!(other.ok(), Some(Offset::new(1)));
        assert_eq!(read_texts(&platform, "control", 1).await, ["a", "b"]);
        assert_eq!(read_texts(&platform, "control", 2).await, ["b"]);
        assert_eq!(read_texts(&platform, "catalogue", 1).await, ["c"]);
    });
}

#[test]
fn a_waiting_read_delays_no_append_and_ends_with_its_record() {
    block_on(async {
        let platform = client(start());
        let reader = platform.clone();
        let waiting =
            monoio::spawn(
                async move { reader.read("control", Offset::new(1), 10, LONG_WAIT).await },
            );

        let offset = platform.append("control", record("late")).await;
        let batch = waiting.await.expect("a batch");

        assert_eq!(offset.ok(), Some(Offset::new(1)));
        assert_eq!(batch.records.len(), 1);
        assert_eq!(batch.next, Offset::new(2));
    });
}

#[test]
fn a_read_below_the_oldest_offset_is_dropped() {
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/faults", "retention_records=2").await;
        for text in ["a", "b", "c", "d"] {
            platform
                .append("control", record(text))
                .await
                .expect("appended");
        }

        let dropped = platform
            .read("control", Offset::new(2), 10, Millis::ZERO)
            .await;

        assert!(
            matches!(dropped, Err(ReadError::Dropped { oldest }) if oldest == Offset::new(3)),
            "{dropped:?}"
        );
        assert_eq!(read_texts(&platform, "control", 3).await, ["c", "d"]);
    });
}

#[test]
fn an_append_whose_answer_is_lost_is_unknown_and_its_record_is_kept() {
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/faults", "lose_append_answers=1").await;

        let lost = platform.append("control", record("kept")).await;

        assert!(matches!(lost, Err(AppendError::Unknown { .. })), "{lost:?}");
        assert_eq!(read_texts(&platform, "control", 1).await, ["kept"]);
    });
}

#[test]
fn a_share_of_append_answers_is_lost_but_no_record() {
    const APPENDS: usize = 100;
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/faults", "lose_append_answers=0.5").await;

        let mut lost = 0;
        for _ in 0..APPENDS {
            let result = platform.append("control", record("x")).await;
            lost += usize::from(result.is_err());
        }

        assert!(lost > 0 && lost < APPENDS, "{lost} lost");
        assert_eq!(read_texts(&platform, "control", 1).await.len(), APPENDS);
    });
}

#[test]
fn a_slow_append_that_times_out_is_unknown_and_takes_effect() {
    block_on(async {
        let address = start();
        post_control(address, "/control/faults", "slow_ms=2000").await;

        let slow = client_with_short_timeout(address)
            .append("control", record("kept"))
            .await;

        assert!(matches!(slow, Err(AppendError::Unknown { .. })), "{slow:?}");
        post_control(address, "/control/faults", "slow_ms=0").await;
        let platform = client(address);
        wait_until("the record is in the log", async || {
            read_texts(&platform, "control", 1).await == ["kept"]
        })
        .await;
    });
}

#[test]
fn an_outage_refuses_everything_and_appends_nothing() {
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/faults", "outage=true").await;

        let append = platform.append("control", record("x")).await;
        let read = platform.read("control", Offset::new(1), 1, LONG_WAIT).await;
        let list = platform.changes(None, ListVersion(0)).await;

        assert!(
            matches!(append, Err(AppendError::NotAppended { .. })),
            "{append:?}"
        );
        assert!(
            matches!(read, Err(ReadError::Unavailable { .. })),
            "{read:?}"
        );
        assert!(
            matches!(list, Err(ReadError::Unavailable { .. })),
            "{list:?}"
        );
        post_control(address, "/control/faults", "outage=false").await;
        assert!(read_texts(&platform, "control", 1).await.is_empty());
    });
}

#[test]
fn an_append_to_a_hanging_platform_is_unknown_and_has_no_effect() {
    block_on(async {
        let address = start();
        post_control(address, "/control/faults", "hang=true").await;

        let append = client_with_short_timeout(address)
            .append("control", record("x"))
            .await;

        assert!(
            matches!(append, Err(AppendError::Unknown { .. })),
            "{append:?}"
        );
        post_control(address, "/control/faults", "hang=false").await;
        assert!(read_texts(&client(address), "control", 1).await.is_empty());
    });
}

#[test]
fn appends_above_the_rate_are_refused() {
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/faults", "append_rate=0").await;

        let refused = platform.append("control", record("x")).await;

        assert!(
            matches!(refused, Err(AppendError::NotAppended { .. })),
            "{refused:?}"
        );
    });
}

#[test]
fn an_append_without_a_platform_is_reported_as_not_appended() {
    block_on(async {
        let refused = client(refusing_address())
            .append("control", record("x"))
            .await;

        assert!(
            matches!(refused, Err(AppendError::NotAppended { .. })),
            "{refused:?}"
        );
    });
}

#[test]
fn empty_and_oversized_records_are_refused() {
    block_on(async {
        let platform = client(start());

        let empty = platform.append("control", Bytes::new()).await;
        let oversized = platform.append("control", vec![0; 65_537].into()).await;
        let largest = platform.append("control", vec![0; 65_536].into()).await;

        assert!(matches!(empty, Err(AppendError::NotAppended { .. })));
        assert!(matches!(oversized, Err(AppendError::NotAppended { .. })));
        assert_eq!(largest.ok(), Some(Offset::new(1)));
    });
}

#[test]
fn a_control_body_with_an_unknown_name_changes_nothing() {
    block_on(async {
        let address = start();

        let answer = common::request(
            address,
            http::Method::POST,
            "/control/faults",
            &http::HeaderMap::new(),
            "outage=true\nunknown=1\n",
        )
        .await
        .expect("an answer");

        assert_eq!(answer.status(), 400);
        assert!(read_texts(&client(address), "control", 1).await.is_empty());
    });
}

// --- VM list and operations --------------------------------------------------------------------

const TWO_VMS: &str = "vm-1 zone-a rack-1 quotes 127.0.0.1:1 live\n\
                       vm-2 zone-b rack-2 quotes 127.0.0.1:1 live\n";

#[test]
fn the_list_can_be_limited_to_a_zone_or_to_changes() {
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/vms", TWO_VMS).await;
        let zone = "zone-b".parse().expect("a zone");

        let of_zone = platform
            .changes(Some(&zone), ListVersion(0))
            .await
            .expect("the list");
        post_control(
            address,
            "/control/vms",
            "vm-1 zone-a rack-1 quotes 127.0.0.1:1 gone",
        )
        .await;
        let changed = list_states(&platform, of_zone.version.0).await;

        assert_eq!(of_zone.vms.len(), 1);
        assert_eq!(of_zone.vms[0].vm.as_str(), "vm-2");
        assert_eq!(changed, [("vm-1".to_owned(), VmState::Gone)]);
    });
}

#[test]
fn the_list_lags_behind_by_the_set_time() {
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/faults", "list_lag_ms=60000").await;
        post_control(address, "/control/vms", TWO_VMS).await;

        let early = list_states(&platform, 0).await;
        post_control(address, "/control/faults", "list_lag_ms=0").await;
        let late = list_states(&platform, 0).await;

        assert!(early.is_empty(), "{early:?}");
        assert_eq!(late.len(), 2);
    });
}

#[test]
fn the_list_does_not_go_back_when_its_lag_grows() {
    block_on(async {
        let address = start();
        let platform = client(address);
        post_control(address, "/control/vms", TWO_VMS).await;
        let before = list_states(&platform, 0).await;

        post_control(address, "/control/faults", "list_lag_ms=60000").await;
        let after = list_states(&platform, 0).await;

        assert_eq!(before, after);
    });
}

#[test]
fn a_drained_vm_leaves_and_a_rebooted_one_comes_back() {
    block_on(async {
        let address = start();
        let platform = client(address);
        let recorder = Recorder::default();
        let runner = recorder.start();
        let lines = format!(
            "vm-1 zone-a rack-1 quotes {runner} live\nvm-2 zone-b rack-2 quotes 127.0.0.1:1 live {runner}\n"
        );
        post_control(address, "/control/vms", &lines).await;
        let vm = "vm-2".parse().expect("a VM");

        platform.drain(&vm).await.expect("drained");
        platform.drain(&vm).await.expect("drained again");
        let drained = list_states(&platform, 2).await;
        platform.reboot(&vm).await.expect("rebooted");
        platform.reboot(&vm).await.expect("rebooted again");

        assert_eq!(drained, [("vm-2".to_owned(), VmState::Leaving)]);
        wait_until("vm-2 is live", async || {
            list_states(&platform, 0).await[1].1 == VmState::Live
        })
        .await;
        let controls = recorder.controls.borrow();
        let drains = controls
            .iter()
            .filter(|control| *control == "/control/mode?vm=vm-2 leaving=true");
        let reboots = controls
            .iter()
            .filter(|control| *control == "/control/reboot?vm=vm-2 reboot_ms=20");
        assert_eq!((drains.count(), reboots.count()), (1, 1), "{controls:?}");
    });
}

#[test]
fn an_operation_on_an_unknown_vm_is_refused() {
    block_on(async {
        let platform = client(start());
        let vm = "vm-9".parse().expect("a VM");

        let refused = platform.drain(&vm).await;

        assert!(
            matches!(refused, Err(ReadError::Unavailable { .. })),
            "{refused:?}"
        );
    });
}
