//! Request smuggling: bodies whose framing is ambiguous or malformed are refused, and requests
//! inside of bodies are not run.

use vanillafold_types::ResultCode;

use crate::fixture::{AfterRefusal, Deployment, assert_refused, get};

/// Returns a POST request with these framing headers and this body.
fn post(framing: &str, body: &str) -> String {
    format!("POST /queues/open/work HTTP/1.1\r\nHost: callers\r\n{framing}\r\n{body}")
}

fn assert_conflicting(framing: &str) {
    let hidden = get("/queues/open/work");
    let input = post(framing, &hidden);
    assert_refused(input, ResultCode::ConflictingFraming, AfterRefusal::Close);
}

fn assert_bad_chunks(body: &str) {
    let input = post("Transfer-Encoding: chunked\r\n", body);
    assert_refused(input, ResultCode::MalformedBody, AfterRefusal::Close);
}

// --- Framing headers ---------------------------------------------------------------------------

#[test]
fn a_content_length_followed_by_a_transfer_encoding_is_refused() {
    assert_conflicting("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n");
}

#[test]
fn a_transfer_encoding_followed_by_a_content_length_is_refused() {
    assert_conflicting("Transfer-Encoding: chunked\r\nContent-Length: 0\r\n");
}

#[test]
fn two_equal_lengths_are_refused() {
    assert_conflicting("Content-Length: 5\r\nContent-Length: 5\r\n");
}

#[test]
fn two_different_lengths_are_refused() {
    assert_conflicting("Content-Length: 5\r\nContent-Length: 6\r\n");
}

#[test]
fn a_list_of_lengths_is_refused() {
    assert_conflicting("Content-Length: 5, 5\r\n");
}

#[test]
fn a_length_with_a_plus_is_refused() {
    assert_conflicting("Content-Length: +5\r\n");
}

#[test]
fn a_negative_length_is_refused() {
    assert_conflicting("Content-Length: -1\r\n");
}

#[test]
fn an_empty_length_is_refused() {
    assert_conflicting("Content-Length:\r\n");
}

#[test]
fn a_length_in_hexadecimal_is_refused() {
    assert_conflicting("Content-Length: 0x5\r\n");
}

#[test]
fn a_length_above_64_bits_is_refused() {
    assert_conflicting("Content-Length: 18446744073709551616\r\n");
}

#[test]
fn two_encodings_are_refused() {
    assert_conflicting("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n");
}

#[test]
fn a_list_of_encodings_is_refused() {
    assert_conflicting("Transfer-Encoding: chunked, identity\r\n");
}

#[test]
fn an_unknown_encoding_is_refused() {
    assert_conflicting("Transfer-Encoding: xchunked\r\n");
}

#[test]
fn an_empty_encoding_is_refused() {
    assert_conflicting("Transfer-Encoding:\r\n");
}

// --- Chunked bodies ----------------------------------------------------------------------------

#[test]
fn a_chunk_size_that_is_not_a_number_is_refused() {
    assert_bad_chunks("five\r\nhello\r\n0\r\n\r\n");
}

#[test]
fn a_chunk_size_with_a_plus_is_refused() {
    assert_bad_chunks("+5\r\nhello\r\n0\r\n\r\n");
}

#[test]
fn an_empty_chunk_size_is_refused() {
    assert_bad_chunks("\r\nhello\r\n0\r\n\r\n");
}

#[test]
fn a_chunk_size_above_64_bits_is_refused() {
    assert_bad_chunks("10000000000000005\r\nhello\r\n0\r\n\r\n");
}

#[test]
fn a_chunk_without_its_end_is_refused() {
    assert_bad_chunks("5\r\nhello0\r\n\r\n");
}

#[test]
fn a_chunk_line_that_ends_in_a_bare_lf_is_refused() {
    assert_bad_chunks("5\nhello\r\n0\r\n\r\n");
}

#[test]
fn an_oversized_chunk_line_is_refused() {
    let extension = "x".repeat(1_000);
    assert_bad_chunks(&format!("5;{extension}\r\nhello\r\n0\r\n\r\n"));
}

#[test]
fn oversized_trailers_are_refused() {
    let trailers = "A: b\r\n".repeat(2_000);
    assert_bad_chunks(&format!("5\r\nhello\r\n0\r\n{trailers}\r\n"));
}

// --- Requests inside of bodies -----------------------------------------------------------------

#[test]
fn a_request_inside_a_body_is_not_run() {
    let deployment = Deployment::start();
    let hidden = get("/queues/open/work");
    let length = hidden.len();
    let mut raw = deployment.connect();

    raw.send(post(&format!("Content-Length: {length}\r\n"), &hidden));
    let answer = raw.answer();
    raw.send(get("/queues/open/nowhere"));

    assert_eq!(answer.status, 200);
    assert_eq!(
        raw.answer().status,
        404,
        "expected the answer to the second request"
    );
    assert_eq!(deployment.runner_stats().requests, 1);
}

#[test]
fn a_request_inside_a_chunked_body_is_not_run() {
    let deployment = Deployment::start();
    let hidden = get("/queues/open/work");
    let length = hidden.len();
    let mut raw = deployment.connect();

    let chunks = format!("{length:x}\r\n{hidden}\r\n0\r\n\r\n");
    raw.send(post("Transfer-Encoding: chunked\r\n", &chunks));
    let answer = raw.answer();
    raw.send(get("/queues/open/nowhere"));

    assert_eq!(answer.status, 200);
    assert_eq!(
        raw.answer().status,
        404,
        "expected the answer to the second request"
    );
    assert_eq!(deployment.runner_stats().requests, 1);
}

#[test]
fn a_request_inside_the_body_of_a_refused_request_is_not_run() {
    let deployment = Deployment::start();
    let hidden = get("/queues/open/work");
    let length = hidden.len();
    let mut raw = deployment.connect();

    raw.send(format!(
        "POST /queues/nowhere/work HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{hidden}"
    ));
    let refusal = raw.answer();
    raw.send(get("/queues/open/nowhere"));

    assert_eq!(refusal.header("vf-result-code"), Some("105"));
    assert_eq!(
        raw.answer().status,
        404,
        "expected the answer to the second request"
    );
    assert_eq!(deployment.runner_stats().requests, 0);
}
