//! Tests of the peer protocol over loopback sockets, with all daemons in one process and on one
//! thread.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use quickcheck::{Arbitrary, Gen};
use vanillafold_types::{DaemonId, Incarnation, KeyId, Millis, Offset, ZoneId};
use vanillafold_wire::{
    BootClock, LinkEnd, LinkTiming, LoadEntry, LoadReport, LogStream, MAX_CUSTOM_BYTES,
    MAX_MESSAGE_BYTES, PROTOCOL_VERSION, PeerAddress, PeerError, PeerHandler, PeerMessage,
    PeerRequest, PeerResponse, PeerSet, PeerSettings, PeerStatus, RecordBatch, RecordsRequest,
    RefusalReason, StateSummary, UnavailableReason, Withdrawal,
};

/// Longest wait for a condition, after which the test fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const ZONE: &str = "zone-a";
const TOKEN: &str = "secret";

// Fixtures.

fn run<F: Future>(test: F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts")
        .block_on(test)
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = BootClock::now().plus(CONDITION_TIMEOUT);
    while !condition() {
        assert!(
            BootClock::now() < deadline,
            "timed out waiting until {what}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

fn daemon(name: &str) -> DaemonId {
    name.parse().expect("a daemon id")
}

fn key(name: &str) -> KeyId {
    name.parse().expect("a key id")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Time-outs long enough that a busy computer does not end a link.
fn relaxed_timing() -> LinkTiming {
    LinkTiming {
        heartbeat_interval: Millis::new(50),
        report_interval: Millis::new(20),
        suspect_after: Millis::new(10_000),
        silence_timeout: Millis::new(20_000),
    }
}

fn short_timing() -> LinkTiming {
    LinkTiming {
        heartbeat_interval: Millis::new(50),
        report_interval: Millis::new(20),
        suspect_after: Millis::new(300),
        silence_timeout: Millis::new(600),
    }
}

fn settings(name: &str) -> PeerSettings {
    let mut settings = PeerSettings::new(
        daemon(name),
        ZONE.parse().expect("a zone id"),
        Incarnation::new(1),
        "fleet".parse().expect("a cluster name"),
        TOKEN.parse().expect("a token"),
        loopback(),
    );
    settings.near = relaxed_timing();
    settings.far = relaxed_timing();
    settings.backoff_min = Millis::new(10);
    settings.backoff_max = Millis::new(200);
    settings.refused_backoff = Millis::new(3_600_000);
    settings.connect_timeout = Millis::from(CONDITION_TIMEOUT);
    settings.handshake_timeout = Millis::from(CONDITION_TIMEOUT);
    settings.request_timeout = Millis::from(CONDITION_TIMEOUT);
    settings.close_timeout = Millis::from(CONDITION_TIMEOUT);
    settings
}

#[derive(Debug, Clone, PartialEq)]
struct Received {
    from: DaemonId,
    message: PeerMessage,
}

/// Records all messages and statuses; answers custom requests with their bytes reversed, and an
/// empty one with an answer that exceeds the message limit.
#[derive(Debug, Default)]
struct Recorder {
    received: RefCell<Vec<Received>>,
    statuses: RefCell<Vec<PeerStatus>>,
    folded: RefCell<Vec<KeyId>>,
}

impl PeerHandler for Recorder {
    fn on_message(&self, from: &DaemonId, message: PeerMessage) {
        self.received.borrow_mut().push(Received {
            from: from.clone(),
            message,
        });
    }

    fn on_request(&self, _from: &DaemonId, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Custom(bytes) if bytes.is_empty() => {
                PeerResponse::Custom(vec![0; MAX_MESSAGE_BYTES + 1])
            }
            PeerRequest::Custom(bytes) => PeerResponse::Custom(bytes.into_iter().rev().collect()),
            PeerRequest::Records(request) => PeerResponse::Records(batch(request.from.get())),
            _ => PeerResponse::Unavailable(UnavailableReason::Unsupported),
        }
    }

    fn on_status(&self, _peer: &DaemonId, status: PeerStatus) {
        self.statuses.borrow_mut().push(status);
    }

    fn withdrawal_is_folded(&self, key: &KeyId) -> bool {
        self.folded.borrow().contains(key)
    }
}

fn batch(first: u64) -> RecordBatch {
    RecordBatch {
        stream: LogStream::Control,
        first_offset: Offset::new(first),
        records: vec![vec![1, 2, 3], vec![4]],
        next_offset: Offset::new(first + 2),
        fresh_age: None,
    }
}

struct TestNode {
    settings: PeerSettings,
    recorder: Rc<Recorder>,
    set: PeerSet,
}

impl TestNode {
    fn start(settings: PeerSettings) -> Self {
        let recorder = Rc::new(Recorder::default());
        let set = PeerSet::open(settings.clone(), Rc::clone(&recorder)).expect("the set opens");
        Self {
            settings,
            recorder,
            set,
        }
    }

    fn named(name: &str) -> Self {
        Self::start(settings(name))
    }

    fn address(&self) -> PeerAddress {
        PeerAddress {
            daemon: self.settings.daemon.clone(),
            zone: self.settings.zone.clone(),
            address: self.set.local_address(),
        }
    }

    fn set_members_to(&self, others: &[&Self]) {
        let members = others.iter().map(|other| other.address()).collect();
        self.set.set_members(members).expect("few members");
    }

    fn is_connected(&self, other: &str) -> bool {
        let status = self.set.status(&daemon(other));
        status.is_some_and(|status| status.connected && status.state.is_alive())
    }

    fn count_of(&self, message: &PeerMessage) -> usize {
        let received = self.recorder.received.borrow();
        received.iter().filter(|r| r.message == *message).count()
    }

    fn last_end(&self, other: &str) -> Option<LinkEnd> {
        self.set.status(&daemon(other)).and_then(|s| s.last_end)
    }

    /// Restarts at the same address, with the next incarnation and without its previous state.
    async fn restart(self) -> Self {
        let mut settings = self.settings;
        settings.listen = self.set.local_address();
        settings.incarnation = Incarnation::new(settings.incarnation.get() + 1);
        self.set.close().await;
        Self::start(settings)
    }
}

async fn connected_pair() -> (TestNode, TestNode) {
    let (a, b) = (TestNode::named("a"), TestNode::named("b"));
    a.set_members_to(&[&b]);
    b.set_members_to(&[&a]);
    wait_until("both links are up", || {
        a.is_connected("b") && b.is_connected("a")
    })
    .await;
    (a, b)
}

fn custom(byte: u8) -> PeerMessage {
    PeerMessage::Custom(vec![byte; 4])
}

fn withdrawal(name: &str) -> PeerMessage {
    PeerMessage::Withdrawal(Withdrawal { key: key(name) })
}

fn state(offset: u64) -> PeerMessage {
    PeerMessage::State(StateSummary {
        catalogue_offset: Offset::new(offset),
        control_offset: Offset::new(offset),
        digest: [7; 32],
    })
}

fn load(vm: &str, outstanding: u32) -> PeerMessage {
    PeerMessage::LoadReport(LoadReport {
        entries: vec![LoadEntry {
            vm: vm.parse().expect("a VM id"),
            outstanding,
        }],
    })
}

/// One TCP connection through a [`Relay`].
#[derive(Debug, Default)]
struct RelayedConnection {
    is_stopped: Cell<bool>,
    closed_by_dialler: Cell<bool>,
    closed_by_target: Cell<bool>,
}

/// A TCP relay that can stop forwarding without closing its connections.
struct Relay {
    address: SocketAddr,
    connections: Rc<RefCell<Vec<Rc<RelayedConnection>>>>,
    /// Whether nothing is forwarded on new connections.
    drops_new_traffic: Rc<Cell<bool>>,
}

impl Relay {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback()).expect("the relay listens");
        let relay = Self {
            address: listener.local_addr().expect("an address"),
            connections: Rc::default(),
            drops_new_traffic: Rc::default(),
        };
        let connections = Rc::clone(&relay.connections);
        let drops_new_traffic = Rc::clone(&relay.drops_new_traffic);
        monoio::spawn(forward_all(
            listener,
            target,
            connections,
            drops_new_traffic,
        ));
        relay
    }

    fn stop_forwarding(&self) {
        for connection in &*self.connections.borrow() {
            connection.is_stopped.set(true);
        }
    }

    fn count(&self) -> usize {
        self.connections.borrow().len()
    }
}

async fn forward_all(
    listener: TcpListener,
    target: SocketAddr,
    connections: Rc<RefCell<Vec<Rc<RelayedConnection>>>>,
    drops_new_traffic: Rc<Cell<bool>>,
) {
    while let Ok((dialler, _)) = listener.accept().await {
        let Ok(dialled) = TcpStream::connect_addr(target).await else {
            continue;
        };
        let relayed = Rc::new(RelayedConnection::default());
        relayed.is_stopped.set(drops_new_traffic.get());
        connections.borrow_mut().push(Rc::clone(&relayed));
        let (dialler_read, dialler_write) = dialler.into_split();
        let (dialled_read, dialled_write) = dialled.into_split();
        let upstream = Rc::clone(&relayed);
        monoio::spawn(async move {
            forward(
                dialler_read,
                dialled_write,
                &upstream,
                &upstream.closed_by_dialler,
            )
            .await;
        });
        monoio::spawn(async move {
            let closed = &relayed.closed_by_target;
            forward(dialled_read, dialler_write, &relayed, closed).await;
        });
    }
}

async fn forward(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    link: &RelayedConnection,
    closed: &Cell<bool>,
) {
    let mut buffer = vec![0; 4096];
    loop {
        let (read, data) = from.read(buffer).await;
        let bytes = match read {
            Ok(bytes) if bytes > 0 => bytes,
            _ => break,
        };
        if !link.is_stopped.get() {
            let (written, _) = to.write_all(data[..bytes].to_vec()).await;
            if written.is_err() {
                break;
            }
        }
        buffer = data;
    }
    closed.set(true);
    if link.is_stopped.get() {
        // A network that drops all packets does not forward a close either, so the other socket
        // must stay open. A future that nothing can wake would be dropped, and the socket with it.
        sleep(CONDITION_TIMEOUT * 2).await;
    }
}

/// A dialler that can send any bytes after its hello.
struct RawLink {
    requester: SendRequest<Bytes>,
    stream: h2::SendStream<Bytes>,
    replies: h2::RecvStream,
}

fn frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a short payload");
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(payload);
    frame
}

fn hello(version: u16, from: &str, to: &str) -> Vec<u8> {
    let head = (*b"vfpr", version, "fleet", TOKEN);
    let tail = (daemon(from), ZONE, 1_u64, daemon(to), 50_u64);
    let hello = bincode::encode_to_vec((head, tail), bincode::config::standard());
    frame(&hello.expect("a hello"))
}

async fn raw_requester(address: SocketAddr) -> SendRequest<Bytes> {
    let tcp = TcpStream::connect_addr(address).await.expect("connects");
    let io = monoio_compat::TcpStreamCompat::new(tcp);
    let (requester, connection) = h2::client::handshake(io).await.expect("HTTP/2 opens");
    monoio::spawn(async move {
        // The tests make these connections fail.
        let _ = connection.await;
    });
    requester
}

fn post(path: &str) -> http::Request<()> {
    let request = http::Request::post(format!("http://peer{path}"));
    request.body(()).expect("a request")
}

async fn open_raw_link(address: SocketAddr, hello: Vec<u8>) -> RawLink {
    let requester = raw_requester(address).await;
    let mut requester = requester.ready().await.expect("a stream is free");
    let (response, mut stream) = requester.send_request(post("/link"), false).expect("sends");
    stream.send_data(hello.into(), false).expect("sends");
    let replies = response.await.expect("a response").into_body();
    RawLink {
        requester,
        stream,
        replies,
    }
}

async fn next_data(replies: &mut h2::RecvStream) -> Option<Bytes> {
    let next = monoio::time::timeout(CONDITION_TIMEOUT, replies.data()).await;
    next.expect("the stream ends in time").and_then(Result::ok)
}

/// Reads until the stream ends or fails; returns the bytes.
async fn drain(mut replies: h2::RecvStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    while let Some(data) = next_data(&mut replies).await {
        bytes.extend_from_slice(&data);
    }
    bytes
}

// Handshake.

#[test]
fn links_open_both_ways_and_the_handler_gets_the_status() {
    run(async {
        let (a, b) = connected_pair().await;

        wait_until("a measures a round trip", || {
            let status = a.set.status(&daemon("b"));
            status.is_some_and(|status| status.round_trip.is_some())
        })
        .await;

        let status = a.set.status(&daemon("b")).expect("b is a member");
        assert_eq!(status.incarnation, Some(Incarnation::new(1)));
        wait_until("the handler of a gets the status", || {
            let statuses = a.recorder.statuses.borrow();
            statuses.iter().any(|s| s.connected && s.state.is_alive())
        })
        .await;
        assert_eq!(b.set.statistics().counters.sessions_opened, 1);
    });
}

/// Lets `a` dial `b`, waits until `b` refuses, and gives `a` time to retry while it exchanges 20
/// messages with `c`. Returns the reason for the refusal, and `a` and `b`.
async fn expect_refusal(a: PeerSettings, b: PeerSettings) -> (RefusalReason, TestNode, TestNode) {
    let (a, b, c) = (TestNode::start(a), TestNode::start(b), TestNode::named("c"));
    a.set_members_to(&[&b, &c]);
    wait_until("a is refused", || {
        matches!(a.last_end("b"), Some(LinkEnd::Refused(_)))
    })
    .await;
    for offset in 1..=20 {
        a.set.send(&daemon("c"), state(offset)).expect("queued");
        wait_until("c receives the state", || c.count_of(&state(offset)) == 1).await;
    }
    match a.last_end("b") {
        Some(LinkEnd::Refused(reason)) => (reason, a, b),
        other => panic!("expected a refusal, found {other:?}"),
    }
}

#[test]
fn a_wrong_token_is_refused_and_not_retried_at_once() {
    run(async {
        let mut b = settings("b");
        b.token = "another".parse().expect("a token");

        // `c` has the token of `a`, so only `b` refuses.
        let (reason, a, b) = expect_refusal(settings("a"), b).await;

        assert_eq!(reason, RefusalReason::Token);
        assert_eq!(b.set.statistics().counters.refused_token, 1);
        assert_eq!(b.set.statistics().counters.sessions_opened, 0);
        assert_eq!(a.set.statistics().counters.refused_by_peer, 1);
    });
}

#[test]
fn a_wrong_cluster_is_refused() {
    run(async {
        let mut b = settings("b");
        b.cluster = "other-fleet".parse().expect("a name");

        let (reason, _a, b) = expect_refusal(settings("a"), b).await;

        assert_eq!(reason, RefusalReason::ClusterName);
        assert_eq!(b.set.statistics().counters.refused_cluster, 1);
    });
}

#[test]
fn an_address_that_another_daemon_has_taken_over_is_refused() {
    run(async {
        let (a, z) = (TestNode::named("a"), TestNode::named("z"));
        let mut wrong_address = z.address();
        wrong_address.daemon = daemon("b");

        a.set.set_members(vec![wrong_address]).expect("one member");
        wait_until("a is refused", || a.last_end("b").is_some()).await;

        let found = daemon("z");
        let expected = LinkEnd::Refused(RefusalReason::WrongDaemon { found });
        assert_eq!(a.last_end("b"), Some(expected));
        assert_eq!(z.set.statistics().counters.refused_wrong_daemon, 1);
    });
}

#[test]
fn another_protocol_version_is_refused_before_the_rest_of_the_hello_is_decoded() {
    run(async {
        let b = TestNode::named("b");
        let mut newer_version = hello(PROTOCOL_VERSION + 1, "a", "b");
        newer_version.truncate(4 + 4 + 1);
        let newer_version = frame(&newer_version[4..]);

        let link = open_raw_link(b.set.local_address(), newer_version).await;
        let reply = drain(link.replies).await;

        assert!(!reply.is_empty());
        assert_eq!(b.set.statistics().counters.refused_version, 1);
        assert_eq!(b.set.statistics().counters.sessions_opened, 0);
    });
}

// Messages and requests.

#[test]
fn messages_arrive_in_order_and_with_their_sender() {
    run(async {
        let (a, b) = connected_pair().await;
        let messages = [custom(1), PeerMessage::Records(batch(9)), custom(2)];

        for message in &messages {
            a.set.send(&daemon("b"), message.clone()).expect("queued");
        }
        wait_until("b has all", || b.recorder.received.borrow().len() == 3).await;

        let received = b.recorder.received.take();
        let expected = messages.map(|message| Received {
            from: daemon("a"),
            message,
        });
        assert_eq!(received, expected);
    });
}

#[test]
fn requests_are_answered_each_on_its_own_stream() {
    run(async {
        let (a, _b) = connected_pair().await;
        let b = daemon("b");
        let records = PeerRequest::Records(RecordsRequest {
            stream: LogStream::Control,
            from: Offset::new(5),
            max_records: 2,
        });

        let first = a.set.request(&b, PeerRequest::Custom(vec![1, 2]));
        let second = a.set.request(&b, records);
        let (first, second) = monoio::join!(first, second);
        let large = a.set.request(&b, PeerRequest::Custom(Vec::new())).await;

        assert_eq!(first.expect("answered"), PeerResponse::Custom(vec![2, 1]));
        assert_eq!(second.expect("answered"), PeerResponse::Records(batch(5)));
        let too_large = PeerResponse::Unavailable(UnavailableReason::TooLarge);
        assert_eq!(large.expect("answered"), too_large);
    });
}

#[test]
fn requests_that_cannot_be_sent_return_the_reason() {
    run(async {
        let a = TestNode::named("a");
        let b = TestNode::named("b");
        let mut unreachable = b.address();
        b.set.close().await;
        unreachable.daemon = daemon("gone");
        a.set.set_members(vec![unreachable]).expect("one member");
        let send_request = |name: &'static str, bytes| {
            let request = PeerRequest::Custom(vec![0; bytes]);
            let set = &a.set;
            async move { set.request(&daemon(name), request).await }
        };

        let stranger = send_request("stranger", 1).await;
        let unconnected = send_request("gone", 1).await;
        let large = send_request("gone", MAX_CUSTOM_BYTES + 1).await;

        assert!(matches!(stranger, Err(PeerError::UnknownPeer { .. })));
        assert!(matches!(unconnected, Err(PeerError::NotConnected { .. })));
        assert!(matches!(large, Err(PeerError::TooLarge { .. })));
    });
}

#[test]
fn newer_state_summaries_and_load_entries_replace_unsent_ones() {
    run(async {
        let (a, b) = connected_pair().await;
        let to = daemon("b");

        for offset in 1..=100 {
            a.set.send(&to, state(offset)).expect("never full");
            let outstanding = u32::try_from(offset).expect("small");
            a.set
                .send(&to, load("vm-1", outstanding))
                .expect("never full");
        }
        a.set.send(&to, load("vm-0", 5)).expect("never full");
        wait_until("both messages came", || {
            b.recorder.received.borrow().len() >= 2
        })
        .await;

        let received = b.recorder.received.take();
        let merged = PeerMessage::LoadReport(LoadReport {
            entries: vec![
                LoadEntry {
                    vm: "vm-0".parse().expect("a VM id"),
                    outstanding: 5,
                },
                LoadEntry {
                    vm: "vm-1".parse().expect("a VM id"),
                    outstanding: 100,
                },
            ],
        });
        assert_eq!(received.len(), 2);
        assert_eq!(received[0].message, state(100));
        assert_eq!(received[1].message, merged);
        let counters = a.set.statistics().counters;
        assert_eq!(counters.coalesced_states, 99);
        assert_eq!(counters.coalesced_load_entries, 99);
    });
}

#[test]
fn the_queued_messages_and_withdrawals_for_a_peer_are_bounded() {
    run(async {
        let mut small = settings("a");
        small.queue_messages = 8;
        small.max_withdrawals = 2;
        let a = TestNode::start(small);
        let b = TestNode::named("b");
        let unreachable = b.address();
        b.set.close().await;
        a.set.set_members(vec![unreachable]).expect("one member");
        let to = daemon("b");

        let queued = (0..20).filter(|_| a.set.send(&to, custom(1)).is_ok());
        assert_eq!(queued.count(), 8);

        let full = a.set.send(&to, custom(1));
        assert!(matches!(full, Err(PeerError::QueueFull { .. })));
        assert_eq!(a.set.statistics().counters.queue_refusals, 13);
        a.set.broadcast(withdrawal("k1")).expect("room");
        a.set.broadcast(withdrawal("k2")).expect("room");
        let third = a.set.broadcast(withdrawal("k3"));
        assert!(matches!(third, Err(PeerError::TooManyWithdrawals { .. })));
        a.set.forget_withdrawals(&[key("k1")]);
        a.set.broadcast(withdrawal("k3")).expect("room again");
    });
}

#[test]
fn closing_sends_queued_messages_and_leaves_no_task() {
    run(async {
        let (a, b) = connected_pair().await;
        // 200 KiB in total, more than the flow-control window of a connection.
        let large = PeerMessage::Custom(vec![1; 2 * 1024]);
        for _ in 0..100 {
            a.set.send(&daemon("b"), large.clone()).expect("queued");
        }

        a.set.close().await;

        wait_until("b has all", || b.count_of(&large) == 100).await;
        wait_until("b sees that a has closed", || {
            b.last_end("a").is_some() && !b.is_connected("a")
        })
        .await;
        b.set.set_members(Vec::new()).expect("none");
        wait_until("only the listener and the supervisor run", || {
            b.set.statistics().tasks == 2
        })
        .await;
    });
}

#[test]
fn a_removed_member_is_disconnected_and_an_added_one_dialled() {
    run(async {
        let (a, b) = connected_pair().await;
        let c = TestNode::named("c");

        a.set_members_to(&[&c]);
        wait_until("c is connected", || a.is_connected("c")).await;

        assert_eq!(a.set.status(&daemon("b")), None);
        let refused = a.set.send(&daemon("b"), custom(1));
        assert!(matches!(refused, Err(PeerError::UnknownPeer { .. })));
        wait_until("b's session ended", || {
            b.set.statistics().counters.closed_by_peer >= 1
        })
        .await;
    });
}

// Withdrawals.

#[test]
fn a_withdrawal_reaches_each_daemon_once_also_when_forwarded() {
    run(async {
        let nodes = ["a", "b", "c", "d"].map(TestNode::named);
        let [a, b, c, d] = &nodes;
        // A ring: no daemon has the opposite one as a member.
        a.set_members_to(&[b, d]);
        b.set_members_to(&[a, c]);
        c.set_members_to(&[b, d]);
        d.set_members_to(&[a, c]);

        a.set.broadcast(withdrawal("k1")).expect("room");
        a.set.broadcast(withdrawal("k1")).expect("known");
        let reported = |node: &TestNode| node.count_of(&withdrawal("k1"));
        wait_until("all other daemons have the withdrawal", || {
            nodes[1..].iter().all(|node| reported(node) == 1)
        })
        .await;
        // Withdrawals in flight arrive before later messages on the same links.
        for (from, to) in [(b, c), (c, b), (d, c), (c, d), (b, a), (d, a)] {
            let to_daemon = &to.settings.daemon;
            from.set.send(to_daemon, custom(9)).expect("queued");
        }
        wait_until("the later messages came", || {
            let came = nodes.each_ref().map(|node| node.count_of(&custom(9)));
            came == [2, 1, 2, 1]
        })
        .await;

        assert_eq!(nodes.each_ref().map(reported), [0, 1, 1, 1]);
        let learnt = |node: &TestNode| node.set.statistics().counters.withdrawals_learnt;
        assert_eq!(nodes.each_ref().map(learnt), [1, 1, 1, 1]);
    });
}

#[test]
fn a_withdrawal_is_sent_when_the_peer_reconnects_and_again_after_its_restart() {
    run(async {
        let (a, b) = connected_pair().await;
        let address = b.address();
        let settings = b.settings.clone();
        b.set.close().await;

        a.set.broadcast(withdrawal("k1")).expect("room");
        let mut restarted = settings;
        restarted.listen = address.address;
        restarted.incarnation = Incarnation::new(2);
        let b = TestNode::start(restarted);
        wait_until("b has the withdrawal", || {
            b.count_of(&withdrawal("k1")) == 1
        })
        .await;
        let b = b.restart().await;
        wait_until("b has the withdrawal again", || {
            b.count_of(&withdrawal("k1")) == 1
        })
        .await;

        assert_eq!(b.settings.incarnation, Incarnation::new(3));
    });
}

#[test]
fn a_folded_withdrawal_is_not_forwarded() {
    run(async {
        let (a, b) = connected_pair().await;
        b.recorder.folded.borrow_mut().push(key("k1"));

        a.set.broadcast(withdrawal("k1")).expect("room");
        wait_until("b has received the withdrawal", || {
            b.set.statistics().counters.withdrawals_repeated == 1
        })
        .await;

        assert_eq!(b.set.statistics().counters.withdrawals_learnt, 0);
        assert_eq!(b.count_of(&withdrawal("k1")), 0);
    });
}

// Restarts and silence.

#[test]
fn a_restarted_peer_is_redialled_and_its_new_incarnation_recorded() {
    run(async {
        let (a, b) = connected_pair().await;

        let b = b.restart().await;
        b.set_members_to(&[&a]);
        wait_until("a sees the new incarnation", || {
            let status = a.set.status(&daemon("b"));
            a.is_connected("b")
                && status.is_some_and(|s| s.incarnation == Some(Incarnation::new(2)))
        })
        .await;
        a.set.send(&daemon("b"), custom(1)).expect("queued");

        wait_until("messages flow", || b.count_of(&custom(1)) == 1).await;
    });
}

#[test]
fn a_peer_that_dials_in_is_redialled_without_backoff() {
    run(async {
        let mut long_backoff = settings("a");
        long_backoff.backoff_min = Millis::new(3_600_000);
        long_backoff.backoff_max = long_backoff.backoff_min;
        let a = TestNode::start(long_backoff);
        let b = TestNode::named("b");
        let mut same_address = b.settings.clone();
        same_address.listen = b.set.local_address();
        a.set_members_to(&[&b]);
        b.set.close().await;
        wait_until("a's dial fails", || a.last_end("b").is_some()).await;

        let b = TestNode::start(same_address);
        b.set_members_to(&[&a]);

        wait_until("a has dialled back", || a.is_connected("b")).await;
    });
}

#[test]
fn an_older_incarnation_is_refused() {
    run(async {
        let (a, b) = connected_pair().await;
        let mut new = b.settings.clone();
        new.incarnation = Incarnation::new(2);
        let new = TestNode::start(new);
        new.set_members_to(&[&a]);
        wait_until("the new incarnation is connected", || new.is_connected("a")).await;

        // Makes the earlier incarnation dial again.
        b.set.set_members(Vec::new()).expect("none");
        b.set_members_to(&[&a]);
        wait_until("the old incarnation is refused", || {
            matches!(b.last_end("a"), Some(LinkEnd::Refused(_)))
        })
        .await;

        let latest = Incarnation::new(2);
        let expected = LinkEnd::Refused(RefusalReason::StaleIncarnation { latest });
        assert_eq!(b.last_end("a"), Some(expected));
        assert!(a.set.statistics().counters.replaced_sessions >= 1);
    });
}

#[test]
fn a_silent_connection_is_closed_and_replaced() {
    run(async {
        let mut short_timeouts = settings("a");
        short_timeouts.near = short_timing();
        let a = TestNode::start(short_timeouts);
        let b = TestNode::named("b");
        let relay = Relay::start(b.set.local_address());
        let mut through = b.address();
        through.address = relay.address;
        a.set.set_members(vec![through]).expect("one member");
        wait_until("the link is up", || a.is_connected("b")).await;
        let before = relay.count();

        relay.stop_forwarding();
        a.set.broadcast(withdrawal("lost")).expect("room");
        wait_until("the silent link is counted", || {
            a.set.statistics().counters.silent_links >= 1
        })
        .await;
        wait_until("a new connection is up", || {
            relay.count() > before && a.is_connected("b")
        })
        .await;
        a.set.broadcast(withdrawal("k1")).expect("room");

        wait_until("messages flow", || b.count_of(&withdrawal("k1")) == 1).await;
        wait_until("the lost withdrawal is resent", || {
            b.count_of(&withdrawal("lost")) == 1
        })
        .await;
        let connections = relay.connections.borrow().clone();
        wait_until("the old socket is closed", || {
            connections[0].closed_by_dialler.get()
        })
        .await;
    });
}

#[test]
fn a_request_on_a_silent_connection_fails_with_the_connection() {
    run(async {
        let mut short_timeouts = settings("a");
        short_timeouts.near = short_timing();
        short_timeouts.request_timeout = Millis::from(CONDITION_TIMEOUT * 2);
        let a = TestNode::start(short_timeouts);
        let b = TestNode::named("b");
        let relay = Relay::start(b.set.local_address());
        let mut through = b.address();
        through.address = relay.address;
        a.set.set_members(vec![through]).expect("one member");
        wait_until("the link is up", || a.is_connected("b")).await;

        relay.stop_forwarding();
        let to = daemon("b");
        let request = a.set.request(&to, PeerRequest::Custom(vec![1]));
        let answer = monoio::time::timeout(CONDITION_TIMEOUT, request).await;

        let answer = answer.expect("the request ends before its own timeout");
        assert!(matches!(answer, Err(PeerError::Link { .. })));
        assert_eq!(a.set.statistics().counters.requests_failed, 1);
    });
}

#[test]
fn a_partitioned_peer_becomes_silent_and_is_alive_again_after_the_partition() {
    run(async {
        let mut short_timeouts = settings("a");
        short_timeouts.near = short_timing();
        short_timeouts.handshake_timeout = Millis::new(200);
        let a = TestNode::start(short_timeouts);
        let b = TestNode::named("b");
        let relay = Relay::start(b.set.local_address());
        let mut through = b.address();
        through.address = relay.address;
        a.set.set_members(vec![through]).expect("one member");
        wait_until("the link is up", || a.is_connected("b")).await;

        relay.drops_new_traffic.set(true);
        relay.stop_forwarding();
        wait_until("the handler gets the silent status", || {
            let reported = a.recorder.statuses.borrow();
            let last = reported.last().expect("reported before");
            last.state.is_silent() && last.last_heard.is_some() && !last.connected
        })
        .await;
        a.set.broadcast(withdrawal("k1")).expect("room");
        relay.drops_new_traffic.set(false);
        wait_until("the link is up again", || a.is_connected("b")).await;

        wait_until("the queued withdrawal arrives", || {
            b.count_of(&withdrawal("k1")) == 1
        })
        .await;
    });
}

#[test]
fn a_resumed_process_sees_its_peers_as_silent_at_once() {
    run(async {
        let mut short_timeouts = settings("a");
        short_timeouts.near = short_timing();
        let a = TestNode::start(short_timeouts);
        let b = TestNode::named("b");
        a.set_members_to(&[&b]);
        wait_until("the link is up", || a.is_connected("b")).await;

        // Blocks the only thread, as a stop signal would: no task runs meanwhile.
        std::thread::sleep(Duration::from_millis(1_500));
        let on_waking = a.set.status(&daemon("b")).expect("a member");

        assert!(on_waking.state.is_silent());
        wait_until("the pause is counted", || {
            let counters = a.set.statistics().counters;
            counters.pauses >= 1 && counters.last_pause_ms > 0
        })
        .await;
        wait_until("the link is up again", || a.is_connected("b")).await;
    });
}

// Peers that misbehave.

#[test]
fn a_peer_that_accepts_and_never_answers_fails_the_handshake_timeout() {
    run(async {
        let mut short_timeout = settings("a");
        short_timeout.handshake_timeout = Millis::new(100);
        let a = TestNode::start(short_timeout);
        let silent_peer = TcpListener::bind(loopback()).expect("listens");
        let member = PeerAddress {
            daemon: daemon("mute"),
            zone: ZONE.parse().expect("a zone id"),
            address: silent_peer.local_addr().expect("an address"),
        };

        a.set.set_members(vec![member]).expect("one member");
        wait_until("two handshakes have timed out", || {
            a.set.statistics().counters.handshake_timeouts >= 2
        })
        .await;

        assert_eq!(a.last_end("mute"), Some(LinkEnd::HandshakeTimeout));
        assert_eq!(a.set.statistics().counters.links_opened, 0);
    });
}

#[test]
fn a_dialler_that_sends_nothing_is_disconnected() {
    run(async {
        let mut short_timeout = settings("b");
        short_timeout.handshake_timeout = Millis::new(100);
        let b = TestNode::start(short_timeout);

        // The first connection sends nothing at all, the second only opens HTTP/2.
        let mut silent_dialler = TcpStream::connect_addr(b.set.local_address())
            .await
            .expect("connects");
        let _opened = raw_requester(b.set.local_address()).await;
        wait_until("both handshakes have timed out", || {
            b.set.statistics().counters.handshake_timeouts == 2
        })
        .await;

        let (read, _) = silent_dialler.read(vec![0; 1024]).await;
        assert!(read.is_err() || read.is_ok_and(|bytes| bytes < 1024));
        wait_until("their tasks have ended", || b.set.statistics().tasks == 2).await;
    });
}

#[test]
fn a_dialler_that_goes_silent_after_its_hello_is_disconnected() {
    run(async {
        let mut short_timeouts = settings("b");
        short_timeouts.near = short_timing();
        // Much longer than the silence timeout, which must apply instead once the hello is
        // accepted.
        short_timeouts.handshake_timeout = Millis::from(CONDITION_TIMEOUT * 2);
        let b = TestNode::start(short_timeouts);

        let link = open_raw_link(b.set.local_address(), hello(PROTOCOL_VERSION, "a", "b")).await;
        wait_until("the hello is accepted", || {
            b.set.statistics().counters.sessions_opened == 1
        })
        .await;
        drain(link.replies).await;

        assert_eq!(b.set.statistics().counters.silent_links, 1);
    });
}

#[test]
fn requests_before_the_hello_are_refused() {
    run(async {
        let b = TestNode::named("b");
        let requester = raw_requester(b.set.local_address()).await;
        let mut requester = requester.ready().await.expect("a stream is free");

        let (response, _stream) = requester
            .send_request(post("/request"), false)
            .expect("sends");
        let answer = response.await;

        assert!(answer.is_err());
        assert_eq!(b.set.statistics().counters.refused_streams, 1);
        assert_eq!(b.set.statistics().counters.requests_served, 0);
    });
}

/// Sends bytes after a valid hello and waits until the link ends.
async fn send_after_hello(address: SocketAddr, bytes: Vec<u8>) {
    let mut link = open_raw_link(address, hello(PROTOCOL_VERSION, "a", "b")).await;
    link.stream.send_data(bytes.into(), true).expect("sends");
    drain(link.replies).await;
    drop(link.requester);
}

#[test]
fn oversized_and_malformed_frames_end_the_link_and_are_counted() {
    run(async {
        let b = TestNode::named("b");
        let address = b.set.local_address();
        let too_long = u32::try_from(MAX_MESSAGE_BYTES + 1).expect("fits");

        send_after_hello(address, too_long.to_be_bytes().to_vec()).await;
        wait_until("the length is refused", || {
            b.set.statistics().counters.oversized_frames == 1
        })
        .await;
        send_after_hello(address, frame(&[255; 40])).await;
        // A message with records whose encoded count is far larger than the frame.
        send_after_hello(
            address,
            frame(&[1, 3, 0, 1, 253, 255, 255, 255, 255, 255, 255, 255, 0]),
        )
        .await;
        // The stream ends within a frame.
        send_after_hello(address, vec![0, 0, 0, 9, 1]).await;
        // A heartbeat followed by a surplus byte.
        send_after_hello(address, frame(&[0, 1, 77])).await;

        wait_until("the contents are refused", || {
            b.set.statistics().counters.malformed_frames == 4
        })
        .await;
        assert_eq!(b.set.statistics().counters.messages_received, 0);
    });
}

#[test]
fn bytes_that_are_not_http2_end_the_connection() {
    run(async {
        let b = TestNode::named("b");
        let mut tcp = TcpStream::connect_addr(b.set.local_address())
            .await
            .expect("connects");

        let (sent, _) = tcp.write_all(b"GET / HTTP/1.1\r\n\r\n".to_vec()).await;

        sent.expect("written");
        wait_until("the HTTP/2 failure is counted", || {
            b.set.statistics().counters.http2_failures == 1
        })
        .await;
    });
}

#[test]
fn random_frames_do_not_stop_a_daemon() {
    const FRAMES: u64 = 100;
    const MAX_RANDOM_BYTES: usize = 200;
    run(async {
        let b = TestNode::named("b");
        for seed in 0..FRAMES {
            let mut random = Gen::from_size_and_seed(MAX_RANDOM_BYTES, seed);
            let payload = Vec::<u8>::arbitrary(&mut random);
            send_after_hello(b.set.local_address(), frame(&payload)).await;
        }

        let a = TestNode::named("a");
        a.set_members_to(&[&b]);
        wait_until("a correct peer can still connect", || a.is_connected("b")).await;
        let counters = b.set.statistics().counters;
        assert_eq!(counters.sessions_opened, FRAMES + 1);
    });
}

// Traffic.

/// Budget of a daemon for control traffic, in bytes per second, sent and received.
const CONTROL_BUDGET_BYTES: u64 = 24_000;
/// Share of the control budget for heartbeats alone, in bytes per second.
const HEARTBEAT_BUDGET_BYTES: u64 = CONTROL_BUDGET_BYTES / 4;
/// Share of the control budget for heartbeats and reports together, in bytes per second.
const REPORT_BUDGET_BYTES: u64 = CONTROL_BUDGET_BYTES / 2;
const DAEMONS: u64 = 64;
const ZONES: u64 = 32;
const ROUNDS: u32 = 20;
/// Number of VMs whose load changes between two reports.
const CHANGED_VMS: usize = 4;

/// Returns the socket bytes of one daemon per peer and `interval`, sent and received, on the
/// dialled and the accepted connection. All daemons send once per interval.
async fn bytes_per_interval(
    nodes: &[TestNode],
    interval: Duration,
    send: impl Fn(&TestNode),
) -> u64 {
    let total = |node: &TestNode| {
        let statistics = node.set.statistics();
        statistics.sent_bytes + statistics.received_bytes
    };
    let (bytes_before, started) = (total(&nodes[0]), BootClock::now());
    for _ in 0..ROUNDS {
        nodes.iter().for_each(&send);
        sleep(interval).await;
    }
    let elapsed = BootClock::now().since(started);
    let intervals = elapsed.as_secs_f64() / interval.as_secs_f64();
    let peers = (nodes.len() - 1) as f64;
    ((total(&nodes[0]) - bytes_before) as f64 / (intervals * peers)).ceil() as u64
}

fn report(node: &TestNode) {
    let entries = (0..CHANGED_VMS).map(|n| LoadEntry {
        vm: format!("zone-a-vm-{n:04}").parse().expect("a VM id"),
        outstanding: 300,
    });
    let entries = entries.collect();
    let report = PeerMessage::LoadReport(LoadReport { entries });
    node.set.broadcast(report).expect("never full");
    node.set.broadcast(state(40_000_000)).expect("never full");
}

/// Returns how many times per second a daemon sends to its peers in a cluster of [`DAEMONS`] in
/// [`ZONES`], at the interval that `interval_of` selects.
fn sends_per_second(interval_of: impl Fn(LinkTiming) -> Millis) -> f64 {
    let defaults = default_settings();
    let same_zone_peers = DAEMONS / ZONES - 1;
    let other_zone_peers = DAEMONS - 1 - same_zone_peers;
    let sends = |peers: u64, interval: Millis| peers as f64 / interval.duration().as_secs_f64();
    sends(same_zone_peers, interval_of(defaults.near))
        + sends(other_zone_peers, interval_of(defaults.far))
}

#[test]
fn heartbeats_and_reports_stay_within_their_share_of_the_control_budget() {
    let heartbeats_per_second = sends_per_second(|timing| timing.heartbeat_interval);
    let reports_per_second = sends_per_second(|timing| timing.report_interval);
    for count in [2, 4, 8, 16] {
        run(async {
            let nodes: Vec<_> = (0..count)
                .map(|n| TestNode::named(&format!("n{n}")))
                .collect();
            let all: Vec<_> = nodes.iter().collect();
            nodes.iter().for_each(|node| node.set_members_to(&all));
            wait_until("all links are up", || {
                let is_up = |status: &PeerStatus| status.connected && status.round_trip.is_some();
                nodes
                    .iter()
                    .all(|node| node.set.statuses().iter().all(is_up))
            })
            .await;
            let interval = relaxed_timing().heartbeat_interval.duration();

            let idle = bytes_per_interval(&nodes, interval, |_| {}).await;
            let busy = bytes_per_interval(&nodes, interval, report).await;

            let idle_rate = idle as f64 * heartbeats_per_second;
            let busy_rate = busy as f64 * reports_per_second;
            println!(
                "{count} daemons: {idle} B a heartbeat and peer, {idle_rate:.0} B/s at {DAEMONS}; \
                 {busy} B a report and peer, {busy_rate:.0} B/s at {DAEMONS}"
            );
            assert!(idle_rate <= HEARTBEAT_BUDGET_BYTES as f64);
            assert!(busy_rate <= REPORT_BUDGET_BYTES as f64);
        });
    }
}

fn default_settings() -> PeerSettings {
    let ours = settings("a");
    PeerSettings::new(
        ours.daemon,
        ours.zone,
        ours.incarnation,
        ours.cluster,
        ours.token,
        ours.listen,
    )
}

#[test]
fn last_heard_from_other_zones_ignores_the_own_zone() {
    run(async {
        let a = TestNode::named("a");
        let same_zone = TestNode::named("b");
        let mut elsewhere = settings("c");
        elsewhere.zone = "zone-b".parse().expect("a zone id");
        let other_zone = TestNode::start(elsewhere);

        a.set_members_to(&[&same_zone]);
        wait_until("the link within the zone is up", || a.is_connected("b")).await;
        let before = a.set.last_heard_from_other_zones();
        a.set_members_to(&[&same_zone, &other_zone]);
        wait_until("the link to the other zone is up", || a.is_connected("c")).await;

        assert_eq!(before, None);
        assert!(a.set.last_heard_from_other_zones().is_some());
    });
}

#[test]
fn counters_are_exported_by_name() {
    run(async {
        let (a, _b) = connected_pair().await;

        let named = a.set.statistics().counters.named();

        let opened = named.iter().find(|counter| counter.name == "links_opened");
        assert_eq!(opened.map(|counter| counter.value), Some(1));
    });
}

#[test]
fn contradictory_settings_are_refused() {
    run(async {
        let mut wrong = settings("a");
        wrong.near.silence_timeout = wrong.near.heartbeat_interval;

        let opened = PeerSet::open(wrong, Rc::new(Recorder::default()));

        assert!(matches!(opened, Err(PeerError::Settings { .. })));
    });
}

#[test]
fn the_boot_clock_is_monotonic() {
    let first = BootClock::now();
    let second = BootClock::now();

    assert!(second >= first);
    assert_eq!(
        first.since(first.plus(Duration::from_secs(1))),
        Duration::ZERO
    );
}

#[test]
fn link_timing_depends_on_the_zone() {
    let defaults = default_settings();
    let elsewhere: ZoneId = "zone-b".parse().expect("a zone id");

    assert_eq!(defaults.link_timing(&defaults.zone), defaults.near);
    assert_eq!(defaults.link_timing(&elsewhere), defaults.far);
}
