//! Answers that a target cuts short or garbles never end as whole.

use crate::site::{FakeTarget, Raw, Reply, Seen, Site, SiteOptions, wait_until};

fn get(headers: &str) -> String {
    format!("GET /queues/open/work HTTP/1.1\r\nHost: x\r\n{headers}\r\n")
}

/// No retry is wanted: it would be answered whole or cut again.
const ONCE: &str = "Vf-Idempotent: false\r\n";

fn assert_not_whole(reply: &Reply) {
    match reply {
        Reply::Whole(answer) => {
            assert_eq!(
                answer.header("vf-outcome"),
                Some("may-have-run"),
                "{answer:?}"
            );
        }
        Reply::Cut(answer) => assert_eq!(answer.status, 200),
        Reply::Closed => {}
    }
}

// Cut by the runner.

fn cut_by_runner(headers: &str) -> Reply {
    let site = Site::start();
    site.runner_mode("mode=cut");
    let mut raw = site.connect();
    raw.send(get(&format!("{ONCE}{headers}")));
    raw.reply()
}

#[test]
fn an_answer_of_some_length() {
    assert_not_whole(&cut_by_runner("Answer-Bytes: 1000\r\n"));
}

#[test]
fn an_answer_of_great_length() {
    assert_not_whole(&cut_by_runner("Answer-Bytes: 1000000\r\n"));
}

#[test]
fn an_answer_in_chunks() {
    assert_not_whole(&cut_by_runner(
        "Answer-Bytes: 1000\r\nAnswer-Chunked: true\r\n",
    ));
}

#[test]
fn an_answer_in_many_chunks() {
    assert_not_whole(&cut_by_runner(
        "Answer-Bytes: 1000000\r\nAnswer-Chunked: true\r\n",
    ));
}

#[test]
fn an_echo() {
    let site = Site::start();
    site.runner_mode("mode=cut");
    let mut raw = site.connect();

    raw.send(format!(
        "POST /queues/open/work HTTP/1.1\r\nHost: x\r\nWork-Echo: true\r\n\
         Content-Length: 200000\r\n\r\n{}",
        "x".repeat(200_000)
    ));

    assert_not_whole(&raw.reply());
}

// Cut or garbled by a target of the test's own.

fn own_target() -> (Site, FakeTarget) {
    let site = Site::start_with(SiteOptions {
        own_target: true,
        ..SiteOptions::default()
    });
    let target = FakeTarget::start(site.place.target());
    (site, target)
}

/// The reply to a request whose target sends `answer` and closes.
fn reply_after(answer: &str) -> Reply {
    let (site, target) = own_target();
    let mut raw = site.connect();
    raw.send(get(ONCE));
    target.next().send(answer);
    raw.reply()
}

fn assert_refusal(reply: &Reply, code: &str) {
    match reply {
        Reply::Whole(answer) => {
            assert_eq!(answer.header("vf-result-code"), Some(code), "{answer:?}");
            assert_eq!(answer.header("vf-outcome"), Some("may-have-run"));
        }
        other => panic!("expected a refusal, found {other:?}"),
    }
}

#[test]
fn no_answer() {
    assert_refusal(&reply_after(""), "402");
}

#[test]
fn half_a_head() {
    assert_refusal(&reply_after("HTTP/1.1 200 OK\r\nContent-Le"), "402");
}

#[test]
fn a_head_without_its_body() {
    assert_refusal(
        &reply_after("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n"),
        "402",
    );
}

#[test]
fn an_answer_that_ends_with_its_connection() {
    assert_refusal(&reply_after("HTTP/1.1 200 OK\r\n\r\nall of it"), "404");
}

#[test]
fn an_answer_of_two_lengths() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok";
    assert_refusal(&reply_after(answer), "404");
}

#[test]
fn an_answer_that_is_no_http() {
    assert_refusal(&reply_after("SSH-2.0-OpenSSH\r\n\r\n"), "404");
}

#[test]
fn an_answer_with_a_bare_lf() {
    let answer = "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok";
    assert_refusal(&reply_after(answer), "404");
}

#[test]
fn a_malformed_chunk() {
    let answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n";
    assert_not_whole(&reply_after(answer));
}

/// A request with a body that is streamed, its reply's connection, and the target's end.
fn streamed(site: &Site, target: &FakeTarget, sent: usize) -> (Raw, Seen) {
    let mut raw = site.connect();
    raw.send(format!(
        "POST /queues/open/work HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n{}",
        "x".repeat(sent)
    ));
    (raw, target.next())
}

#[test]
fn a_head_without_its_body_to_a_streamed_request() {
    let (site, target) = own_target();
    let (mut raw, mut seen) = streamed(&site, &target, 100_000);

    seen.send("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n");
    seen.end_sending();

    assert_refusal(&raw.reply(), "402");
}

#[test]
fn a_head_without_its_body_before_a_streamed_request_is_whole() {
    let (site, target) = own_target();
    let (mut raw, mut seen) = streamed(&site, &target, 70_000);

    seen.send("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n");
    seen.end_sending();

    assert_refusal(&raw.reply(), "402");
}

#[test]
fn a_head_without_its_body_until_the_deadline_of_a_streamed_request() {
    let (site, target) = own_target();
    let mut raw = site.connect();
    raw.send(format!(
        "POST /queues/open/work HTTP/1.1\r\nHost: x\r\nVf-Deadline-Ms: 500\r\n\
         Content-Length: 100000\r\n\r\n{}",
        "x".repeat(100_000)
    ));
    let mut seen = target.next();

    seen.send("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n");

    assert_refusal(&raw.reply(), "403");
}

#[test]
fn an_answer_that_came_late_is_not_the_next_requests() {
    let (site, target) = own_target();
    let mut late = site.connect();
    late.send(get("Vf-Idempotent: false\r\nVf-Deadline-Ms: 300\r\n"));
    let mut seen = target.next();
    assert_refusal(&late.reply(), "403");
    seen.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");

    let mut next = site.connect();
    next.send(get(ONCE));
    target
        .next()
        .send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");

    assert_eq!(next.answer().text(), "next");
    wait_until("the late answer's connection is closed", || {
        std::io::Read::read(&mut seen.stream, &mut [0]).is_ok_and(|length| length == 0)
    });
}
