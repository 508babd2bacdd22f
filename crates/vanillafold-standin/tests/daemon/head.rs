//! Request heads that are malformed, too large, too slow or not supported are refused.

use std::thread::sleep;
use std::time::Duration;

use vanillafold_types::ResultCode;

use crate::fixture::{
    AfterRefusal, Deployment, DeploymentOptions, RawConnection, assert_refused, expect_refusal, get,
};

/// Returns the head of a GET request with these further header lines.
fn head(lines: &str) -> String {
    format!("GET /queues/open/work HTTP/1.1\r\nHost: callers\r\n{lines}\r\n")
}

fn assert_malformed(input: impl AsRef<[u8]>) {
    assert_refused(input, ResultCode::MalformedHead, AfterRefusal::Close);
}

// --- Malformed lines ---------------------------------------------------------------------------

#[test]
fn a_malformed_request_line_is_refused() {
    assert_malformed("WHAT IS THIS\r\n\r\n");
}

#[test]
fn a_request_line_without_a_version_is_refused() {
    assert_malformed("GET /queues/open/work\r\n\r\n");
}

#[test]
fn a_path_that_is_not_a_uri_is_refused() {
    assert_malformed("GET /queues/open/wo|rk\\<> HTTP/1.1\r\nHost: x\r\n\r\n");
}

#[test]
fn a_header_without_a_colon_is_refused() {
    assert_malformed(head("no colon\r\n"));
}

#[test]
fn a_header_without_a_name_is_refused() {
    assert_malformed(head(": value\r\n"));
}

#[test]
fn a_header_whose_name_is_not_a_token_is_refused() {
    assert_malformed(head("na(me: value\r\n"));
}

#[test]
fn a_head_whose_lines_end_in_a_bare_lf_is_refused() {
    assert_malformed("GET /queues/open/work HTTP/1.1\nHost: x\n\n");
}

#[test]
fn a_head_with_one_bare_lf_is_refused() {
    assert_malformed("GET /queues/open/work HTTP/1.1\r\nHost: x\nA: b\r\n\r\n");
}

#[test]
fn a_request_hidden_behind_a_bare_lf_is_refused() {
    let hidden = get("/queues/open/work");
    assert_malformed(format!(
        "GET /queues/open/work HTTP/1.1\nHost: x\n\n{hidden}"
    ));
}

#[test]
fn a_bare_cr_is_refused() {
    assert_malformed(head("A: b\rc\r\n"));
}

#[test]
fn a_folded_header_is_refused() {
    assert_malformed(head("A: b\r\n c\r\n"));
}

#[test]
fn a_space_before_the_colon_is_refused() {
    assert_malformed(head("Content-Length : 5\r\n"));
}

#[test]
fn a_nul_in_a_header_is_refused() {
    assert_malformed(head("A: b\0c\r\n"));
}

#[test]
fn an_http_2_preface_is_refused() {
    assert_malformed("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
}

// --- Size and time limits ----------------------------------------------------------------------

#[test]
fn an_oversized_header_is_refused() {
    let long = "x".repeat(20 * 1024);
    assert_refused(
        head(&format!("A: {long}\r\n")),
        ResultCode::OversizedHead,
        AfterRefusal::Close,
    );
}

#[test]
fn a_head_that_never_ends_is_refused() {
    let input = head(&"A: b\r\n".repeat(5_000));
    let endless = input.trim_end();
    assert_refused(endless, ResultCode::OversizedHead, AfterRefusal::Close);
}

#[test]
fn too_many_headers_are_refused() {
    let input = head(&"A: b\r\n".repeat(200));
    assert_refused(input, ResultCode::OversizedHead, AfterRefusal::Close);
}

#[test]
fn a_head_that_arrives_too_slowly_is_refused() {
    let mut deployment = Deployment::start_with(DeploymentOptions {
        daemon_settings: "head_timeout_ms = 300",
        ..DeploymentOptions::default()
    });
    let mut bad = deployment.connect();

    drip(&mut bad, "GET /queues/open/work HTTP/1.1\r\nA: ", "b");

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::SlowHead,
        AfterRefusal::Close,
    );
}

/// Sends `start`, and then `more` every 10 ms until a reply comes.
fn drip(raw: &mut RawConnection, start: &str, more: &str) {
    raw.send(start);
    while !raw.has_reply() {
        raw.try_send(more);
        sleep(Duration::from_millis(10));
    }
}

// --- Unsupported requests ----------------------------------------------------------------------

#[test]
fn a_request_in_http_1_0_is_refused() {
    let input = "GET /queues/open/work HTTP/1.0\r\nHost: x\r\n\r\n";
    assert_refused(input, ResultCode::Unsupported, AfterRefusal::Close);
}

#[test]
fn the_connect_method_is_refused() {
    let input = "CONNECT callers:80 HTTP/1.1\r\nHost: callers:80\r\n\r\n";
    assert_refused(input, ResultCode::Unsupported, AfterRefusal::Close);
}

#[test]
fn an_unknown_expectation_is_refused() {
    let input = head("Expect: miracles\r\n");
    assert_refused(input, ResultCode::Unsupported, AfterRefusal::Close);
}

// --- Paths -------------------------------------------------------------------------------------

#[test]
fn an_unknown_queue_is_refused() {
    assert_refused(
        get("/queues/closed/work"),
        ResultCode::UnknownQueue,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn a_queue_name_of_dots_is_refused() {
    let input = get("/queues/../queues/open/work");
    assert_refused(input, ResultCode::UnknownQueue, AfterRefusal::KeepAlive);
}

#[test]
fn a_percent_encoded_queue_name_is_refused() {
    assert_refused(
        get("/queues/%6fpen/work"),
        ResultCode::UnknownQueue,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn a_path_without_a_queue_is_refused() {
    assert_refused(
        get("/queues/"),
        ResultCode::MalformedPath,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn a_path_outside_of_queues_is_refused() {
    assert_refused(
        get("/work"),
        ResultCode::MalformedPath,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn the_root_path_is_refused() {
    assert_refused(get("/"), ResultCode::MalformedPath, AfterRefusal::KeepAlive);
}

#[test]
fn a_path_with_two_slashes_before_queues_is_refused() {
    assert_refused(
        get("//queues/open/work"),
        ResultCode::MalformedPath,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn a_path_with_two_slashes_in_place_of_a_queue_is_refused() {
    assert_refused(
        get("/queues//open/work"),
        ResultCode::MalformedPath,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn an_asterisk_as_the_path_is_refused() {
    let input = "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_refused(input, ResultCode::MalformedPath, AfterRefusal::KeepAlive);
}

// --- Accepted heads ----------------------------------------------------------------------------

#[test]
fn empty_lines_before_a_request_are_ignored() {
    let deployment = Deployment::start();
    let mut raw = deployment.connect();

    raw.send(format!("\r\n\r\n{}", get("/queues/open/work")));

    assert_eq!(raw.answer().status, 200);
}
