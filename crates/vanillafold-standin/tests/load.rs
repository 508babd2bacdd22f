//! The load generator, sending directly to runners and to services that stall or answer wrongly.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use common::{any_port, block_on, post_control, refusing_address, trace_dir, wait_until};
use http::{Request, Response};
use monoio::time::sleep;
use vanillafold_standin::load::{
    Distribution, LoadModel, LoadOptions, LoadStandin, Summary, Target, Work,
};
use vanillafold_standin::process::{accept_each, bind};
use vanillafold_standin::runner::{RunnerOptions, RunnerStandin};
use vanillafold_standin::trace::{ReceivedOutcome, TraceEvent, TraceWriter};
use vanillafold_types::{Connections, Millis, Slots};
use vanillafold_wire::http::{Service, serve_connection, split};

fn start_runner() -> SocketAddr {
    let runner = RunnerStandin::bind(RunnerOptions {
        process: "runner-1".into(),
        vms: vec!["vm-1".parse().expect("a VM")],
        pool: "quotes".parse().expect("a pool"),
        slots: Slots::new(1_000),
        connections: Connections::new(1_000),
        first_vm_address: any_port(),
        control_address: any_port(),
        trace: None,
    })
    .expect("free ports");
    let address = runner.addresses()[0];
    monoio::spawn(runner.serve());
    address
}

/// An HTTP service that answers every request in the same way and counts the requests.
#[derive(Debug, Clone)]
struct FixedService<F> {
    answer: F,
    requests: Rc<Cell<u64>>,
}

impl<F: AsyncFn() -> Option<Response<Bytes>>> Service for FixedService<F> {
    async fn answer(&self, _: Request<Bytes>) -> Option<Response<Bytes>> {
        self.requests.set(self.requests.get() + 1);
        (self.answer)().await
    }
}

/// Starts a service that answers with `answer`; returns its address and the count of requests.
fn start_fixed<F>(answer: F) -> (SocketAddr, Rc<Cell<u64>>)
where
    F: AsyncFn() -> Option<Response<Bytes>> + Clone + 'static,
{
    let requests = Rc::new(Cell::new(0));
    let service = FixedService {
        answer,
        requests: Rc::clone(&requests),
    };
    let listener = bind(any_port()).expect("a free port");
    let address = listener.local_addr().expect("an address");
    monoio::spawn(async move {
        accept_each(&listener, |stream| {
            let service = service.clone();
            monoio::spawn(async move {
                let (reader, writer) = split(stream);
                serve_connection(&service, reader, writer, 1 << 20).await;
            });
        })
        .await;
    });
    (address, requests)
}

/// Starts a service that accepts requests and never answers. It waits for a timer, because the
/// runtime drops a task that nothing can wake, which would close its connection.
fn start_stalled() -> (SocketAddr, Rc<Cell<u64>>) {
    start_fixed(async || {
        sleep(Millis::new(86_400_000).duration()).await;
        None
    })
}

fn open_loop(rate_per_s: f64, connections: usize) -> LoadModel {
    LoadModel::OpenLoop {
        rate_per_s,
        bursts: Vec::new(),
        connections,
    }
}

/// Options for half a second of requests without work, sent directly to runners.
fn options(targets: &[SocketAddr], model: LoadModel) -> LoadOptions {
    let targets = targets.iter().map(|address| Target {
        name: None,
        address: *address,
    });
    LoadOptions {
        process: "load-1".into(),
        seed: 11,
        targets: targets.collect(),
        direct: true,
        model,
        duration_ms: Millis::new(500),
        queues: vec!["quotes".parse().expect("a queue")],
        keys: vec!["cafes=k1.secret".parse().expect("a key")],
        work: Work {
            work_ms: Distribution::Constant(0),
            deadline_ms: Millis::new(20_000),
            ..Work::default()
        },
        repeat_lost: false,
        trace: None,
    }
}

async fn run(options: LoadOptions) -> Summary {
    LoadStandin::new(options).expect("options").run().await
}

fn count(summary: &Summary, outcome: ReceivedOutcome) -> u64 {
    let outcomes = summary.outcomes.iter();
    let of_kind = outcomes.filter(|known| known.outcome == outcome.as_str());
    of_kind.map(|known| known.count).sum()
}

fn response(outcome: &'static str, request: &'static str, body: &'static str) -> Response<Bytes> {
    Response::builder()
        .header("vf-outcome", outcome)
        .header("vf-result-code", "0")
        .header("vf-request-id", request)
        .body(Bytes::from_static(body.as_bytes()))
        .expect("an answer")
}

// --- Arrival times and latency -----------------------------------------------------------------

#[test]
fn arrivals_do_not_wait_for_a_stalled_service() {
    block_on(async {
        let healthy = run(options(&[start_runner()], open_loop(400.0, 4))).await;
        let (stalled, seen) = start_stalled();
        let mut short_deadline = options(&[stalled], open_loop(400.0, 4));
        short_deadline.work.deadline_ms = Millis::new(1_000);
        short_deadline.work.grace_ms = Millis::new(100);

        let summary = run(short_deadline).await;

        assert_eq!(summary.intended, healthy.intended);
        assert_eq!(count(&healthy, ReceivedOutcome::Answer), healthy.intended);
        assert_eq!(count(&summary, ReceivedOutcome::Answer), 0);
        assert_eq!(summary.sent + summary.given_up, summary.intended);
        assert_eq!(summary.other_us.count, summary.intended);
        assert!(summary.most_waiting > 0);
        wait_until("the service has received every request", async || {
            seen.get() == summary.sent
        })
        .await;
    });
}

/// With one connection and 20 ms of work, the n-th request can't be answered before n * 20 ms. This
/// fails if latency counts from the time of sending.
#[test]
fn latency_includes_the_wait_for_a_free_connection() {
    const WORK_MS: u64 = 20;
    block_on(async {
        let mut slow = options(&[start_runner()], open_loop(200.0, 1));
        slow.work.work_ms = Distribution::Constant(WORK_MS);

        let summary = run(slow).await;

        let answers = summary.answer_us.count;
        let min_latency_us = (answers * WORK_MS).saturating_sub(500) * 1_000;
        assert_eq!(answers, summary.intended);
        assert!(summary.answer_us.max >= min_latency_us, "{summary:?}");
        assert!(
            min_latency_us > WORK_MS * 1_000,
            "too few requests to show a wait"
        );
    });
}

#[test]
fn a_closed_loop_keeps_each_connection_busy() {
    block_on(async {
        let model = LoadModel::ClosedLoop { connections: 3 };

        let summary = run(options(&[start_runner()], model)).await;

        assert_eq!(summary.connections, 3);
        assert_eq!(summary.most_waiting, 0);
        assert!(summary.sent >= 3);
        assert_eq!(count(&summary, ReceivedOutcome::Answer), summary.sent);
    });
}

// --- Checks of answers -------------------------------------------------------------------------

#[test]
fn correct_bodies_of_all_sizes_and_framings_pass() {
    for chunked in [false, true] {
        block_on(async {
            let mut mixed = options(&[start_runner()], open_loop(200.0, 16));
            mixed.work.body_bytes = Distribution::Uniform {
                first: 0,
                last: 200_000,
            };
            mixed.work.answer_bytes = Distribution::Exponential { mean: 50_000 };
            mixed.work.echo_share = 0.5;
            mixed.work.chunked = chunked;

            let summary = run(mixed).await;

            assert_eq!(count(&summary, ReceivedOutcome::Answer), summary.intended);
            assert_eq!(summary.wrong_bodies, 0);
            assert_eq!(summary.on_time, summary.intended);
        });
    }
}

#[test]
fn wrong_bodies_and_request_ids_are_counted() {
    block_on(async {
        let (address, _) = start_fixed(async || Some(response("answer", "other", "wrong")));
        let mut to_daemon = options(&[address], open_loop(50.0, 4));
        to_daemon.direct = false;

        let summary = run(to_daemon).await;

        assert!(summary.sent > 0);
        assert_eq!(count(&summary, ReceivedOutcome::Answer), summary.sent);
        assert_eq!(summary.wrong_bodies, summary.sent);
        assert_eq!(summary.wrong_requests, summary.sent);
    });
}

#[test]
fn refusals_are_counted_by_outcome() {
    block_on(async {
        let (address, _) = start_fixed(async || Some(response("not-run", "load-1-1", "")));
        let mut to_daemon = options(&[address], open_loop(50.0, 4));
        to_daemon.direct = false;

        let summary = run(to_daemon).await;

        assert_eq!(count(&summary, ReceivedOutcome::NotRun), summary.sent);
        assert_eq!(summary.answer_us.count, 0);
        assert_eq!(summary.other_us.count, summary.sent);
        assert_eq!(summary.teams[0].sent, summary.sent);
        assert_eq!(summary.teams[0].answers, 0);
    });
}

/// A refusal may arrive while the body is still being sent, after which the service reads no more:
/// the load must not wait until the whole body is sent.
#[test]
fn an_early_refusal_ends_a_large_upload() {
    block_on(async {
        let (address, _) = start_fixed(async || Some(response("not-run", "load-1-1", "")));
        let mut upload = options(&[address], open_loop(20.0, 4));
        upload.direct = false;
        upload.work.body_bytes = Distribution::Constant(64 << 20);

        let summary = run(upload).await;

        assert!(summary.sent > 0);
        assert_eq!(count(&summary, ReceivedOutcome::Answer), 0);
    });
}

// --- Targets -----------------------------------------------------------------------------------

#[test]
fn a_target_that_refuses_connections_is_skipped() {
    block_on(async {
        let summary = run(options(
            &[refusing_address(), start_runner()],
            open_loop(100.0, 8),
        ))
        .await;

        assert_eq!(count(&summary, ReceivedOutcome::Answer), summary.intended);
        assert_eq!(summary.unconnected, 0);
    });
}

#[test]
fn nothing_is_sent_if_no_target_accepts_connections() {
    block_on(async {
        let summary = run(options(&[refusing_address()], open_loop(100.0, 8))).await;

        assert_eq!(summary.sent, 0);
        assert_eq!(summary.unconnected, summary.intended);
    });
}

#[test]
fn a_lost_non_idempotent_request_is_repeated_elsewhere_with_its_id() {
    let dir = trace_dir("repeated_elsewhere");
    let summary = block_on(async {
        let truncating = start_runner();
        post_control(truncating, "/control/mode", "mode=cut").await;
        let mut repeating = options(&[truncating, start_runner()], open_loop(100.0, 8));
        repeating.work.idempotent_share = 0.0;
        repeating.repeat_lost = true;
        let trace = TraceWriter::create(&dir, &repeating.process);
        repeating.trace = Some(trace.expect("a trace"));
        run(repeating).await
    });

    let text = std::fs::read_to_string(dir.join("load-1.jsonl")).expect("a trace");
    std::fs::remove_dir_all(&dir).expect("removed");
    let events: Vec<TraceEvent> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("an event"))
        .collect();
    let cut_first = events.iter().find_map(|event| match event {
        TraceEvent::Received(received) if received.outcome == ReceivedOutcome::Cut => {
            Some(&received.request)
        }
        _ => None,
    });
    let cut_first = cut_first.expect("a truncated answer");
    let sends = events
        .iter()
        .filter(|event| matches!(event, TraceEvent::Sent(sent) if sent.request == *cut_first));
    let ends = events
        .iter()
        .filter(|event| matches!(event, TraceEvent::Received(end) if end.request == *cut_first));
    assert_eq!((sends.count(), ends.count()), (2, 2));
    assert!(summary.repeated > 0);
    assert_eq!(summary.sent, summary.intended + summary.repeated);
    assert_eq!(count(&summary, ReceivedOutcome::Answer), summary.intended);
}

#[test]
fn a_request_that_timed_out_is_repeated_elsewhere() {
    block_on(async {
        let (stalled, _) = start_stalled();
        let mut repeating = options(&[stalled, start_runner()], open_loop(50.0, 64));
        repeating.work.idempotent_share = 0.0;
        repeating.work.deadline_ms = Millis::new(100);
        repeating.work.grace_ms = Millis::new(20);
        repeating.repeat_lost = true;

        let summary = run(repeating).await;

        assert!(summary.repeated > 0);
        let ends = summary.sent + summary.given_up;
        assert_eq!(ends, summary.intended + summary.repeated);
        assert!(summary.sent > summary.intended, "{summary:?}");
    });
}

#[test]
fn every_send_has_one_end_in_the_trace() {
    let dir = trace_dir("one_end");
    let summary = block_on(async {
        let (slow, _) = start_fixed(async || {
            sleep(Millis::new(150).duration()).await;
            Some(response("answer", "load-1-1", ""))
        });
        let mut short_deadline = options(&[slow], open_loop(100.0, 4));
        short_deadline.work.deadline_ms = Millis::new(100);
        short_deadline.work.grace_ms = Millis::new(20);
        let trace = TraceWriter::create(&dir, &short_deadline.process);
        short_deadline.trace = Some(trace.expect("a trace"));
        run(short_deadline).await
    });

    let text = std::fs::read_to_string(dir.join("load-1.jsonl")).expect("a trace");
    std::fs::remove_dir_all(&dir).expect("removed");
    let sends = text
        .lines()
        .filter(|line| line.contains(r#""kind":"sent""#));
    let ends = text
        .lines()
        .filter(|line| line.contains(r#""kind":"received""#));
    let (sends, ends) = (sends.count() as u64, ends.count() as u64);
    assert_eq!((sends, ends), (summary.sent, summary.sent));
    assert!(sends > 0);
}
