//! Requests whose key is missing, malformed, wrong, withdrawn or of another team are refused.

use vanillafold::state::{Author, CatalogueChange, CatalogueRecord};
use vanillafold_types::{Incarnation, Offset, ResultCode, Sequence};

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

/// Appends withdrawals of other keys as a process would that has the daemon's name and incarnation.
/// They have the sequence numbers that the daemon will use next.
fn append_as_daemon(deployment: &Deployment) {
    let page = deployment.get_admin("/state").1;
    let value = |name: &str| {
        let mut lines = page.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        value
            .expect("a line of the page")
            .parse()
            .expect("a number")
    };
    let author = Author {
        id: "entry-1".parse().expect("an author"),
        incarnation: Incarnation::new(value("incarnation")),
    };
    for number in 1..=8 {
        let record = CatalogueRecord {
            author: author.clone(),
            sequence: Sequence::new(number),
            as_of: Offset::new(value("catalogue_next")),
            change: CatalogueChange::WithdrawKey(format!("other-{number}").parse().expect("a key")),
        };
        deployment.append_catalogue_record(&record.encode().expect("a small record"));
    }
}

/// If the daemon took the outcome of another record for that of its withdrawal, no daemon would
/// read the withdrawal from the log, and the key would be accepted again.
#[test]
fn a_key_withdrawn_at_a_daemon_stays_withdrawn_if_another_process_has_its_identity() {
    let mut deployment = Deployment::start();
    let key = deployment.give_key("k1", "cafes");
    wait_until_accepted(&deployment, &key);
    append_as_daemon(&deployment);

    let withdrawn = deployment.post_admin("/keys/k1/withdraw");
    deployment.terminate();
    assert!(deployment.wait_for_exit(), "{}", deployment.daemon_log());
    deployment.start_daemon("");
    deployment.wait_until_serving();

    assert_eq!(withdrawn.0, 202, "{withdrawn:?}");
    let mut raw = deployment.connect();
    raw.send(bearer(&key));
    let answer = raw.answer();
    assert_eq!(answer.text(), format!("{}\n", ResultCode::WithdrawnKey));
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
