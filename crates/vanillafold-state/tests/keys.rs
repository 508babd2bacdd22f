//! Keys: given, withdrawn by the log, withdrawn ahead of it.

mod common;

use common::{Log, key, key_text, restored};
use vanillafold_state::{Applied, AuthenticationError, MAX_PRESENTED_KEY_BYTES, RefusalReason};

#[test]
fn a_given_key_opens_and_no_other_text_does() {
    let mut log = Log::with_entries();
    let _ = log.give("k", "t");
    let long = format!("k.{}", "x".repeat(MAX_PRESENTED_KEY_BYTES));
    let cases = [
        ("", AuthenticationError::Malformed),
        ("k", AuthenticationError::Malformed),
        ("k.", AuthenticationError::Malformed),
        (".secret", AuthenticationError::Malformed),
        (long.as_str(), AuthenticationError::Malformed),
        ("k.wrong", AuthenticationError::Unknown),
        ("x.secret-of-k", AuthenticationError::Unknown),
    ];

    let opened = log.state.authenticate(&key_text("k"));

    assert_eq!(opened, Ok(&key("k", "t")));
    for (text, refusal) in cases {
        assert_eq!(log.state.authenticate(text), Err(refusal), "{text}");
    }
}

#[test]
fn a_withdrawn_key_is_told_only_to_its_holder() {
    let mut log = Log::with_entries();
    let _ = log.give("k", "t");

    let applied = log.withdraw("k");

    assert_eq!(applied, Applied::Accepted);
    assert_eq!(
        log.state.authenticate(&key_text("k")),
        Err(AuthenticationError::Withdrawn)
    );
    assert_eq!(
        log.state.authenticate("k.wrong"),
        Err(AuthenticationError::Unknown)
    );
}

#[test]
fn an_id_is_given_once() {
    let mut log = Log::with_entries();

    let applied = [
        log.give("k", "t"),
        log.give("k", "t"),
        log.withdraw("k"),
        log.give("k", "t"),
        log.withdraw("k"),
        log.give("l", "nobody"),
    ];

    let refused = Applied::Refused;
    assert_eq!(
        applied,
        [
            Applied::Accepted,
            refused(RefusalReason::GivenKey),
            Applied::Accepted,
            refused(RefusalReason::WithdrawnKey),
            Applied::Accepted,
            refused(RefusalReason::UnknownTeam),
        ]
    );
}

#[test]
fn a_withdrawal_that_overtakes_the_giving_wins() {
    let mut log = Log::with_entries();

    let withdrawn = log.withdraw("k");
    let given = log.give("k", "t");

    assert_eq!(withdrawn, Applied::Accepted);
    assert_eq!(given, Applied::Refused(RefusalReason::WithdrawnKey));
    assert_eq!(
        log.state.authenticate(&key_text("k")),
        Err(AuthenticationError::Unknown)
    );
}

#[test]
fn a_withdrawal_ahead_of_the_log_works_at_once_and_leaves_the_digest() {
    let mut log = Log::with_entries();
    let _ = log.give("k", "t");
    let digest = log.state.digest();

    let is_new = log.state.withdraw_early("k".parse().unwrap());
    let is_new_again = log.state.withdraw_early("k".parse().unwrap());

    assert!(is_new && !is_new_again);
    assert_eq!(
        log.state.authenticate(&key_text("k")),
        Err(AuthenticationError::Withdrawn)
    );
    assert_eq!(
        log.state.authenticate("k.wrong"),
        Err(AuthenticationError::Unknown)
    );
    assert_eq!(log.state.digest(), digest);
    assert_eq!(log.state.early_withdrawals().len(), 1);
}

#[test]
fn a_withdrawal_ahead_of_the_log_also_stops_a_key_given_later() {
    let mut log = Log::with_entries();
    let _ = log.state.withdraw_early("k".parse().unwrap());

    let given = log.give("k", "t");

    // The log knows nothing of it, so every daemon accepts; none opens.
    assert_eq!(given, Applied::Accepted);
    assert_eq!(
        log.state.authenticate(&key_text("k")),
        Err(AuthenticationError::Withdrawn)
    );
}

#[test]
fn the_logs_own_withdrawal_absorbs_the_early_one() {
    let mut early = Log::with_entries();
    let _ = early.give("k", "t");
    let mut plain = early.clone();
    let _ = early.state.withdraw_early("k".parse().unwrap());

    let _ = early.withdraw("k");
    let _ = plain.withdraw("k");
    let is_new = early.state.withdraw_early("k".parse().unwrap());

    assert!(!is_new);
    assert_eq!(early.state, plain.state);
}

#[test]
fn a_state_that_is_taken_over_neither_loses_nor_hides_early_withdrawals() {
    let mut log = Log::with_entries();
    let mut behind = log.state.clone();
    let _ = log.give("k", "t");
    let _ = behind.withdraw_early("k".parse().unwrap());
    let mut peer = log.state.clone();

    behind.merge(restored(&log.state)).unwrap();
    peer.merge(behind.clone()).unwrap();

    for state in [behind, peer] {
        assert_eq!(state.digest(), log.state.digest());
        let refused = Err(AuthenticationError::Withdrawn);
        assert_eq!(state.authenticate(&key_text("k")), refused);
    }
}
