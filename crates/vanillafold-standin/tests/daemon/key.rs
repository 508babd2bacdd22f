//! Requests whose key is missing, malformed, wrong, withdrawn or of another team are refused.

use vanillafold_types::ResultCode;

use crate::fixture::{AfterRefusal, Deployment, assert_refused, expect_refusal, get, wait_until};

/// Returns a request to the queue of the team `cafes` with these headers.
fn request(headers: &str) -> String {
    format!("GET /queues/cafes/work HTTP/1.1\r\nHost: callers\r\n{headers}\r\n")
}

fn bearer(key: &str) -> String {
    request(&format!("Authorization: Bearer {key}\r\n"))
}

fn assert_wrong(headers: &str) {
    assert_refused(
        request(headers),
        ResultCode::WrongKey,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn a_request_without_a_key_is_refused() {
    assert_refused(
        get("/queues/cafes/work"),
        ResultCode::NoKey,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn an_unknown_key_is_refused() {
    assert_wrong("Authorization: Bearer k1.0123456789abcdef\r\n");
}

#[test]
fn a_key_without_a_secret_is_refused() {
    assert_wrong("Authorization: Bearer k1\r\n");
}

#[test]
fn an_empty_key_is_refused() {
    assert_wrong("Authorization: Bearer \r\n");
}

#[test]
fn another_authorization_scheme_is_refused() {
    assert_wrong("Authorization: Basic azE6c2VjcmV0\r\n");
}

#[test]
fn a_key_that_is_not_text_is_refused() {
    let mut input = b"GET /queues/cafes/work HTTP/1.1\r\nAuthorization: Bearer k".to_vec();
    input.extend_from_slice(b"\xff\xfe\r\nHost: x\r\n\r\n");
    assert_refused(input, ResultCode::WrongKey, AfterRefusal::KeepAlive);
}

#[test]
fn a_wrong_key_on_an_open_queue_is_refused() {
    let input = "GET /queues/open/work HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1.x\r\n\r\n";
    assert_refused(input, ResultCode::WrongKey, AfterRefusal::KeepAlive);
}

#[test]
fn a_key_id_with_a_wrong_secret_is_refused() {
    let mut deployment = Deployment::start();
    let key = deployment.give_key("k1", "cafes");
    wait_until_accepted(&deployment, &key);
    let mut bad = deployment.connect();

    bad.send(bearer(&format!("{key}0")));

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::WrongKey,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn two_keys_are_refused() {
    let mut deployment = Deployment::start();
    let key = deployment.give_key("k1", "cafes");
    wait_until_accepted(&deployment, &key);
    let mut bad = deployment.connect();

    let header = format!("Authorization: Bearer {key}\r\n");
    bad.send(request(&header.repeat(2)));

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::WrongKey,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn a_key_of_another_team_is_refused() {
    let mut deployment = Deployment::start();
    let foreign = deployment.give_key("k2", "riders");
    let own = deployment.give_key("k1", "cafes");
    // The daemon reads keys in the order in which they were given, so it knows both.
    wait_until_accepted(&deployment, &own);
    let mut bad = deployment.connect();

    bad.send(bearer(&foreign));

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::ForeignTeam,
        AfterRefusal::KeepAlive,
    );
}

#[test]
fn a_withdrawn_key_is_refused() {
    let mut deployment = Deployment::start();
    let key = deployment.give_key("k1", "cafes");
    wait_until_accepted(&deployment, &key);
    deployment.run_vanillafoldctl_ok(&["key", "withdraw"], &["--id", "k1"]);
    wait_until("the withdrawn key is answered 401", || {
        request_status(&deployment, &key) == 401
    });
    let mut bad = deployment.connect();

    bad.send(bearer(&key));

    expect_refusal(
        &mut deployment,
        &mut bad,
        ResultCode::WithdrawnKey,
        AfterRefusal::KeepAlive,
    );
}

fn request_status(deployment: &Deployment, key: &str) -> u16 {
    let mut raw = deployment.connect();
    raw.send(bearer(key));
    raw.answer().status
}

fn wait_until_accepted(deployment: &Deployment, key: &str) {
    wait_until("the key is accepted", || {
        request_status(deployment, key) == 200
    });
}
