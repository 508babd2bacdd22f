//! Bodies that stop, end early or exceed their queue's limit are refused; good ones are relayed.

use vanillafold_types::ResultCode;

use crate::fixture::{
    AfterRefusal, Deployment, DeploymentOptions, Reply, assert_refused, expect_refusal, get,
};

const KIB: usize = 1024;

fn post(queue: &str, framing: &str) -> String {
    format!("POST /queues/{queue}/work HTTP/1.1\r\nHost: callers\r\n{framing}\r\n\r\n")
}

fn chunk(bytes: usize) -> String {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes))
}

#[test]
fn a_body_that_stops_arriving_is_refused() {
    let mut deployment = Deployment::start_with(DeploymentOptions {
        daemon_settings: "body_timeout_ms = 300",
        ..DeploymentOptions::default()
    });
    let mut bad = deployment.connect();

    bad.send(post("open", "Content-Length: 10") + "hello");

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::SlowBody,
        AfterRefusal::Close,
    );
}

#[test]
fn a_body_that_is_shorter_than_declared_is_refused() {
    let mut deployment = Deployment::start();
    let mut bad = deployment.connect();

    bad.send(post("open", "Content-Length: 10") + "hello");
    bad.end_sending();

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::SlowBody,
        AfterRefusal::Close,
    );
}

#[test]
fn a_chunked_body_without_its_last_chunk_is_refused() {
    let mut deployment = Deployment::start();
    let mut bad = deployment.connect();

    bad.send(post("open", "Transfer-Encoding: chunked") + &chunk(5));
    bad.end_sending();

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::SlowBody,
        AfterRefusal::Close,
    );
}

#[test]
fn a_small_body_that_is_too_large_for_its_queue_is_refused() {
    let input = post("small", "Content-Length: 2000") + &"x".repeat(2_000);
    assert_refused(input, ResultCode::OversizedBody, AfterRefusal::KeepAlive);
}

#[test]
fn a_large_body_that_is_too_large_for_its_queue_is_refused() {
    let input = post("large", "Content-Length: 300000");
    assert_refused(input, ResultCode::OversizedBody, AfterRefusal::Close);
}

#[test]
fn a_content_length_above_every_limit_is_refused() {
    let input = post("open", "Content-Length: 1000000000000000000");
    assert_refused(input, ResultCode::OversizedBody, AfterRefusal::Close);
}

#[test]
fn a_small_chunked_body_that_is_too_large_for_its_queue_is_refused() {
    let input = post("small", "Transfer-Encoding: chunked") + &chunk(2_000) + "0\r\n\r\n";
    assert_refused(input, ResultCode::OversizedBody, AfterRefusal::Close);
}

#[test]
fn a_large_chunked_body_that_is_too_large_for_its_queue_may_have_run() {
    let mut deployment = Deployment::start();
    let mut bad = deployment.connect();

    bad.try_send(post("large", "Transfer-Encoding: chunked"));
    for _ in 0..10 {
        bad.try_send(chunk(32 * KIB));
    }
    bad.try_send("0\r\n\r\n");

    // A part of the body was sent to the target before it exceeded the limit.
    let refusal = bad.answer();
    assert_eq!(refusal.header("vf-result-code"), Some("405"));
    assert_eq!(refusal.header("vf-outcome"), Some("may-have-run"));
    assert_eq!(refusal.header("connection"), Some("close"));
    assert!(deployment.is_running());
}

#[test]
fn a_large_body_that_ends_early_may_have_run() {
    let mut deployment = Deployment::start();
    let mut bad = deployment.connect();

    bad.send(post("open", "Content-Length: 200000") + &"x".repeat(100_000));
    bad.end_sending();

    let refusal = bad.answer();
    assert_eq!(refusal.header("vf-result-code"), Some("405"));
    assert_eq!(refusal.header("vf-outcome"), Some("may-have-run"));
    assert_eq!(refusal.header("connection"), Some("close"));
    assert!(deployment.is_running());
}

#[test]
fn a_large_body_is_relayed_in_both_directions() {
    let deployment = Deployment::start();
    let body: String = (0..300_000)
        .map(|at| char::from(b'a' + (at % 23) as u8))
        .collect();
    let mut raw = deployment.connect();

    raw.send(post("open", "Work-Echo: true\r\nContent-Length: 300000") + &body);

    let answer = raw.answer();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), body);
}

#[test]
fn a_body_is_read_after_100_continue() {
    let deployment = Deployment::start();
    let mut raw = deployment.connect();

    raw.send(post(
        "open",
        "Work-Echo: true\r\nExpect: 100-continue\r\nContent-Length: 5",
    ));
    let interim = raw.answer();
    raw.send("hello");
    let answer = raw.answer();
    raw.send(get("/queues/open/work"));

    assert_eq!(interim.status, 100);
    assert_eq!(answer.text(), "hello");
    assert_eq!(raw.answer().status, 200);
}

#[test]
fn a_refused_request_gets_no_100_continue() {
    let head = "Expect: 100-continue\r\nContent-Length: 2000";
    assert_refused(
        post("small", head),
        ResultCode::OversizedBody,
        AfterRefusal::Close,
    );
}

#[test]
fn a_connection_whose_target_answered_before_the_end_of_the_body_is_not_reused() {
    let deployment = Deployment::start();
    let mut early = deployment.connect();

    early.send(format!(
        "POST /queues/open/nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n{}",
        "x".repeat(70_000)
    ));
    let answer = early.answer();
    let mut next = deployment.connect();
    next.send(get("/queues/open/work"));

    assert_eq!(answer.status, 404);
    assert!(matches!(next.reply(), Reply::Whole(answer) if answer.status == 200));
}
