//! Peers over loopback sockets, all in one process and on one thread.

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

/// Longest wait for a condition; a test that takes it all has failed.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);
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

async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = BootClock::now().plus(PATIENCE);
    while !condition() {
        assert!(BootClock::now() < deadline, "waited in vain: {what}");
        sleep(POLL).await;
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

/// Patient enough that a busy machine does not cut a link.
fn patient_pace() -> LinkTiming {
    LinkTiming {
        heartbeat_interval: Millis::new(50),
        report_interval: Millis::new(20),
        suspect_after: Millis::new(10_000),
        silence_timeout: Millis::new(20_000),
    }
}

fn brisk_pace() -> LinkTiming {
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
    settings.near = patient_pace();
    settings.far = patient_pace();
    settings.backoff_min = Millis::new(10);
    settings.backoff_max = Millis::new(200);
    settings.refused_backoff = Millis::new(3_600_000);
    settings.connect_timeout = Millis::from(PATIENCE);
    settings.handshake_timeout = Millis::from(PATIENCE);
    settings.request_timeout = Millis::from(PATIENCE);
    settings.close_timeout = Millis::from(PATIENCE);
    settings
}

#[derive(Debug, Clone, PartialEq)]
struct Received {
    from: DaemonId,
    message: PeerMessage,
}

/// Keeps all that it is told; answers custom requests with their bytes reversed.
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

struct Node {
    settings: PeerSettings,
    recorder: Rc<Recorder>,
    set: PeerSet,
}

impl Node {
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

    fn know(&self, others: &[&Self]) {
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

    /// Starts again at the same address, with the next incarnation and no memory.
    async fn restart(self) -> Self {
        let mut settings = self.settings;
        settings.listen = self.set.local_address();
        settings.incarnation = Incarnation::new(settings.incarnation.get() + 1);
        self.set.close().await;
        Self::start(settings)
    }
}

async fn pair() -> (Node, Node) {
    let (a, b) = (Node::named("a"), Node::named("b"));
    a.know(&[&b]);
    b.know(&[&a]);
    until("both links are up", || {
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
struct Relayed {
    silenced: Cell<bool>,
    closed_by_dialler: Cell<bool>,
    closed_by_dialled: Cell<bool>,
}

/// Forwards connections, and can stop forwarding without closing them.
struct Relay {
    address: SocketAddr,
    connections: Rc<RefCell<Vec<Rc<Relayed>>>>,
    /// New connections are silent as well.
    cut: Rc<Cell<bool>>,
}

impl Relay {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(loopback()).expect("the relay listens");
        let relay = Self {
            address: listener.local_addr().expect("an address"),
            connections: Rc::default(),
            cut: Rc::default(),
        };
        let connections = Rc::clone(&relay.connections);
        let cut = Rc::clone(&relay.cut);
        monoio::spawn(forward_all(listener, target, connections, cut));
        relay
    }

    fn silence(&self) {
        for connection in &*self.connections.borrow() {
            connection.silenced.set(true);
        }
    }

    fn count(&self) -> usize {
        self.connections.borrow().len()
    }
}

async fn forward_all(
    listener: TcpListener,
    target: SocketAddr,
    connections: Rc<RefCell<Vec<Rc<Relayed>>>>,
    cut: Rc<Cell<bool>>,
) {
    while let Ok((dialler, _)) = listener.accept().await {
        let Ok(dialled) = TcpStream::connect_addr(target).await else {
            continue;
        };
        let relayed = Rc::new(Relayed::default());
        relayed.silenced.set(cut.get());
        connections.borrow_mut().push(Rc::clone(&relayed));
        let (dialler_read, dialler_write) = dialler.into_split();
        let (dialled_read, dialled_write) = dialled.into_split();
        let up = Rc::clone(&relayed);
        monoio::spawn(async move {
            forward(dialler_read, dialled_write, &up, &up.closed_by_dialler).await;
        });
        monoio::spawn(async move {
            let closed = &relayed.closed_by_dialled;
            forward(dialled_read, dialler_write, &relayed, closed).await;
        });
    }
}

async fn forward(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    link: &Relayed,
    closed: &Cell<bool>,
) {
    let mut buffer = vec![0; 4096];
    loop {
        let (read, data) = from.read(buffer).await;
        let bytes = match read {
            Ok(bytes) if bytes > 0 => bytes,
            _ => break,
        };
        if !link.silenced.get() {
            let (written, _) = to.write_all(data[..bytes].to_vec()).await;
            if written.is_err() {
                break;
            }
        }
        buffer = data;
    }
    closed.set(true);
    if link.silenced.get() {
        // A forgotten flow passes on no close either: keeps the other socket open. A future
        // that nothing can wake would be dropped, and the socket with it.
        sleep(PATIENCE * 2).await;
    }
}

/// A dialler that does what it likes after a hello.
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
        // These connections are meant to fail.
        let _ = connection.await;
    });
    requester
}

fn post(path: &str) -> http::Request<()> {
    let request = http::Request::post(format!("http://peer{path}"));
    request.body(()).expect("a request")
}

async fn raw_link(address: SocketAddr, hello: Vec<u8>) -> RawLink {
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
    let next = monoio::time::timeout(PATIENCE, replies.data()).await;
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
fn links_open_both_ways_and_the_handler_is_told() {
    run(async {
        let (a, b) = pair().await;

        until("a measures a round trip", || {
            let status = a.set.status(&daemon("b"));
            status.is_some_and(|status| status.round_trip.is_some())
        })
        .await;

        let status = a.set.status(&daemon("b")).expect("b is a member");
        assert_eq!(status.incarnation, Some(Incarnation::new(1)));
        until("a's handler is told", || {
            let statuses = a.recorder.statuses.borrow();
            statuses.iter().any(|s| s.connected && s.state.is_alive())
        })
        .await;
        assert_eq!(b.set.statistics().counters.sessions_opened, 1);
    });
}

/// Lets `a` dial `b`, and returns why it was refused and `b`'s counters after `a` had
/// plenty of occasions to try again.
async fn refusal(a: PeerSettings, b: PeerSettings) -> (RefusalReason, Node, Node) {
    let (a, b, c) = (Node::start(a), Node::start(b), Node::named("c"));
    a.know(&[&b, &c]);
    until("a is refused", || {
        matches!(a.last_end("b"), Some(LinkEnd::Refused(_)))
    })
    .await;
    for offset in 1..=20 {
        a.set.send(&daemon("c"), state(offset)).expect("queued");
        until("c hears", || c.count_of(&state(offset)) == 1).await;
    }
    match a.last_end("b") {
        Some(LinkEnd::Refused(reason)) => (reason, a, b),
        other => panic!("expected a refusal, found {other:?}"),
    }
}

#[test]
fn a_wrong_token_is_refused_and_not_tried_again_at_once() {
    run(async {
        let mut b = settings("b");
        b.token = "another".parse().expect("a token");

        // `c` has `a`'s token, so only `b` refuses.
        let (reason, a, b) = refusal(settings("a"), b).await;

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

        let (reason, _a, b) = refusal(settings("a"), b).await;

        assert_eq!(reason, RefusalReason::ClusterName);
        assert_eq!(b.set.statistics().counters.refused_cluster, 1);
    });
}

#[test]
fn an_address_that_another_daemon_has_taken_over_is_refused() {
    run(async {
        let (a, z) = (Node::named("a"), Node::named("z"));
        let mut moved = z.address();
        moved.daemon = daemon("b");

        a.set.set_members(vec![moved]).expect("one member");
        until("a is refused", || a.last_end("b").is_some()).await;

        let found = daemon("z");
        let expected = LinkEnd::Refused(RefusalReason::WrongDaemon { found });
        assert_eq!(a.last_end("b"), Some(expected));
        assert_eq!(z.set.statistics().counters.refused_wrong_daemon, 1);
    });
}

#[test]
fn another_protocol_version_is_refused_whatever_follows_it() {
    run(async {
        let b = Node::named("b");
        let mut later = hello(PROTOCOL_VERSION + 1, "a", "b");
        later.truncate(4 + 4 + 1);
        let later = frame(&later[4..]);

        let link = raw_link(b.set.local_address(), later).await;
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
        let (a, b) = pair().await;
        let messages = [custom(1), PeerMessage::Records(batch(9)), custom(2)];

        for message in &messages {
            a.set.send(&daemon("b"), message.clone()).expect("queued");
        }
        until("b has all", || b.recorder.received.borrow().len() == 3).await;

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
        let (a, _b) = pair().await;
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
fn requests_that_cannot_be_sent_say_why() {
    run(async {
        let a = Node::named("a");
        let b = Node::named("b");
        let mut gone = b.address();
        b.set.close().await;
        gone.daemon = daemon("gone");
        a.set.set_members(vec![gone]).expect("one member");
        let ask = |name: &'static str, bytes| {
            let request = PeerRequest::Custom(vec![0; bytes]);
            let set = &a.set;
            async move { set.request(&daemon(name), request).await }
        };

        let stranger = ask("stranger", 1).await;
        let unconnected = ask("gone", 1).await;
        let large = ask("gone", MAX_CUSTOM_BYTES + 1).await;

        assert!(matches!(stranger, Err(PeerError::UnknownPeer { .. })));
        assert!(matches!(unconnected, Err(PeerError::NotConnected { .. })));
        assert!(matches!(large, Err(PeerError::TooLarge { .. })));
    });
}

#[test]
fn newer_summaries_and_loads_replace_those_that_wait() {
    run(async {
        let (a, b) = pair().await;
        let to = daemon("b");

        for offset in 1..=100 {
            a.set.send(&to, state(offset)).expect("never full");
            let outstanding = u32::try_from(offset).expect("small");
            a.set
                .send(&to, load("vm-1", outstanding))
                .expect("never full");
        }
        a.set.send(&to, load("vm-0", 5)).expect("never full");
        until("both messages came", || {
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
fn what_waits_for_a_peer_is_bounded() {
    run(async {
        let mut small = settings("a");
        small.queue_messages = 8;
        small.max_withdrawals = 2;
        let a = Node::start(small);
        let b = Node::named("b");
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
fn closing_sends_what_waits_and_leaves_no_task() {
    run(async {
        let (a, b) = pair().await;
        // More than the flow-control window of a connection.
        let large = PeerMessage::Custom(vec![1; 2 * 1024]);
        for _ in 0..100 {
            a.set.send(&daemon("b"), large.clone()).expect("queued");
        }

        a.set.close().await;

        until("b has all", || b.count_of(&large) == 100).await;
        until("b sees that a went", || {
            b.last_end("a").is_some() && !b.is_connected("a")
        })
        .await;
        b.set.set_members(Vec::new()).expect("none");
        until("only the listener and the supervisor run", || {
            b.set.statistics().tasks == 2
        })
        .await;
    });
}

#[test]
fn a_removed_member_is_let_go_and_an_added_one_dialled() {
    run(async {
        let (a, b) = pair().await;
        let c = Node::named("c");

        a.know(&[&c]);
        until("c is connected", || a.is_connected("c")).await;

        assert_eq!(a.set.status(&daemon("b")), None);
        let refused = a.set.send(&daemon("b"), custom(1));
        assert!(matches!(refused, Err(PeerError::UnknownPeer { .. })));
        until("b's session ended", || {
            b.set.statistics().counters.closed_by_peer >= 1
        })
        .await;
    });
}

// Withdrawals.

#[test]
fn a_withdrawal_reaches_all_once_also_through_others() {
    run(async {
        let nodes = ["a", "b", "c", "d"].map(Node::named);
        let [a, b, c, d] = &nodes;
        // A ring: nobody knows the one across.
        a.know(&[b, d]);
        b.know(&[a, c]);
        c.know(&[b, d]);
        d.know(&[a, c]);

        a.set.broadcast(withdrawal("k1")).expect("room");
        a.set.broadcast(withdrawal("k1")).expect("known");
        let told = |node: &Node| node.count_of(&withdrawal("k1"));
        until("all others know", || {
            nodes[1..].iter().all(|node| told(node) == 1)
        })
        .await;
        // What still travels arrives before a later message on the same links.
        for (from, to) in [(b, c), (c, b), (d, c), (c, d), (b, a), (d, a)] {
            let to_daemon = &to.settings.daemon;
            from.set.send(to_daemon, custom(9)).expect("queued");
        }
        until("the later messages came", || {
            let came = nodes.each_ref().map(|node| node.count_of(&custom(9)));
            came == [2, 1, 2, 1]
        })
        .await;

        assert_eq!(nodes.each_ref().map(told), [0, 1, 1, 1]);
        let learnt = |node: &Node| node.set.statistics().counters.withdrawals_learnt;
        assert_eq!(nodes.each_ref().map(learnt), [1, 1, 1, 1]);
    });
}

#[test]
fn a_withdrawal_is_sent_when_the_peer_is_back_and_again_after_its_restart() {
    run(async {
        let (a, b) = pair().await;
        let address = b.address();
        let settings = b.settings.clone();
        b.set.close().await;

        a.set.broadcast(withdrawal("k1")).expect("room");
        let mut later = settings;
        later.listen = address.address;
        later.incarnation = Incarnation::new(2);
        let b = Node::start(later);
        until("b knows", || b.count_of(&withdrawal("k1")) == 1).await;
        let b = b.restart().await;
        until("b knows again", || b.count_of(&withdrawal("k1")) == 1).await;

        assert_eq!(b.settings.incarnation, Incarnation::new(3));
    });
}

#[test]
fn a_withdrawal_that_is_folded_starts_no_new_flood() {
    run(async {
        let (a, b) = pair().await;
        b.recorder.folded.borrow_mut().push(key("k1"));

        a.set.broadcast(withdrawal("k1")).expect("room");
        until("b has seen it", || {
            b.set.statistics().counters.withdrawals_repeated == 1
        })
        .await;

        assert_eq!(b.set.statistics().counters.withdrawals_learnt, 0);
        assert_eq!(b.count_of(&withdrawal("k1")), 0);
    });
}

// Restarts and silence.

#[test]
fn a_restarted_peer_is_dialled_again_and_its_incarnation_known() {
    run(async {
        let (a, b) = pair().await;

        let b = b.restart().await;
        b.know(&[&a]);
        until("a sees the new incarnation", || {
            let status = a.set.status(&daemon("b"));
            a.is_connected("b")
                && status.is_some_and(|s| s.incarnation == Some(Incarnation::new(2)))
        })
        .await;
        a.set.send(&daemon("b"), custom(1)).expect("queued");

        until("messages flow", || b.count_of(&custom(1)) == 1).await;
    });
}

#[test]
fn a_peer_that_dials_in_is_dialled_back_without_waiting() {
    run(async {
        let mut slow = settings("a");
        slow.backoff_min = Millis::new(3_600_000);
        slow.backoff_max = slow.backoff_min;
        let a = Node::start(slow);
        let b = Node::named("b");
        let mut absent = b.settings.clone();
        absent.listen = b.set.local_address();
        a.know(&[&b]);
        b.set.close().await;
        until("a's dial fails", || a.last_end("b").is_some()).await;

        let b = Node::start(absent);
        b.know(&[&a]);

        until("a has dialled back", || a.is_connected("b")).await;
    });
}

#[test]
fn an_older_incarnation_is_refused() {
    run(async {
        let (a, b) = pair().await;
        let mut new = b.settings.clone();
        new.incarnation = Incarnation::new(2);
        let new = Node::start(new);
        new.know(&[&a]);
        until("the new start is known", || new.is_connected("a")).await;

        // Makes the old start dial again.
        b.set.set_members(Vec::new()).expect("none");
        b.know(&[&a]);
        until("the old start is refused", || {
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
fn a_connection_that_goes_silent_is_closed_and_replaced() {
    run(async {
        let mut brisk = settings("a");
        brisk.near = brisk_pace();
        let a = Node::start(brisk);
        let b = Node::named("b");
        let relay = Relay::start(b.set.local_address());
        let mut through = b.address();
        through.address = relay.address;
        a.set.set_members(vec![through]).expect("one member");
        until("the link is up", || a.is_connected("b")).await;
        let before = relay.count();

        relay.silence();
        a.set.broadcast(withdrawal("lost")).expect("room");
        until("the silence is noticed", || {
            a.set.statistics().counters.silent_links >= 1
        })
        .await;
        until("a new connection is up", || {
            relay.count() > before && a.is_connected("b")
        })
        .await;
        a.set.broadcast(withdrawal("k1")).expect("room");

        until("messages flow", || b.count_of(&withdrawal("k1")) == 1).await;
        until("what was lost is sent again", || {
            b.count_of(&withdrawal("lost")) == 1
        })
        .await;
        let connections = relay.connections.borrow().clone();
        until("the old socket is closed", || {
            connections[0].closed_by_dialler.get()
        })
        .await;
    });
}

#[test]
fn a_request_on_a_connection_that_goes_silent_ends_with_the_connection() {
    run(async {
        let mut brisk = settings("a");
        brisk.near = brisk_pace();
        brisk.request_timeout = Millis::from(PATIENCE * 2);
        let a = Node::start(brisk);
        let b = Node::named("b");
        let relay = Relay::start(b.set.local_address());
        let mut through = b.address();
        through.address = relay.address;
        a.set.set_members(vec![through]).expect("one member");
        until("the link is up", || a.is_connected("b")).await;

        relay.silence();
        let to = daemon("b");
        let request = a.set.request(&to, PeerRequest::Custom(vec![1]));
        let answer = monoio::time::timeout(PATIENCE, request).await;

        let answer = answer.expect("ends long before its own timeout");
        assert!(matches!(answer, Err(PeerError::Link { .. })));
        assert_eq!(a.set.statistics().counters.requests_failed, 1);
    });
}

#[test]
fn a_cut_peer_becomes_silent_and_alive_again_when_the_cut_heals() {
    run(async {
        let mut brisk = settings("a");
        brisk.near = brisk_pace();
        brisk.handshake_timeout = Millis::new(200);
        let a = Node::start(brisk);
        let b = Node::named("b");
        let relay = Relay::start(b.set.local_address());
        let mut through = b.address();
        through.address = relay.address;
        a.set.set_members(vec![through]).expect("one member");
        until("the link is up", || a.is_connected("b")).await;

        relay.cut.set(true);
        relay.silence();
        until("the handler is told of the silence", || {
            let told = a.recorder.statuses.borrow();
            let last = told.last().expect("told before");
            last.state.is_silent() && last.last_heard.is_some() && !last.connected
        })
        .await;
        a.set.broadcast(withdrawal("k1")).expect("room");
        relay.cut.set(false);
        until("the link is up again", || a.is_connected("b")).await;

        until("what waited came", || b.count_of(&withdrawal("k1")) == 1).await;
    });
}

#[test]
fn silence_shows_in_the_state_as_soon_as_a_frozen_process_looks() {
    run(async {
        let mut brisk = settings("a");
        brisk.near = brisk_pace();
        let a = Node::start(brisk);
        let b = Node::named("b");
        a.know(&[&b]);
        until("the link is up", || a.is_connected("b")).await;

        // Stands in for a stop signal: nothing of this process runs meanwhile.
        std::thread::sleep(Duration::from_millis(1_500));
        let on_waking = a.set.status(&daemon("b")).expect("a member");

        assert!(on_waking.state.is_silent());
        until("the pause is counted", || {
            let counters = a.set.statistics().counters;
            counters.pauses >= 1 && counters.last_pause_ms > 0
        })
        .await;
        until("the link is up again", || a.is_connected("b")).await;
    });
}

// Peers that misbehave.

#[test]
fn a_peer_that_accepts_and_never_answers_is_given_up() {
    run(async {
        let mut hasty = settings("a");
        hasty.handshake_timeout = Millis::new(100);
        let a = Node::start(hasty);
        let mute = TcpListener::bind(loopback()).expect("listens");
        let member = PeerAddress {
            daemon: daemon("mute"),
            zone: ZONE.parse().expect("a zone id"),
            address: mute.local_addr().expect("an address"),
        };

        a.set.set_members(vec![member]).expect("one member");
        until("it is tried and given up again", || {
            a.set.statistics().counters.handshake_timeouts >= 2
        })
        .await;

        assert_eq!(a.last_end("mute"), Some(LinkEnd::HandshakeTimeout));
        assert_eq!(a.set.statistics().counters.links_opened, 0);
    });
}

#[test]
fn a_dialler_that_says_nothing_is_cut_off() {
    run(async {
        let mut hasty = settings("b");
        hasty.handshake_timeout = Millis::new(100);
        let b = Node::start(hasty);

        // One says nothing at all, one opens HTTP/2 and then says nothing.
        let mut mute = TcpStream::connect_addr(b.set.local_address())
            .await
            .expect("connects");
        let _opened = raw_requester(b.set.local_address()).await;
        until("both are given up", || {
            b.set.statistics().counters.handshake_timeouts == 2
        })
        .await;

        let (read, _) = mute.read(vec![0; 1024]).await;
        assert!(read.is_err() || read.is_ok_and(|bytes| bytes < 1024));
        until("their tasks have ended", || b.set.statistics().tasks == 2).await;
    });
}

#[test]
fn a_dialler_that_goes_silent_after_its_hello_is_cut_off() {
    run(async {
        let mut brisk = settings("b");
        brisk.near = brisk_pace();
        // The hello ends this wait: it must not outlast the silence timeout.
        brisk.handshake_timeout = Millis::from(PATIENCE * 2);
        let b = Node::start(brisk);

        let link = raw_link(b.set.local_address(), hello(PROTOCOL_VERSION, "a", "b")).await;
        until("it is taken", || {
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
        let b = Node::named("b");
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

/// Sends bytes after a good hello, and waits until the connection is cut.
async fn send_after_hello(address: SocketAddr, bytes: Vec<u8>) {
    let mut link = raw_link(address, hello(PROTOCOL_VERSION, "a", "b")).await;
    link.stream.send_data(bytes.into(), true).expect("sends");
    drain(link.replies).await;
    drop(link.requester);
}

#[test]
fn oversized_and_unreadable_frames_end_the_link_and_are_counted() {
    run(async {
        let b = Node::named("b");
        let address = b.set.local_address();
        let too_long = u32::try_from(MAX_MESSAGE_BYTES + 1).expect("fits");

        send_after_hello(address, too_long.to_be_bytes().to_vec()).await;
        until("the length is refused", || {
            b.set.statistics().counters.oversized_frames == 1
        })
        .await;
        send_after_hello(address, frame(&[255; 40])).await;
        // A vector that claims more than the frame holds: message, records, huge count.
        send_after_hello(
            address,
            frame(&[1, 3, 0, 1, 253, 255, 255, 255, 255, 255, 255, 255, 0]),
        )
        .await;
        // Ends within a frame.
        send_after_hello(address, vec![0, 0, 0, 9, 1]).await;
        // A heartbeat, and a byte left over.
        send_after_hello(address, frame(&[0, 1, 77])).await;

        until("the contents are refused", || {
            b.set.statistics().counters.malformed_frames == 4
        })
        .await;
        assert_eq!(b.set.statistics().counters.messages_received, 0);
    });
}

#[test]
fn bytes_that_are_not_http2_end_the_connection() {
    run(async {
        let b = Node::named("b");
        let mut tcp = TcpStream::connect_addr(b.set.local_address())
            .await
            .expect("connects");

        let (sent, _) = tcp.write_all(b"GET / HTTP/1.1\r\n\r\n".to_vec()).await;

        sent.expect("written");
        until("it is counted", || {
            b.set.statistics().counters.http2_failures == 1
        })
        .await;
    });
}

#[test]
fn random_frames_never_stop_a_daemon() {
    const FRAMES: u64 = 100;
    const MAX_RANDOM_BYTES: usize = 200;
    run(async {
        let b = Node::named("b");
        for seed in 0..FRAMES {
            let mut random = Gen::from_size_and_seed(MAX_RANDOM_BYTES, seed);
            let payload = Vec::<u8>::arbitrary(&mut random);
            send_after_hello(b.set.local_address(), frame(&payload)).await;
        }

        let a = Node::named("a");
        a.know(&[&b]);
        until("a good peer still gets in", || a.is_connected("b")).await;
        let counters = b.set.statistics().counters;
        assert_eq!(counters.sessions_opened, FRAMES + 1);
    });
}

// Traffic.

/// Bytes a second that a daemon may use for control, both ways.
const CONTROL_BUDGET_BYTES: u64 = 24_000;
/// The part of it that heartbeats alone may take.
const HEARTBEAT_BUDGET_BYTES: u64 = CONTROL_BUDGET_BYTES / 4;
/// The part of it that heartbeats and reports may take.
const REPORT_BUDGET_BYTES: u64 = CONTROL_BUDGET_BYTES / 2;
const DAEMONS: u64 = 64;
const ZONES: u64 = 32;
const ROUNDS: u32 = 20;
/// VMs whose load changes between two reports.
const CHANGED_VMS: usize = 4;

/// Socket bytes of one daemon, both ways and on both connections, for each peer and each
/// `interval`; all daemons speak in each interval.
async fn bytes_per_interval(nodes: &[Node], interval: Duration, speak: impl Fn(&Node)) -> u64 {
    let total = |node: &Node| {
        let statistics = node.set.statistics();
        statistics.sent_bytes + statistics.received_bytes
    };
    let (bytes_before, started) = (total(&nodes[0]), BootClock::now());
    for _ in 0..ROUNDS {
        nodes.iter().for_each(&speak);
        sleep(interval).await;
    }
    let elapsed = BootClock::now().since(started);
    let intervals = elapsed.as_secs_f64() / interval.as_secs_f64();
    let peers = (nodes.len() - 1) as f64;
    ((total(&nodes[0]) - bytes_before) as f64 / (intervals * peers)).ceil() as u64
}

fn report(node: &Node) {
    let entries = (0..CHANGED_VMS).map(|n| LoadEntry {
        vm: format!("zone-a-vm-{n:04}").parse().expect("a VM id"),
        outstanding: 300,
    });
    let entries = entries.collect();
    let report = PeerMessage::LoadReport(LoadReport { entries });
    node.set.broadcast(report).expect("never full");
    node.set.broadcast(state(40_000_000)).expect("never full");
}

/// How many times a second a daemon speaks to all its peers at the largest size.
fn turns_a_second(pace: impl Fn(LinkTiming) -> Millis) -> f64 {
    let defaults = settings_with_default_pace();
    let near_peers = DAEMONS / ZONES - 1;
    let far_peers = DAEMONS - 1 - near_peers;
    let turns = |peers: u64, interval: Millis| peers as f64 / interval.duration().as_secs_f64();
    turns(near_peers, pace(defaults.near)) + turns(far_peers, pace(defaults.far))
}

#[test]
fn heartbeats_and_reports_fit_in_their_part_of_the_control_budget() {
    let heartbeats_a_second = turns_a_second(|pace| pace.heartbeat_interval);
    let reports_a_second = turns_a_second(|pace| pace.report_interval);
    for count in [2, 4, 8, 16] {
        run(async {
            let nodes: Vec<_> = (0..count).map(|n| Node::named(&format!("n{n}"))).collect();
            let everybody: Vec<_> = nodes.iter().collect();
            nodes.iter().for_each(|node| node.know(&everybody));
            until("all links are up", || {
                let up = |status: &PeerStatus| status.connected && status.round_trip.is_some();
                nodes.iter().all(|node| node.set.statuses().iter().all(up))
            })
            .await;
            let interval = patient_pace().heartbeat_interval.duration();

            let idle = bytes_per_interval(&nodes, interval, |_| {}).await;
            let busy = bytes_per_interval(&nodes, interval, report).await;

            let idle_rate = idle as f64 * heartbeats_a_second;
            let busy_rate = busy as f64 * reports_a_second;
            println!(
                "{count} daemons: {idle} B a heartbeat and peer, {idle_rate:.0} B/s at {DAEMONS}; \
                 {busy} B a report and peer, {busy_rate:.0} B/s at {DAEMONS}"
            );
            assert!(idle_rate <= HEARTBEAT_BUDGET_BYTES as f64);
            assert!(busy_rate <= REPORT_BUDGET_BYTES as f64);
        });
    }
}

fn settings_with_default_pace() -> PeerSettings {
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
fn word_from_other_zones_is_told_from_word_from_the_own() {
    run(async {
        let a = Node::named("a");
        let near = Node::named("b");
        let mut elsewhere = settings("c");
        elsewhere.zone = "zone-b".parse().expect("a zone id");
        let far = Node::start(elsewhere);

        a.know(&[&near]);
        until("the near link is up", || a.is_connected("b")).await;
        let before = a.set.last_heard_from_other_zones();
        a.know(&[&near, &far]);
        until("the far link is up", || a.is_connected("c")).await;

        assert_eq!(before, None);
        assert!(a.set.last_heard_from_other_zones().is_some());
    });
}

#[test]
fn counters_are_exported_by_name() {
    run(async {
        let (a, _b) = pair().await;

        let named = a.set.statistics().counters.named();

        let opened = named.iter().find(|counter| counter.name == "links_opened");
        assert_eq!(opened.map(|counter| counter.value), Some(1));
    });
}

#[test]
fn settings_that_contradict_each_other_are_refused() {
    run(async {
        let mut wrong = settings("a");
        wrong.near.silence_timeout = wrong.near.heartbeat_interval;

        let opened = PeerSet::open(wrong, Rc::new(Recorder::default()));

        assert!(matches!(opened, Err(PeerError::Settings { .. })));
    });
}

#[test]
fn the_boot_clock_does_not_go_back() {
    let first = BootClock::now();
    let second = BootClock::now();

    assert!(second >= first);
    assert_eq!(
        first.since(first.plus(Duration::from_secs(1))),
        Duration::ZERO
    );
}

#[test]
fn a_zone_has_its_own_pace() {
    let defaults = settings_with_default_pace();
    let elsewhere: ZoneId = "zone-b".parse().expect("a zone id");

    assert_eq!(defaults.link_timing(&defaults.zone), defaults.near);
    assert_eq!(defaults.link_timing(&elsewhere), defaults.far);
}
