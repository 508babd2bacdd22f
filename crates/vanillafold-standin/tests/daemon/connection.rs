//! Several requests on one connection, and methods with answers of their own.

use vanillafold_types::ResultCode;

use crate::site::{FakeTarget, Raw, Reply, Site, SiteOptions, get};

fn named(id: &str, headers: &str) -> String {
    format!("GET /queues/open/work HTTP/1.1\r\nHost: x\r\nVf-Request-Id: {id}\r\n{headers}\r\n")
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let site = Site::start();
    let mut raw = site.connect();

    raw.send(
        named("r1", "Work-Ms: 50\r\nAnswer-Bytes: 3000\r\n")
            + &named("r2", "Vf-Deadline-Ms: 0\r\n")
            + &named("r3", "Answer-Bytes: 70000\r\nAnswer-Chunked: true\r\n")
            + &named("r4", ""),
    );

    let answers = [raw.answer(), raw.answer(), raw.answer(), raw.answer()];
    let ids: Vec<_> = answers
        .iter()
        .map(|answer| answer.header("vf-request-id"))
        .collect();
    assert_eq!(ids, [Some("r1"), Some("r2"), Some("r3"), Some("r4")]);
    let lengths = answers.each_ref().map(|answer| answer.body.len());
    let refusal = format!("{}\n", ResultCode::MalformedDeadline);
    assert_eq!(lengths, [3_000, refusal.len(), 70_000, 0]);
}

#[test]
fn a_head_in_single_bytes_is_answered() {
    let site = Site::start();
    let mut raw = site.connect();

    for byte in get("/queues/open/work").bytes() {
        raw.send([byte]);
    }

    assert_eq!(raw.answer().status, 200);
}

#[test]
fn an_answer_to_head_has_no_body() {
    let site = Site::start();
    let mut raw = site.connect();

    raw.send("HEAD /queues/open/work HTTP/1.1\r\nHost: x\r\nAnswer-Bytes: 100\r\n\r\n");
    let Reply::Whole(answer) = raw.reply_to("HEAD") else {
        panic!("no answer");
    };
    raw.send(get("/queues/open/work"));

    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("vf-outcome"), Some("answer"));
    assert_eq!(raw.answer().status, 200);
}

#[test]
fn a_refusal_of_head_has_no_body() {
    let site = Site::start();
    let mut raw = site.connect();

    raw.send("HEAD /queues/nowhere/work HTTP/1.1\r\nHost: x\r\n\r\n");
    let Reply::Whole(refusal) = raw.reply_to("HEAD") else {
        panic!("no answer");
    };
    raw.send(get("/queues/open/work"));

    assert_eq!(refusal.header("vf-result-code"), Some("105"));
    assert_eq!(
        raw.answer().status,
        200,
        "the next answer is the next request's"
    );
}

#[test]
fn an_answer_to_head_keeps_the_targets_length() {
    let site = Site::start_with(SiteOptions {
        own_target: true,
        ..SiteOptions::default()
    });
    let target = FakeTarget::start(site.place.target());
    let mut raw = site.connect();

    raw.send("HEAD /queues/open/work HTTP/1.1\r\nHost: x\r\n\r\n");
    target
        .next()
        .send("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n");

    let Reply::Whole(answer) = raw.reply_to("HEAD") else {
        panic!("no answer");
    };
    // RFC 9110, section 8.6: the length of the answer to GET, or none.
    assert!(
        matches!(answer.header("content-length"), None | Some("1234")),
        "{answer:?}"
    );
}

#[test]
fn an_operators_head_has_no_body() {
    let site = Site::start();
    let mut raw = Raw::connect(site.place.admin());

    raw.send("HEAD /live HTTP/1.1\r\nHost: x\r\n\r\n");
    let Reply::Whole(_) = raw.reply_to("HEAD") else {
        panic!("no answer");
    };
    raw.send(get("/live"));

    assert_eq!(raw.answer().text(), "live\n");
}

#[test]
fn a_connection_over_the_limit_is_told() {
    let mut site = Site::start_with(SiteOptions {
        daemon: "max_connections = 1",
        ..SiteOptions::default()
    });
    let mut only = site.connect();
    only.send(get("/queues/open/work"));
    assert_eq!(only.answer().status, 200);

    for _ in 0..50 {
        let mut more = site.connect();
        more.try_send(get("/queues/open/work"));
        let refusal = more.answer();
        let expected = format!("{}\n", ResultCode::TooManyConnections);
        assert_eq!(refusal.text(), expected);
        assert_eq!(refusal.header("connection"), Some("close"));
        more.end_sending();
        assert!(more.is_closed(), "the connection stays open");
    }
    only.send(get("/queues/open/work"));

    assert_eq!(only.answer().status, 200);
    assert!(site.is_running());
}

#[test]
fn a_connection_is_closed_behind_the_answer_if_its_caller_asks() {
    let site = Site::start();
    let mut raw = site.connect();

    raw.send(named("r1", "Connection: Close\r\nAnswer-Bytes: 10\r\n"));
    let answer = raw.answer();

    assert_eq!(answer.body.len(), 10);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(raw.is_closed(), "the connection stays open");
}

#[test]
fn a_connection_is_closed_behind_a_refusal_if_its_caller_asks() {
    let site = Site::start();
    for refused in ["Vf-Deadline-Ms: 0\r\n", "Authorization: Bearer k.x\r\n"] {
        let mut raw = site.connect();

        raw.send(named("r1", &format!("Connection: x-a, close\r\n{refused}")));
        let refusal = raw.answer();

        assert_eq!(refusal.header("vf-outcome"), Some("not-run"));
        assert_eq!(refusal.header("connection"), Some("close"));
        assert!(raw.is_closed(), "the connection stays open");
    }
}

#[test]
fn an_operators_connection_is_closed_behind_the_answer_if_they_ask() {
    let site = Site::start();
    let mut raw = Raw::connect(site.place.admin());

    raw.send("GET /live HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");

    assert_eq!(raw.answer().text(), "live\n");
    assert!(raw.is_closed(), "the connection stays open");
}
