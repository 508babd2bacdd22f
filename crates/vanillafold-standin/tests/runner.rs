//! Tests of the stand-in runner over HTTP: answers, limits, fault modes, reboots and its trace.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use common::{any_port, block_on, headers, post_control, request, trace_dir, wait_until};
use http::{HeaderMap, Method, Response, StatusCode};
use monoio::net::TcpStream;
use monoio::task::JoinHandle;
use vanillafold_standin::runner::{RunnerOptions, RunnerStandin, RunnerStats};
use vanillafold_standin::trace::{AnswerChecker, BodyVerdict, TraceEvent, TraceWriter};
use vanillafold_types::{Connections, Slots};
use vanillafold_wire::http::{
    BodyReader, ClientError, Framing, HttpReader, HttpWriter, encode_request_head,
    response_framing, split,
};

/// A runner of one VM with 2 slots and 4 connections.
#[derive(Debug, Clone, Copy)]
struct Runner {
    address: SocketAddr,
    control_address: SocketAddr,
}

fn start() -> Runner {
    start_traced(None)
}

fn start_traced(trace: Option<TraceWriter>) -> Runner {
    let runner = RunnerStandin::bind(RunnerOptions {
        process: "runner-1".into(),
        vms: vec!["vm-1".parse().expect("a VM")],
        pool: "quotes".parse().expect("a pool"),
        slots: Slots::new(2),
        connections: Connections::new(4),
        first_vm_address: any_port(),
        control_address: any_port(),
        trace,
    })
    .expect("free ports");
    let address = runner.addresses()[0];
    let control_address = runner.control_address().expect("an address");
    monoio::spawn(runner.serve());
    Runner {
        address,
        control_address,
    }
}

impl Runner {
    async fn set_mode(&self, body: &str) {
        post_control(self.control_address, "/control/mode", body).await;
    }

    async fn stats(&self) -> RunnerStats {
        let path = "/control/stats";
        let answer = request(
            self.control_address,
            Method::GET,
            path,
            &HeaderMap::new(),
            "",
        )
        .await
        .expect("stats");
        serde_json::from_slice(answer.body()).expect("stats")
    }

    async fn wait_for_stats(&self, what: &str, holds: impl Fn(&RunnerStats) -> bool) {
        wait_until(what, async || holds(&self.stats().await)).await;
    }

    async fn work(&self, pairs: &[(&'static str, &str)]) -> Result<Response<Bytes>, ClientError> {
        let headers = headers(pairs);
        request(self.address, Method::POST, "/work", &headers, "body").await
    }

    async fn health_check(&self) -> Response<Bytes> {
        request(
            self.address,
            Method::GET,
            "/vf-health",
            &HeaderMap::new(),
            "",
        )
        .await
        .expect("an answer")
    }

    /// Sends a request and returns a handle to its answer's status; `None` if there is no answer.
    fn spawn_work(self, pairs: &'static [(&'static str, &str)]) -> JoinHandle<Option<StatusCode>> {
        monoio::spawn(async move {
            let answer = self.work(pairs).await.ok()?;
            Some(answer.status())
        })
    }
}

fn status_and_refusal(answer: &Response<Bytes>) -> (StatusCode, Option<&[u8]>) {
    let reason = answer.headers().get("vf-not-run");
    (answer.status(), reason.map(http::HeaderValue::as_bytes))
}

fn body_verdict(request: &str, bytes: u64, body: &[u8]) -> BodyVerdict {
    let mut checker = AnswerChecker::new(request, bytes);
    checker.push(body);
    checker.finish()
}

// --- Answers -----------------------------------------------------------------------------------

#[test]
fn an_answer_has_the_body_that_the_request_asks_for() {
    const BYTES: u64 = 300_000;
    for chunked in ["false", "true"] {
        block_on(async {
            let runner = start();

            let answer = runner
                .work(&[
                    ("vf-request-id", "r-1"),
                    ("work-ms", "1"),
                    ("answer-bytes", "300000"),
                    ("answer-chunked", chunked),
                ])
                .await
                .expect("an answer");

            assert_eq!(answer.status(), 200);
            assert_eq!(
                body_verdict("r-1", BYTES, answer.body()),
                BodyVerdict::Whole
            );
            assert_eq!(answer.headers()["vf-load"], "0");
        });
    }
}

#[test]
fn a_head_request_gets_no_body() {
    block_on(async {
        let runner = start();
        let headers = headers(&[("answer-bytes", "100"), ("vf-request-id", "r-1")]);

        let answer = request(runner.address, Method::HEAD, "/work", &headers, "")
            .await
            .expect("an answer");

        assert_eq!((answer.status(), answer.body().len()), (StatusCode::OK, 0));
    });
}

#[test]
fn a_malformed_work_header_is_refused() {
    block_on(async {
        let answer = start().work(&[("work-ms", "soon")]).await;

        assert_eq!(answer.expect("an answer").status(), 400);
    });
}

async fn send_piece(writer: &mut HttpWriter, framing: Framing, piece: Bytes) {
    writer.write_body_piece(framing, piece).await.expect("sent");
    writer.flush().await.expect("sent");
}

async fn read_echo(body: &mut BodyReader, reader: &mut HttpReader, bytes: usize) -> Vec<u8> {
    let mut echoed = Vec::new();
    while echoed.len() < bytes {
        let piece = body.next(reader).await.expect("a body");
        echoed.extend_from_slice(&piece.expect("a piece"));
    }
    echoed
}

/// Each piece is sent only after the one before has come back, so a runner that collected the body
/// before it answered would block the test.
#[test]
fn an_echo_streams_back_while_the_body_arrives() {
    const PIECE: usize = 64 * 1024;
    const PIECES: usize = 256;
    for framing in [Framing::Chunked, Framing::Length((PIECE * PIECES) as u64)] {
        block_on(async {
            let runner = start();
            let stream = TcpStream::connect_addr(runner.address).await.expect("open");
            let (mut reader, mut writer) = split(stream);
            let headers = headers(&[("work-echo", "true"), ("vf-request-id", "r-1")]);
            encode_request_head(
                writer.buffer(),
                &Method::POST,
                "/work",
                headers.iter(),
                framing,
            );
            writer.flush().await.expect("sent");
            let head = reader.read_response_head().await.expect("a head");
            let answered = response_framing(&Method::POST, head.status, &head.headers);
            let mut body = BodyReader::new(answered.expect("a framing"));

            for index in 0..PIECES {
                let piece = vec![u8::try_from(index % 251).expect("a byte"); PIECE];
                send_piece(&mut writer, framing, piece.clone().into()).await;
                let back = read_echo(&mut body, &mut reader, PIECE).await;
                assert!(piece == back, "piece {index} differs");
            }
            writer.write_body_end(framing);
            writer.flush().await.expect("sent");

            let rest = body.next(&mut reader).await.expect("the end");
            assert_eq!(rest, None);
            assert_eq!(answered, Ok(framing));
        });
    }
}

// --- Slots and connections ---------------------------------------------------------------------

#[test]
fn work_over_the_slots_is_refused_as_busy() {
    block_on(async {
        let runner = start();
        runner.set_mode("mode=hang").await;
        let first = runner.spawn_work(&[]);
        let second = runner.spawn_work(&[]);
        runner
            .wait_for_stats("both slots are in use", |stats| stats.slots == 2)
            .await;

        let third = runner.work(&[]).await.expect("an answer");
        runner.set_mode("mode=normal").await;

        assert_eq!(
            status_and_refusal(&third),
            (StatusCode::SERVICE_UNAVAILABLE, Some(&b"busy"[..]))
        );
        assert_eq!(third.headers()["vf-load"], "2");
        assert_eq!((first.await, second.await), (None, None));
        let stats = runner.stats().await;
        assert_eq!((stats.requests, stats.most_slots, stats.slots), (2, 2, 0));
        assert_eq!(stats.refused_busy, 1);
    });
}

#[test]
fn connections_over_the_limit_are_closed_at_once() {
    block_on(async {
        let runner = start();
        let mut open = Vec::new();
        for _ in 0..4 {
            let stream = TcpStream::connect_addr(runner.address).await;
            open.push(stream.expect("open"));
        }
        runner
            .wait_for_stats("all four connections are open", |stats| {
                stats.connections == 4
            })
            .await;

        let refused = runner.work(&[]).await;
        drop(open.pop());
        runner
            .wait_for_stats("one connection is closed", |stats| stats.connections == 3)
            .await;
        let accepted = runner.work(&[]).await;

        assert!(refused.is_err(), "{refused:?}");
        assert_eq!(accepted.expect("an answer").status(), 200);
        let stats = runner.stats().await;
        assert_eq!((stats.refused_connections, stats.most_connections), (1, 4));
    });
}

#[test]
fn work_goes_on_after_its_connection_has_closed() {
    block_on(async {
        let runner = start();
        let stream = TcpStream::connect_addr(runner.address).await.expect("open");
        let (reader, mut writer) = split(stream);
        let headers = headers(&[("work-ms", "60000")]);
        let (method, framing) = (Method::GET, Framing::Empty);
        encode_request_head(writer.buffer(), &method, "/work", headers.iter(), framing);
        writer.flush().await.expect("sent");
        runner
            .wait_for_stats("the work runs", |stats| stats.slots == 1)
            .await;

        writer.close().await;
        drop(reader);

        runner
            .wait_for_stats("the connection is closed and the work runs", |stats| {
                stats.connections == 0 && stats.slots == 1
            })
            .await;
    });
}

// --- Modes -------------------------------------------------------------------------------------

#[test]
fn a_leaving_runner_refuses_new_work_and_finishes_running_work() {
    block_on(async {
        let runner = start();
        let running = runner.spawn_work(&[("work-ms", "300")]);
        runner
            .wait_for_stats("the work runs", |stats| stats.slots == 1)
            .await;
        runner.set_mode("leaving=true").await;

        let refused = runner.work(&[]).await.expect("an answer");
        let health_check = runner.health_check().await;
        let finished = running.await;
        runner.set_mode("leaving=false").await;
        let accepted = runner.work(&[]).await.expect("an answer");

        let leaving = (StatusCode::SERVICE_UNAVAILABLE, Some(&b"leaving"[..]));
        assert_eq!(status_and_refusal(&refused), leaving);
        assert_eq!(status_and_refusal(&health_check), leaving);
        assert_eq!(finished, Some(StatusCode::OK));
        assert_eq!(accepted.status(), 200);
    });
}

#[test]
fn a_failing_runner_fails_work_and_a_black_hole_passes_health_checks() {
    block_on(async {
        let runner = start();

        runner.set_mode("mode=fail").await;
        let failed = runner.work(&[]).await.expect("an answer").status();
        let failed_health_check = runner.health_check().await.status();
        runner.set_mode("mode=blackhole").await;
        let black_hole = runner.work(&[]).await.expect("an answer").status();
        let black_hole_health_check = runner.health_check().await.status();

        assert_eq!((failed.as_u16(), failed_health_check.as_u16()), (500, 500));
        assert_eq!(
            (black_hole.as_u16(), black_hole_health_check.as_u16()),
            (500, 200)
        );
        assert_eq!(runner.stats().await.requests, 2);
    });
}

#[test]
fn a_cut_answer_is_an_error_for_the_caller() {
    for (bytes, chunked) in [
        ("0", "false"),
        ("1", "false"),
        ("100000", "false"),
        ("0", "true"),
    ] {
        block_on(async {
            let runner = start();
            runner.set_mode("mode=cut").await;

            let cut = runner
                .work(&[("answer-bytes", bytes), ("answer-chunked", chunked)])
                .await;

            assert!(
                matches!(cut, Err(ClientError::Body(_) | ClientError::Head(_))),
                "{cut:?}"
            );
        });
    }
}

#[test]
fn a_refusing_runner_closes_new_connections() {
    block_on(async {
        let runner = start();
        runner.set_mode("mode=refuse").await;

        let refused = runner.work(&[]).await;
        runner.set_mode("mode=normal").await;
        let accepted = runner.work(&[]).await;

        assert!(refused.is_err(), "{refused:?}");
        assert_eq!(accepted.expect("an answer").status(), 200);
        assert_eq!(runner.stats().await.requests, 1);
    });
}

#[test]
fn a_hanging_request_ends_with_its_connection() {
    block_on(async {
        let runner = start();
        runner.set_mode("mode=hang").await;
        let stream = TcpStream::connect_addr(runner.address).await.expect("open");
        let (reader, mut writer) = split(stream);
        let (method, headers) = (Method::GET, HeaderMap::new());
        let framing = Framing::Empty;
        encode_request_head(writer.buffer(), &method, "/work", headers.iter(), framing);
        writer.flush().await.expect("sent");
        runner
            .wait_for_stats("the request hangs", |stats| stats.slots == 1)
            .await;

        writer.close().await;
        drop(reader);

        runner
            .wait_for_stats("the request has ended", |stats| stats.slots == 0)
            .await;
    });
}

#[test]
fn a_reboot_ends_running_work_and_refuses_connections() {
    block_on(async {
        let runner = start();
        let running = runner.spawn_work(&[("work-ms", "60000")]);
        runner
            .wait_for_stats("the work runs", |stats| stats.slots == 1)
            .await;
        runner.set_mode("leaving=true").await;

        post_control(
            runner.control_address,
            "/control/reboot?vm=vm-1",
            "reboot_ms=30000",
        )
        .await;
        let interrupted = running.await;
        let refused = runner.work(&[]).await;

        assert_eq!(interrupted, None);
        assert!(refused.is_err(), "{refused:?}");
        assert_eq!(runner.stats().await.slots, 0);
    });
}

#[test]
fn a_rebooted_runner_has_its_default_mode_and_is_not_leaving() {
    block_on(async {
        let runner = start();
        runner.set_mode("leaving=true\nmode=fail").await;

        post_control(runner.address, "/control/reboot", "reboot_ms=1").await;

        wait_until("the rebooted runner answers 200", async || {
            let answer = runner.work(&[]).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    });
}

// --- Traces ------------------------------------------------------------------------------------

#[test]
fn starts_and_ends_are_traced() {
    let dir = trace_dir("starts_and_ends_are_traced");
    let trace = TraceWriter::create(&dir, &"runner-1".into()).expect("a trace");
    block_on(async {
        let runner = start_traced(Some(trace));
        runner
            .work(&[
                ("vf-request-id", "r-1"),
                ("vf-attempt", "2"),
                ("vf-team", "cafes"),
                ("vf-idempotent", "true"),
            ])
            .await
            .expect("an answer");
        runner.set_mode("mode=cut").await;
        let _ = runner.work(&[("vf-request-id", "r-2")]).await;
        runner.set_mode("leaving=true").await;
        runner.set_mode("leaving=false").await;
    });

    let seen = std::fs::read_to_string(dir.join("runner-1.jsonl")).expect("a trace");
    std::fs::remove_dir_all(&dir).expect("removed");
    let events: Vec<TraceEvent> = seen
        .lines()
        .map(|line| serde_json::from_str(line).expect("an event"))
        .collect();

    let [
        TraceEvent::Start(start),
        TraceEvent::End(end),
        TraceEvent::Start(_),
        TraceEvent::End(cut),
        TraceEvent::VmDown(down),
        TraceEvent::VmUp(up),
    ] = &events[..]
    else {
        panic!("{events:?}");
    };
    assert_eq!(start.request.as_str(), "r-1");
    assert_eq!((start.attempt, start.idempotent), (2, true));
    assert_eq!(
        start
            .team
            .as_ref()
            .map(vanillafold_standin::trace::TeamName::as_str),
        Some("cafes")
    );
    assert_eq!((end.request.as_str(), end.cut), ("r-1", false));
    assert!(start.at_us <= end.at_us);
    assert_eq!((cut.request.as_str(), cut.cut), ("r-2", true));
    assert!(down.planned && up.planned);
}
