//! The project's own headers, and those that are not passed on.

use vanillafold_types::ResultCode;

use crate::site::{
    After, FakeTarget, Raw, Seen, Site, SiteOptions, assert_refused, get, wait_until,
};

fn request(headers: &str) -> String {
    format!("GET /queues/open/work HTTP/1.1\r\nHost: callers\r\n{headers}\r\n")
}

fn assert_bad_deadline(deadline: &str) {
    let input = request(&format!("Vf-Deadline-Ms: {deadline}\r\n"));
    assert_refused(input, ResultCode::MalformedDeadline, After::Kept);
}

fn assert_bad_id(lines: &str) {
    assert_refused(request(lines), ResultCode::MalformedRequestId, After::Kept);
}

// Deadlines.

#[test]
fn a_deadline_of_zero() {
    assert_bad_deadline("0");
}

#[test]
fn a_negative_deadline() {
    assert_bad_deadline("-1");
}

#[test]
fn a_deadline_with_a_plus() {
    assert_bad_deadline("+1000");
}

#[test]
fn a_deadline_of_weeks() {
    assert_bad_deadline("1000000000");
}

#[test]
fn a_deadline_above_64_bits() {
    assert_bad_deadline("99999999999999999999999");
}

#[test]
fn a_deadline_in_exponential_form() {
    assert_bad_deadline("1e9");
}

#[test]
fn an_empty_deadline() {
    assert_bad_deadline("");
}

#[test]
fn a_deadline_in_words() {
    assert_bad_deadline("soon");
}

#[test]
fn two_deadlines() {
    let input = request("Vf-Deadline-Ms: 5000\r\nVf-Deadline-Ms: 5000\r\n");
    assert_refused(input, ResultCode::MalformedDeadline, After::Kept);
}

// Idempotence and ids.

#[test]
fn a_bad_word_for_idempotent() {
    let input = request("Vf-Idempotent: yes\r\n");
    assert_refused(input, ResultCode::MalformedIdempotent, After::Kept);
}

#[test]
fn two_words_for_idempotent() {
    let input = request("Vf-Idempotent: true\r\nVf-Idempotent: false\r\n");
    assert_refused(input, ResultCode::MalformedIdempotent, After::Kept);
}

#[test]
fn a_request_id_with_a_slash() {
    assert_bad_id("Vf-Request-Id: a/b\r\n");
}

#[test]
fn an_empty_request_id() {
    assert_bad_id("Vf-Request-Id:\r\n");
}

#[test]
fn a_request_id_of_65_characters() {
    assert_bad_id(&format!("Vf-Request-Id: {}\r\n", "x".repeat(65)));
}

#[test]
fn two_request_ids() {
    assert_bad_id("Vf-Request-Id: a\r\nVf-Request-Id: a\r\n");
}

#[test]
fn a_refusal_names_the_request() {
    let site = Site::start();
    let mut raw = site.connect();

    raw.send(request("Vf-Request-Id: order-17\r\nVf-Deadline-Ms: 0\r\n"));

    assert_eq!(raw.answer().header("vf-request-id"), Some("order-17"));
}

// Headers on their way.

/// A site whose target is the test, and what arrives there of `headers`.
fn passed_on(headers: &str) -> (Site, FakeTarget, Raw, Seen) {
    let site = Site::start_with(SiteOptions {
        own_target: true,
        ..SiteOptions::default()
    });
    let target = FakeTarget::start(site.place.target());
    let mut raw = site.connect();
    raw.send(request(headers));
    let seen = target.next();
    (site, target, raw, seen)
}

#[test]
fn the_target_sees_the_path_and_the_callers_headers() {
    let (_site, _target, _raw, seen) = passed_on("X-Colour: red\r\nX-Colour: blue\r\n");

    assert!(
        seen.head.starts_with("GET /work HTTP/1.1\r\n"),
        "{}",
        seen.head
    );
    assert!(seen.head.contains("x-colour: red\r\n"), "{}", seen.head);
    assert!(seen.head.contains("x-colour: blue\r\n"), "{}", seen.head);
    assert_eq!(seen.header("host"), Some("callers"));
}

#[test]
fn hop_by_hop_headers_stay_behind() {
    let (_site, _target, _raw, seen) = passed_on(
        "Connection: keep-alive, X-Private\r\nX-Private: 1\r\nKeep-Alive: timeout=5\r\n\
         Proxy-Connection: keep-alive\r\nProxy-Authorization: Basic eA==\r\nTE: trailers\r\n\
         Trailer: X-Sum\r\nUpgrade: h2c\r\n",
    );

    for name in [
        "connection",
        "x-private",
        "keep-alive",
        "proxy-connection",
        "proxy-authorization",
        "te",
        "trailer",
        "upgrade",
    ] {
        assert_eq!(seen.header(name), None, "{}", seen.head);
    }
}

#[test]
fn the_callers_own_headers_are_replaced() {
    let (_site, _target, _raw, seen) = passed_on(
        "Vf-Team: riders\r\nVf-Attempt: 9\r\nVf-Request-Id: order-17\r\nVf-Not-Run: busy\r\n\
         Vf-Other: 1\r\nVf-Idempotent: false\r\nVf-Deadline-Ms: 15000\r\n",
    );

    assert_eq!(seen.header("vf-team"), None);
    assert_eq!(seen.header("vf-attempt"), Some("1"));
    assert_eq!(seen.header("vf-request-id"), Some("order-17"));
    assert_eq!(seen.header("vf-not-run"), None);
    assert_eq!(seen.header("vf-other"), None);
    assert_eq!(seen.header("vf-idempotent"), Some("false"));
    let left: u64 = seen
        .header("vf-deadline-ms")
        .expect("one")
        .parse()
        .expect("a number");
    assert!((1..=15_000).contains(&left), "{left}");
}

#[test]
fn the_key_stays_behind_and_its_team_goes_on() {
    let site = Site::start_with(SiteOptions {
        own_target: true,
        ..SiteOptions::default()
    });
    let target = FakeTarget::start(site.place.target());
    let key = site.give_key("k1", "cafes");
    // The catalogue is the first record and the key the second.
    wait_until("the key", || {
        site.admin("/state").1.contains("catalogue_next=3\n")
    });
    let mut raw = site.connect();

    raw.send(format!(
        "GET /queues/cafes/work HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\r\n"
    ));

    let seen = target.next();
    assert_eq!(seen.header("vf-team"), Some("cafes"));
    assert_eq!(seen.header("authorization"), None);
}

#[test]
fn the_targets_own_headers_stay_behind() {
    let (_site, _target, mut raw, mut seen) = passed_on("");

    seen.send(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nVf-Outcome: not-run\r\nVf-Result-Code: 7\r\n\
         Vf-Request-Id: other\r\nVf-Load: 3\r\nVf-Daemon: x\r\nKeep-Alive: timeout=5\r\n\
         X-Colour: red\r\n\r\nok",
    );

    let answer = raw.answer();
    assert_eq!(answer.text(), "ok");
    assert_eq!(answer.header("vf-outcome"), Some("answer"));
    assert_eq!(answer.header("vf-result-code"), Some("0"));
    assert_ne!(answer.header("vf-request-id"), Some("other"));
    assert_eq!(answer.header("vf-daemon"), Some("entry-1"));
    assert_eq!(answer.header("vf-load"), None);
    assert_eq!(answer.header("keep-alive"), None);
    assert_eq!(answer.header("x-colour"), Some("red"));
}

#[test]
fn dots_in_a_path_reach_the_target_as_they_are() {
    let site = Site::start_with(SiteOptions {
        own_target: true,
        ..SiteOptions::default()
    });
    let target = FakeTarget::start(site.place.target());
    let mut raw = site.connect();

    raw.send(get("/queues/open/../cafes//work?a=/../b"));

    let seen = target.next();
    let line = seen.head.lines().next();
    assert_eq!(line, Some("GET /../cafes//work?a=/../b HTTP/1.1"));
}
