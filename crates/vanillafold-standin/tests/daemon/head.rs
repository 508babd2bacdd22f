//! Heads that are refused.

use std::thread::sleep;
use std::time::Duration;

use vanillafold_types::ResultCode;

use crate::site::{After, Raw, Site, SiteOptions, assert_refused, get, refusal_of};

/// A head with further lines.
fn head(lines: &str) -> String {
    format!("GET /queues/open/work HTTP/1.1\r\nHost: callers\r\n{lines}\r\n")
}

fn assert_malformed(input: impl AsRef<[u8]>) {
    assert_refused(input, ResultCode::MalformedHead, After::Closed);
}

// Lines.

#[test]
fn a_malformed_request_line() {
    assert_malformed("WHAT IS THIS\r\n\r\n");
}

#[test]
fn a_request_line_without_a_version() {
    assert_malformed("GET /queues/open/work\r\n\r\n");
}

#[test]
fn a_path_that_is_no_uri() {
    assert_malformed("GET /queues/open/wo|rk\\<> HTTP/1.1\r\nHost: x\r\n\r\n");
}

#[test]
fn a_header_without_a_colon() {
    assert_malformed(head("no colon\r\n"));
}

#[test]
fn a_header_without_a_name() {
    assert_malformed(head(": value\r\n"));
}

#[test]
fn a_header_whose_name_is_no_token() {
    assert_malformed(head("na(me: value\r\n"));
}

#[test]
fn a_head_that_ends_its_lines_in_a_bare_lf() {
    assert_malformed("GET /queues/open/work HTTP/1.1\nHost: x\n\n");
}

#[test]
fn a_head_with_one_bare_lf() {
    assert_malformed("GET /queues/open/work HTTP/1.1\r\nHost: x\nA: b\r\n\r\n");
}

#[test]
fn a_request_hidden_behind_a_bare_lf() {
    let hidden = get("/queues/open/work");
    assert_malformed(format!(
        "GET /queues/open/work HTTP/1.1\nHost: x\n\n{hidden}"
    ));
}

#[test]
fn a_bare_cr() {
    assert_malformed(head("A: b\rc\r\n"));
}

#[test]
fn a_folded_header() {
    assert_malformed(head("A: b\r\n c\r\n"));
}

#[test]
fn a_space_before_the_colon() {
    assert_malformed(head("Content-Length : 5\r\n"));
}

#[test]
fn a_nul_in_a_header() {
    assert_malformed(head("A: b\0c\r\n"));
}

#[test]
fn the_preface_of_http_2() {
    assert_malformed("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
}

// Sizes.

#[test]
fn an_oversized_header() {
    let long = "x".repeat(20 * 1024);
    assert_refused(
        head(&format!("A: {long}\r\n")),
        ResultCode::OversizedHead,
        After::Closed,
    );
}

#[test]
fn a_head_that_never_ends() {
    let input = head(&"A: b\r\n".repeat(5_000));
    let endless = input.trim_end();
    assert_refused(endless, ResultCode::OversizedHead, After::Closed);
}

#[test]
fn too_many_headers() {
    let input = head(&"A: b\r\n".repeat(200));
    assert_refused(input, ResultCode::OversizedHead, After::Closed);
}

#[test]
fn a_head_that_drips() {
    let mut site = Site::start_with(SiteOptions {
        daemon: "head_timeout_ms = 300",
        ..SiteOptions::default()
    });
    let mut bad = site.connect();

    drip(&mut bad, "GET /queues/open/work HTTP/1.1\r\nA: ", "b");

    refusal_of(&mut site, &mut bad, ResultCode::SlowHead, After::Closed);
}

/// Sends `start` and then `more` again and again until a reply comes.
fn drip(raw: &mut Raw, start: &str, more: &str) {
    raw.send(start);
    while !raw.has_reply() {
        raw.try_send(more);
        sleep(Duration::from_millis(10));
    }
}

// What is not served.

#[test]
fn http_1_0() {
    let input = "GET /queues/open/work HTTP/1.0\r\nHost: x\r\n\r\n";
    assert_refused(input, ResultCode::Unsupported, After::Closed);
}

#[test]
fn connect() {
    let input = "CONNECT callers:80 HTTP/1.1\r\nHost: callers:80\r\n\r\n";
    assert_refused(input, ResultCode::Unsupported, After::Closed);
}

#[test]
fn an_unknown_expectation() {
    let input = head("Expect: miracles\r\n");
    assert_refused(input, ResultCode::Unsupported, After::Closed);
}

// Paths.

#[test]
fn an_unknown_queue() {
    assert_refused(
        get("/queues/closed/work"),
        ResultCode::UnknownQueue,
        After::Kept,
    );
}

#[test]
fn a_queue_of_dots() {
    let input = get("/queues/../queues/open/work");
    assert_refused(input, ResultCode::UnknownQueue, After::Kept);
}

#[test]
fn an_encoded_queue() {
    assert_refused(
        get("/queues/%6fpen/work"),
        ResultCode::UnknownQueue,
        After::Kept,
    );
}

#[test]
fn a_path_without_a_queue() {
    assert_refused(get("/queues/"), ResultCode::MalformedPath, After::Kept);
}

#[test]
fn a_path_outside_queues() {
    assert_refused(get("/work"), ResultCode::MalformedPath, After::Kept);
}

#[test]
fn the_root() {
    assert_refused(get("/"), ResultCode::MalformedPath, After::Kept);
}

#[test]
fn two_slashes_before_queues() {
    assert_refused(
        get("//queues/open/work"),
        ResultCode::MalformedPath,
        After::Kept,
    );
}

#[test]
fn two_slashes_in_place_of_a_queue() {
    assert_refused(
        get("/queues//open/work"),
        ResultCode::MalformedPath,
        After::Kept,
    );
}

#[test]
fn a_path_of_a_star() {
    let input = "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_refused(input, ResultCode::MalformedPath, After::Kept);
}

// A head that is fine.

#[test]
fn empty_lines_before_a_request_are_passed_over() {
    let site = Site::start();
    let mut raw = site.connect();

    raw.send(format!("\r\n\r\n{}", get("/queues/open/work")));

    assert_eq!(raw.answer().status, 200);
}
