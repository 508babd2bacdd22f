//! Tests of API keys: given, withdrawn by the log, and withdrawn early by another way than the log.

mod common;

use common::{Log, key, key_text, restored};
use vanillafold_state::{ApplyResult, AuthenticationError, MAX_PRESENTED_KEY_BYTES, RefusalReason};

#[test]
fn only_the_text_of_a_given_key_is_accepted() {
    let mut log = Log::with_entries();
    let _ = log.give_key("k", "t");
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

    let accepted = log.state.authenticate(&key_text("k"));

    assert_eq!(accepted, Ok(&key("k", "t")));
    for (text, refusal) in cases {
        assert_eq!(log.state.authenticate(text), Err(refusal), "{text}");
    }
}

#[test]
fn a_withdrawal_is_revealed_only_to_the_holder_of_the_secret() {
    let mut log = Log::with_entries();
    let _ = log.give_key("k", "t");

    let applied = log.withdraw_key("k");

    assert_eq!(applied, ApplyResult::Accepted);
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
fn a_key_id_is_given_at_most_once() {
    let mut log = Log::with_entries();

    let applied = [
        log.give_key("k", "t"),
        log.give_key("k", "t"),
        log.withdraw_key("k"),
        log.give_key("k", "t"),
        log.withdraw_key("k"),
        log.give_key("l", "nobody"),
    ];

    let refused = ApplyResult::Refused;
    assert_eq!(
        applied,
        [
            ApplyResult::Accepted,
            refused(RefusalReason::GivenKey),
            ApplyResult::Accepted,
            refused(RefusalReason::WithdrawnKey),
            ApplyResult::Accepted,
            refused(RefusalReason::UnknownTeam),
        ]
    );
}

#[test]
fn a_withdrawal_before_the_key_is_given_wins() {
    let mut log = Log::with_entries();

    let withdrawn = log.withdraw_key("k");
    let given = log.give_key("k", "t");

    assert_eq!(withdrawn, ApplyResult::Accepted);
    assert_eq!(given, ApplyResult::Refused(RefusalReason::WithdrawnKey));
    assert_eq!(
        log.state.authenticate(&key_text("k")),
        Err(AuthenticationError::Unknown)
    );
}

#[test]
fn an_early_withdrawal_takes_effect_at_once_and_does_not_change_the_digest() {
    let mut log = Log::with_entries();
    let _ = log.give_key("k", "t");
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
fn an_early_withdrawal_also_applies_to_a_key_given_later() {
    let mut log = Log::with_entries();
    let _ = log.state.withdraw_early("k".parse().unwrap());

    let given = log.give_key("k", "t");

    // The record is accepted because the early withdrawal is not in the log, and all daemons must
    // decide alike. Authentication with the key is refused nevertheless.
    assert_eq!(given, ApplyResult::Accepted);
    assert_eq!(
        log.state.authenticate(&key_text("k")),
        Err(AuthenticationError::Withdrawn)
    );
}

#[test]
fn the_logs_withdrawal_replaces_the_early_one() {
    let mut early = Log::with_entries();
    let _ = early.give_key("k", "t");
    let mut plain = early.clone();
    let _ = early.state.withdraw_early("k".parse().unwrap());

    let _ = early.withdraw_key("k");
    let _ = plain.withdraw_key("k");
    let is_new = early.state.withdraw_early("k".parse().unwrap());

    assert!(!is_new);
    assert_eq!(early.state, plain.state);
}

#[test]
fn merging_states_keeps_early_withdrawals() {
    let mut log = Log::with_entries();
    let mut behind = log.state.clone();
    let _ = log.give_key("k", "t");
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
