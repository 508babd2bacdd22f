//! Keys that are refused.

use vanillafold_types::ResultCode;

use crate::site::{After, Site, assert_refused, get, refusal_of, wait_until};

/// A request to the queue of the team `cafes` with these headers.
fn request(headers: &str) -> String {
    format!("GET /queues/cafes/work HTTP/1.1\r\nHost: callers\r\n{headers}\r\n")
}

fn bearer(key: &str) -> String {
    request(&format!("Authorization: Bearer {key}\r\n"))
}

fn assert_wrong(headers: &str) {
    assert_refused(request(headers), ResultCode::WrongKey, After::Kept);
}

#[test]
fn no_key() {
    assert_refused(get("/queues/cafes/work"), ResultCode::NoKey, After::Kept);
}

#[test]
fn an_unknown_key() {
    assert_wrong("Authorization: Bearer k1.0123456789abcdef\r\n");
}

#[test]
fn a_key_without_a_secret() {
    assert_wrong("Authorization: Bearer k1\r\n");
}

#[test]
fn an_empty_key() {
    assert_wrong("Authorization: Bearer \r\n");
}

#[test]
fn another_scheme() {
    assert_wrong("Authorization: Basic azE6c2VjcmV0\r\n");
}

#[test]
fn a_key_that_is_no_text() {
    let mut input = b"GET /queues/cafes/work HTTP/1.1\r\nAuthorization: Bearer k".to_vec();
    input.extend_from_slice(b"\xff\xfe\r\nHost: x\r\n\r\n");
    assert_refused(input, ResultCode::WrongKey, After::Kept);
}

#[test]
fn a_wrong_key_on_an_open_queue() {
    let input = "GET /queues/open/work HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1.x\r\n\r\n";
    assert_refused(input, ResultCode::WrongKey, After::Kept);
}

#[test]
fn a_given_key_with_another_secret() {
    let mut site = Site::start();
    let key = site.give_key("k1", "cafes");
    wait_accepted(&site, &key);
    let mut bad = site.connect();

    bad.send(bearer(&format!("{key}0")));

    refusal_of(&mut site, &mut bad, ResultCode::WrongKey, After::Kept);
}

#[test]
fn two_keys() {
    let mut site = Site::start();
    let key = site.give_key("k1", "cafes");
    wait_accepted(&site, &key);
    let mut bad = site.connect();

    let header = format!("Authorization: Bearer {key}\r\n");
    bad.send(request(&header.repeat(2)));

    refusal_of(&mut site, &mut bad, ResultCode::WrongKey, After::Kept);
}

#[test]
fn a_key_of_another_team() {
    let mut site = Site::start();
    let foreign = site.give_key("k2", "riders");
    let own = site.give_key("k1", "cafes");
    // Keys are read in the order in which they were given.
    wait_accepted(&site, &own);
    let mut bad = site.connect();

    bad.send(bearer(&foreign));

    refusal_of(&mut site, &mut bad, ResultCode::ForeignTeam, After::Kept);
}

#[test]
fn a_withdrawn_key() {
    let mut site = Site::start();
    let key = site.give_key("k1", "cafes");
    wait_accepted(&site, &key);
    site.operate_well(&["key", "withdraw"], &["--id", "k1"]);
    wait_until("the withdrawal", || status(&site, &key) == 401);
    let mut bad = site.connect();

    bad.send(bearer(&key));

    refusal_of(&mut site, &mut bad, ResultCode::WithdrawnKey, After::Kept);
}

fn status(site: &Site, key: &str) -> u16 {
    let mut raw = site.connect();
    raw.send(bearer(key));
    raw.answer().status
}

fn wait_accepted(site: &Site, key: &str) {
    wait_until("the key", || status(site, key) == 200);
}
