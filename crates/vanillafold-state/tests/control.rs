//! Tests of the records that move VMs between pools.

mod common;

use common::{Log, move_vm, pool_id, put, remove, replay, return_vm, vm};
use vanillafold_state::{ApplyResult, Entry, RefusalReason, Stream};
use vanillafold_types::{EntryName, Revision};

const MISMATCH: ApplyResult = ApplyResult::Refused(RefusalReason::MoveMismatch);

#[test]
fn a_vm_belongs_to_its_home_pool_until_it_is_moved() {
    let mut log = Log::new();
    let home = pool_id("home");

    let before = log.state.pool_of(&vm("v"), &home);
    let applied = log.control(move_vm("v", "home", "spare", 0));
    let after = log.state.pool_of(&vm("v"), &home);

    assert_eq!(applied, ApplyResult::Accepted);
    assert_eq!((before, after), (home, pool_id("spare")));
    assert_eq!(
        log.state.membership(&vm("v")).unwrap().revision,
        Revision::new(1)
    );
}

#[test]
fn of_two_moves_that_expect_one_revision_the_first_wins() {
    let mut log = Log::new();

    let first_moves = [
        log.control(move_vm("v", "home", "a", 0)),
        log.control(move_vm("v", "home", "b", 0)),
    ];
    let later_moves = [
        log.control(move_vm("v", "a", "c", 1)),
        log.control(move_vm("v", "a", "d", 1)),
        log.control(move_vm("v", "a", "d", 3)),
        log.control(move_vm("v", "c", "a", 3)),
        log.control(move_vm("v", "a", "d", 1)),
    ];

    assert_eq!(first_moves, [ApplyResult::Accepted, MISMATCH]);
    let accepted = ApplyResult::Accepted;
    assert_eq!(
        later_moves,
        [accepted, MISMATCH, MISMATCH, accepted, MISMATCH]
    );
    assert_eq!(log.state.pool_of(&vm("v"), &pool_id("home")), pool_id("a"));
}

#[test]
fn invalid_moves_are_refused() {
    let mut log = Log::new();

    let applied = [
        log.control(move_vm("v", "home", "home", 0)),
        log.control(move_vm("v", "home", "a", 5)),
        log.control(return_vm("v", 0)),
    ];

    let reasons = [
        RefusalReason::SamePool,
        RefusalReason::MoveMismatch,
        RefusalReason::NeverMoved,
    ];
    assert_eq!(applied, reasons.map(ApplyResult::Refused));
    assert_eq!(log.state.memberships().len(), 0);
}

#[test]
fn a_returned_vm_is_in_its_home_pool_and_has_no_membership() {
    let mut log = Log::new();
    let _ = log.control(move_vm("v", "home", "a", 0));

    let applied = [
        log.control(return_vm("v", 9)),
        log.control(return_vm("v", 1)),
        log.control(move_vm("v", "a", "b", 1)),
    ];

    assert_eq!(applied, [MISMATCH, ApplyResult::Accepted, MISMATCH]);
    assert_eq!(
        log.state.pool_of(&vm("v"), &pool_id("home")),
        pool_id("home")
    );
    assert_eq!(log.state.memberships().len(), 0);
}

/// A move into a pool races the removal of that pool. If the fold of the `control` stream looked at
/// the catalogue, daemons would accept or refuse the move depending on how they interleaved the two
/// streams, and their states would diverge.
#[test]
fn a_move_that_races_its_pools_removal_gives_one_state_in_every_interleaving() {
    let mut log = Log::with_entries();
    let _ = log.edit(vec![put(Entry::Pool(common::pool("spare")), 0)]);
    let _ = log.edit(vec![remove(EntryName::Pool(pool_id("spare")), 2)]);
    let _ = log.control(move_vm("v", "p", "spare", 0));
    let (catalogue, control): (Vec<_>, Vec<_>) = log
        .records
        .iter()
        .partition(|record| record.stream == Stream::Catalogue);

    for at in 0..=catalogue.len() {
        let (before, after) = catalogue.split_at(at);
        let state = replay([before, &control, after].concat());
        assert_eq!(state, log.state, "the move was read after {at} edits");
    }
    let without_pool: Vec<_> = log.state.memberships_without_pool().collect();
    assert_eq!(without_pool.len(), 1);
}
