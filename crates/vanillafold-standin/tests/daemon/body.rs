//! Bodies that are late, short or too large.

use vanillafold_types::ResultCode;

use crate::site::{After, Reply, Site, SiteOptions, assert_refused, get, refusal_of};

const KIB: usize = 1024;

fn post(queue: &str, framing: &str) -> String {
    format!("POST /queues/{queue}/work HTTP/1.1\r\nHost: callers\r\n{framing}\r\n\r\n")
}

fn chunk(bytes: usize) -> String {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes))
}

#[test]
fn a_body_that_stops() {
    let mut site = Site::start_with(SiteOptions {
        daemon: "body_timeout_ms = 300",
        ..SiteOptions::default()
    });
    let mut bad = site.connect();

    bad.send(post("open", "Content-Length: 10") + "hello");

    refusal_of(&mut site, &mut bad, ResultCode::SlowBody, After::Closed);
}

#[test]
fn a_body_that_is_shorter_than_declared() {
    let mut site = Site::start();
    let mut bad = site.connect();

    bad.send(post("open", "Content-Length: 10") + "hello");
    bad.end_sending();

    refusal_of(&mut site, &mut bad, ResultCode::SlowBody, After::Closed);
}

#[test]
fn chunks_without_their_end() {
    let mut site = Site::start();
    let mut bad = site.connect();

    bad.send(post("open", "Transfer-Encoding: chunked") + &chunk(5));
    bad.end_sending();

    refusal_of(&mut site, &mut bad, ResultCode::SlowBody, After::Closed);
}

#[test]
fn a_small_body_that_is_too_large_for_its_queue() {
    let input = post("small", "Content-Length: 2000") + &"x".repeat(2_000);
    assert_refused(input, ResultCode::OversizedBody, After::Kept);
}

#[test]
fn a_large_body_that_is_too_large_for_its_queue() {
    let input = post("large", "Content-Length: 300000");
    assert_refused(input, ResultCode::OversizedBody, After::Closed);
}

#[test]
fn an_absurd_length() {
    let input = post("open", "Content-Length: 1000000000000000000");
    assert_refused(input, ResultCode::OversizedBody, After::Closed);
}

#[test]
fn small_chunks_that_are_too_large_for_their_queue() {
    let input = post("small", "Transfer-Encoding: chunked") + &chunk(2_000) + "0\r\n\r\n";
    assert_refused(input, ResultCode::OversizedBody, After::Closed);
}

#[test]
fn large_chunks_that_are_too_large_for_their_queue() {
    let mut site = Site::start();
    let mut bad = site.connect();

    bad.try_send(post("large", "Transfer-Encoding: chunked"));
    for _ in 0..10 {
        bad.try_send(chunk(32 * KIB));
    }
    bad.try_send("0\r\n\r\n");

    // A part of it was sent on before it turned out too large.
    let refusal = bad.answer();
    assert_eq!(refusal.header("vf-result-code"), Some("405"));
    assert_eq!(refusal.header("vf-outcome"), Some("may-have-run"));
    assert_eq!(refusal.header("connection"), Some("close"));
    assert!(site.is_running());
}

#[test]
fn a_large_body_that_breaks_off() {
    let mut site = Site::start();
    let mut bad = site.connect();

    bad.send(post("open", "Content-Length: 200000") + &"x".repeat(100_000));
    bad.end_sending();

    let refusal = bad.answer();
    assert_eq!(refusal.header("vf-result-code"), Some("405"));
    assert_eq!(refusal.header("vf-outcome"), Some("may-have-run"));
    assert_eq!(refusal.header("connection"), Some("close"));
    assert!(site.is_running());
}

#[test]
fn a_large_body_comes_back_whole() {
    let site = Site::start();
    let body: String = (0..300_000)
        .map(|at| char::from(b'a' + (at % 23) as u8))
        .collect();
    let mut raw = site.connect();

    raw.send(post("open", "Work-Echo: true\r\nContent-Length: 300000") + &body);

    let answer = raw.answer();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), body);
}

#[test]
fn a_body_after_100_continue() {
    let site = Site::start();
    let mut raw = site.connect();

    raw.send(post(
        "open",
        "Work-Echo: true\r\nExpect: 100-continue\r\nContent-Length: 5",
    ));
    let word = raw.answer();
    raw.send("hello");
    let answer = raw.answer();
    raw.send(get("/queues/open/work"));

    assert_eq!(word.status, 100);
    assert_eq!(answer.text(), "hello");
    assert_eq!(raw.answer().status, 200);
}

#[test]
fn no_100_continue_for_a_refused_request() {
    let head = "Expect: 100-continue\r\nContent-Length: 2000";
    assert_refused(
        post("small", head),
        ResultCode::OversizedBody,
        After::Closed,
    );
}

#[test]
fn a_target_that_answers_before_the_body_is_sent_gets_no_next_request_on_that_connection() {
    let site = Site::start();
    let mut early = site.connect();

    early.send(format!(
        "POST /queues/open/nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n{}",
        "x".repeat(70_000)
    ));
    let answer = early.answer();
    let mut next = site.connect();
    next.send(get("/queues/open/work"));

    assert_eq!(answer.status, 404);
    assert!(matches!(next.reply(), Reply::Whole(answer) if answer.status == 200));
}
